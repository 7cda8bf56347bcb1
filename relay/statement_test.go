package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestAdmission runs scripts of what an endpoint says of itself, and checks whether it
// takes a request of one of four entries then. A statement names the time since the
// start at which its request was sent or, where it is adopted from another entry, its
// answer came.
func TestAdmission(t *testing.T) {
	datadriven.Walk(t, "testdata/admission", func(t *testing.T, path string) {
		var a admission
		start := time.Unix(1000, 0)
		now, entries := start, func() int { return 4 }
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "wait" {
				now = now.Add(parseDuration(t, d.CmdArgs[0].Key))
			} else {
				s := Statement{Leaving: d.HasArg("leaving"), Malformed: d.HasArg("malformed"), Limited: d.HasArg("limit")}
				d.MaybeScanArgs(t, "limit", &s.RequestLimit)
				sent := now
				for _, arg := range d.CmdArgs {
					switch arg.Key {
					case "pause":
						s.Pause = parseDuration(t, arg.Vals[0])
					case "sent":
						sent = start.Add(parseDuration(t, arg.Vals[0]))
					}
				}
				if d.Cmd == "adopt" {
					a.adopt(sent, s, entries, 1)
				} else {
					a.hear(now, sent, s, entries, 1)
				}
			}
			out := fmt.Sprintf("takes a request: %t", a.allows(now, entries))
			if at, ok := a.nextRequest(); ok && at.After(now) {
				out += fmt.Sprintf(", next in %s", at.Sub(now))
			}
			return out + "\n"
		})
	})
}
