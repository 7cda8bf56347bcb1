package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ebonyreel/document"
)

// TestLimits runs scripts of calls of one caller at one of some entries.
func TestLimits(t *testing.T) {
	var table Table
	var leaves []func()
	c := document.Caller{Name: "c", RatePerSecond: 10, Burst: 4, Concurrency: 3}
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		entries, milliseconds := 1, 0
		d.MaybeScanArgs(t, "entries", &entries)
		d.MaybeScanArgs(t, "at", &milliseconds)
		if d.Cmd == "leave" {
			leaves[0]()
			leaves = leaves[1:]
			return ""
		}
		leave, err := table.Enter(time.UnixMilli(int64(milliseconds)), Share(c, entries))
		if err != nil {
			return fmt.Sprintf("%T %v\n", err, err)
		}
		leaves = append(leaves, leave)
		return "taken\n"
	})
}
