package operation

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	agentv1 "ebonyreel/proto/agent/v1"
)

// TestLog runs a script of requests to an agent, on a log that at first keeps two
// ended operations.
func TestLog(t *testing.T) {
	l := &Log{MaxEnded: 2}
	datadriven.RunTest(t, "testdata/log", func(t *testing.T, d *datadriven.TestData) string {
		var number uint64
		var megabytes int
		d.MaybeScanArgs(t, "number", &number)
		d.MaybeScanArgs(t, "megabytes", &megabytes)
		switch d.Cmd {
		case "keep":
			d.ScanArgs(t, "ended", &l.MaxEnded)
			return ""
		case "start":
			if o := l.Start(number); o != unspecified {
				return "refused: " + outcomeName(o)
			}
			return "runs\n"
		case "end":
			l.End(number, done, &agentv1.CallResponse{Status: 200, Body: make([]byte, megabytes<<20)})
			return ""
		}
		o, a := l.Settle(number)
		if a != nil {
			return "answered: " + outcomeName(o)
		}
		return outcomeName(o)
	})
}

func outcomeName(o agentv1.SettleOutcome) string {
	return strings.TrimPrefix(o.String(), "SETTLE_OUTCOME_") + "\n"
}
