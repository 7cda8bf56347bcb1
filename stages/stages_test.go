package stages

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestNext plays orders on pools until none is due. An engine is written as
// its stage: p or d, and in capitals while it changes to the other one.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/next", func(t *testing.T, d *datadriven.TestData) string {
		var u Use
		d.ScanArgs(t, "prefill", &u.Prefill)
		d.ScanArgs(t, "decode", &u.Decode)
		done := d.HasArg("done")
		all := read(strings.TrimSpace(d.Input))
		var out strings.Builder
		for range 20 {
			i, ok := Next(all, u)
			if !ok {
				break
			}
			all[i].Wanted = Prefill + Decode - all[i].Stage
			fmt.Fprintln(&out, write(all))
			if done {
				all[i].Stage = all[i].Wanted
			}
		}
		return out.String() + "end " + write(all) + "\n"
	})
}

func read(s string) []Engine {
	var out []Engine
	for _, c := range s {
		switch c {
		case 'p':
			out = append(out, Engine{Prefill, Prefill})
		case 'd':
			out = append(out, Engine{Decode, Decode})
		case 'P':
			out = append(out, Engine{Prefill, Decode})
		case 'D':
			out = append(out, Engine{Decode, Prefill})
		}
	}
	return out
}

func write(all []Engine) string {
	var out strings.Builder
	for _, e := range all {
		c := "pd"[e.Stage : e.Stage+1]
		if e.Stage != e.Wanted {
			c = strings.ToUpper(c)
		}
		out.WriteString(c)
	}
	return out.String()
}
