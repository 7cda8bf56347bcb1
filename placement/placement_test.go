package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// loadList implements Candidates with given loads.
type loadList []Load

func (l loadList) Len() int        { return len(l) }
func (l loadList) Load(i int) Load { return l[i] }

// TestPolicies runs the scripts in testdata. Each line of the input is the load
// of one endpoint, and the output is the endpoints in the order to ask.
func TestPolicies(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		policies := map[string]Policy{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var name string
			d.ScanArgs(t, "policy", &name)
			if policies[name] == nil {
				policies[name], _ = New(name)
			}
			if policies[name] == nil {
				return "unknown policy\n"
			}
			c := readLoads(t, d.Input)
			if d.Cmd == "decode" {
				return fmt.Sprintln(policies[name].Decode(c))
			}
			var prefix uint64
			d.MaybeScanArgs(t, "prefix", &prefix)
			return fmt.Sprintln(policies[name].Prefill(c, prefix))
		})
	})
}

func readLoads(t *testing.T, text string) loadList {
	var out loadList
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line == "" {
			continue
		}
		l := Load{Known: true}
		ms := 0
		if _, err := fmt.Sscanf(line, "wait %d running %d queued %d free %d", &ms, &l.Running, &l.Queued, &l.PiecesFree); err != nil {
			t.Fatal(err)
		}
		l.Wait = time.Duration(ms) * time.Millisecond
		out = append(out, l)
	}
	return out
}

// BenchmarkReserve measures the placement of one request.
func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{20, 200, 3100} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p, _ := New(Reserve)
			c := make(loadList, n)
			for i := range c {
				c[i].Queued = i % 7
			}
			for i := range b.N {
				p.Decode(c)
				p.Prefill(c, uint64(i))
			}
		})
	}
}
