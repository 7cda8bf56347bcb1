package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ebonyreel/document"
)

// TestLimits runs a script of calls by one caller at one of a number of entries.
// Times are in milliseconds.
func TestLimits(t *testing.T) {
	var table Table
	var ends []func()
	c := document.Caller{Name: "c", RatePerSecond: 10, Burst: 4, Concurrency: 3}
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		entries, milliseconds := 1, 0
		d.MaybeScanArgs(t, "entries", &entries)
		d.MaybeScanArgs(t, "at", &milliseconds)
		if d.Cmd == "end" {
			ends[0]()
			ends = ends[1:]
			return ""
		}
		end, err := table.Admit(time.UnixMilli(int64(milliseconds)), PerEntry(c, entries))
		if err != nil {
			return fmt.Sprintf("%T %v\n", err, err)
		}
		ends = append(ends, end)
		return "admitted\n"
	})
}
