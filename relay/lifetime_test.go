package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestLifetime checks the verdicts on crash reports. A process that accepts connections
// for some milliseconds more must not pass for one that has survived.
func TestLifetime(t *testing.T) {
	datadriven.RunTest(t, "testdata/lifetimes", func(t *testing.T, d *datadriven.TestData) string {
		checks := map[string]Lifetime{"running": LifetimeRunning, "ended": LifetimeEnded, "unknown": LifetimeUnknown}
		record := &controlv1.Endpoint{Lifetime: 7}
		if d.HasArg("replaced") {
			record.Lifetime = 8
		}
		if d.HasArg("lost") {
			record.State = controlv1.EndpointState_ENDPOINT_STATE_LOST
		}
		var out string
		for _, age := range []time.Duration{0, 600 * time.Millisecond, time.Second, 5 * time.Second} {
			out += fmt.Sprintf("%s: %s\n", age, judge(recordedLifetime(checks[d.Cmd], Endpoint{Lifetime: 7}, record), age))
		}
		return out
	})
}

// TestLifetimeWatchBounded checks that reports are not kept without bound, and that those
// which wait for control count too.
func TestLifetimeWatchBounded(t *testing.T) {
	var w lifetimeWatch
	c := crashReport{at: time.Now()}
	for i := range maxPendingReports {
		if first, ok := w.add(c); first != (i == 0) || !ok {
			t.Fatalf("report %d: first %t, taken %t", i, first, ok)
		}
	}
	if _, ok := w.add(c); ok {
		t.Error("one report too many was taken")
	}
	if decided, more := w.decide(c.key(), LifetimeEnded, time.Now()); len(decided[verdictCrashed]) != maxPendingReports || more {
		t.Errorf("%d reports are decided, more %t", len(decided[verdictCrashed]), more)
	}
	if _, ok := w.add(c); ok {
		t.Error("a report was taken while all others wait for control")
	}
	w.done()
	if _, ok := w.add(c); !ok {
		t.Error("no report was taken after one was recorded")
	}
}
