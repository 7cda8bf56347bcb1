package stages

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestNext applies the decisions of Next to a pool until there are none. An
// engine is written as p or d for its stage, in upper case while it changes to
// the other stage. With the argument done, each change completes at once.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/next", func(t *testing.T, d *datadriven.TestData) string {
		var u Use
		d.ScanArgs(t, "prefill", &u.Prefill)
		d.ScanArgs(t, "decode", &u.Decode)
		done := d.HasArg("done")
		engines := parseEngines(strings.TrimSpace(d.Input))
		var out strings.Builder
		for range 20 {
			i, ok := Next(engines, u)
			if !ok {
				break
			}
			engines[i].Wanted = Prefill + Decode - engines[i].Stage
			fmt.Fprintln(&out, formatEngines(engines))
			if done {
				engines[i].Stage = engines[i].Wanted
			}
		}
		return out.String() + "end " + formatEngines(engines) + "\n"
	})
}

func parseEngines(s string) []Engine {
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

func formatEngines(engines []Engine) string {
	var out strings.Builder
	for _, e := range engines {
		c := "pd"[e.Stage : e.Stage+1]
		if e.Stage != e.Wanted {
			c = strings.ToUpper(c)
		}
		out.WriteString(c)
	}
	return out.String()
}
