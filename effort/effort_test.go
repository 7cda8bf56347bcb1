package effort

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPaces runs scripts of streams at engines. Times are in milliseconds.
func TestPaces(t *testing.T) {
	var p Paces
	datadriven.RunTest(t, "testdata/paces", func(t *testing.T, d *datadriven.TestData) string {
		at, perToken, streams, engine := 0, 0, 1, ""
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "per-token", &perToken)
		d.MaybeScanArgs(t, "streams", &streams)
		d.MaybeScanArgs(t, "engine", &engine)
		now := time.UnixMilli(int64(at))
		switch d.Cmd {
		case "observe":
			for range streams {
				p.Observe(engine, time.Duration(perToken)*time.Millisecond, now)
			}
			return ""
		case "keep":
			p.Forget(map[string]bool{engine: true})
			return ""
		}
		return fmt.Sprintf("%.2f\n", p.Slowness(engine, now))
	})
}

// TestEstimate checks that requests which look alike by their prompts differ in what they
// cost by the length of their answers, and that the tail counts.
func TestEstimate(t *testing.T) {
	length := func(median, deviation float64, limit int) Output {
		return Output{LogMedian: math.Log(median), Deviation: deviation, Max: limit}
	}
	short, long := Estimate(3000, length(100, 0, 0)), Estimate(3000, length(1000, 0, 0))
	if ratio := long.Memory / short.Memory; ratio < 11 || ratio > 12 {
		t.Errorf("ten times the answer costs %.1f times the memory over time", ratio)
	}
	if certain, uncertain := Estimate(3000, length(400, 0, 0)), Estimate(3000, length(400, 0.8, 0)); uncertain.Memory < 1.3*certain.Memory {
		t.Errorf("an uncertain length costs %.0f, a certain one %.0f", uncertain.Memory, certain.Memory)
	}
	if w := Estimate(-1, length(1e6, 9, 1280)); w.Tokens != 1280 {
		t.Errorf("%.0f tokens, want the longest answer", w.Tokens)
	}
}
