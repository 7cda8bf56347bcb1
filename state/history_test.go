package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestHistory runs the script testdata/history on a state that keeps six events. It
// guards against a history that holds all versions of a large document.
func TestHistory(t *testing.T) {
	s := New(6)
	datadriven.RunTest(t, "testdata/history", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "publish":
			for _, a := range d.CmdArgs {
				s.publish(a.Key, &controlv1.Item{})
			}
		case "unpublish":
			for _, a := range d.CmdArgs {
				s.unpublish(a.Key)
			}
		case "since":
			var from uint64
			d.ScanArgs(t, "revision", &from)
			return describeEvents(s.EventsSince(Range{}, from))
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return "ok\n"
	})
}

func describeEvents(events []*controlv1.Event, revision uint64, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var out strings.Builder
	for _, e := range events {
		kind := "put"
		if e.GetItem() == nil {
			kind = "delete"
		}
		fmt.Fprintf(&out, "%d %s %s\n", e.GetRevision(), kind, e.GetKey())
	}
	fmt.Fprintf(&out, "up to %d\n", revision)
	return out.String()
}
