package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

const microsecondsPerMillisecond = 1000.0

// result is the JSON line of a run. Counts, rates and latencies cover the measured
// completions through the router, except Late, which covers service calls, and
// Lost, which covers all calls.
type result struct {
	Case       string
	Deployment string
	Policy     string
	Seed       uint64
	Offered    int
	// Bound and Goodput are in requests per second; OfBound is Goodput / Bound.
	Bound   float64
	Goodput float64
	OfBound float64
	// WastedPrefill is a share of all prefill work.
	WastedPrefill float64
	// LateFirst and LateBetween count the complete answers that missed the target
	// for the first token and for the time between tokens.
	LateFirst   int
	LateBetween int
	Refused     int
	Lost        int
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds.
	FirstTokenP95    float64
	BetweenTokensP95 float64
	// Late is the share of offered service calls with a deadline that succeeded
	// after it.
	Late float64
	// RouterAddsP50 and RouterAddsP99 are the percentiles of the time to the first
	// token less those of a direct stream, in milliseconds; zero without one.
	RouterAddsP50 float64
	RouterAddsP99 float64
	// RouterMicrosecondsPerToken is the processor time of the router's processes
	// for each token after the first of its answer.
	RouterMicrosecondsPerToken float64
}

// result returns the result of the run, with the fields of the label, a JSON object,
// set as given there. It waits until the prefill engines' counters are final.
func (r *run) result(label string) result {
	out := result{Deployment: r.plan.Deployment, Seed: r.seed, Lost: r.lostCalls}
	if label != "" {
		_ = json.Unmarshal([]byte(label), &out)
	}
	completions, withDeadline, direct := newStreamStats(), newStreamStats(), newStreamStats()
	for _, s := range r.plan.Streams {
		t := r.stats[s.Name]
		if s.DeadlineMilliseconds > 0 {
			withDeadline.Offered += t.Offered
			withDeadline.Late += t.Late
		}
		if s.Direct {
			direct.firstToken.Merge(t.firstToken)
		}
		if s.Model == "" || s.Direct {
			continue
		}
		out.Bound = max(out.Bound, r.plan.Capacity.bound(s))
		out.Offered += t.Offered
		out.Refused += t.Refused
		out.LateFirst += t.LateFirst
		out.LateBetween += t.LateBetween
		out.Goodput += float64(t.Good) / r.plan.measuredSeconds()
		completions.firstToken.Merge(t.firstToken)
		completions.betweenTokens.Merge(t.betweenTokens)
	}
	out.FirstTokenP95 = float64(completions.firstToken.ValueAtQuantile(95)) / microsecondsPerMillisecond
	out.BetweenTokensP95 = float64(completions.betweenTokens.ValueAtQuantile(95)) / microsecondsPerMillisecond
	if direct.firstToken.TotalCount() > 0 {
		out.RouterAddsP50 = addedLatency(completions, direct, 50)
		out.RouterAddsP99 = addedLatency(completions, direct, 99)
	}
	out.OfBound = quotient(out.Goodput, out.Bound)
	out.Late = quotient(float64(withDeadline.Late), float64(withDeadline.Offered))
	out.RouterMicrosecondsPerToken = quotient(float64(r.cpuTime.Microseconds()), float64(r.tokensAfterFirst))
	out.WastedPrefill = r.plan.wastedPrefill()
	return out
}

// addedLatency returns the difference in milliseconds between the router's and the
// direct streams' time to the first token at a percentile.
func addedLatency(router, direct *streamStats, percentile float64) float64 {
	d := router.firstToken.ValueAtQuantile(percentile) - direct.firstToken.ValueAtQuantile(percentile)
	return float64(d) / microsecondsPerMillisecond
}

// quotient returns a / b, or zero when b is zero.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (r *run) table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "stream\toffered\twhole\tgood\trefused\tcancelled\tbroken\twrong\tlate\tfirst p50\tfirst p95\tfirst p99\tbetween p50\tbetween p95\t")
	for _, s := range r.plan.Streams {
		t := r.stats[s.Name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", s.Name,
			t.Offered, t.Whole, t.Good, t.Refused, t.Cancelled, t.Broken, t.Wrong, t.Late,
			formatMicroseconds(t.firstToken.ValueAtQuantile(50)), formatMicroseconds(t.firstToken.ValueAtQuantile(95)),
			formatMicroseconds(t.firstToken.ValueAtQuantile(99)),
			formatMicroseconds(t.betweenTokens.ValueAtQuantile(50)), formatMicroseconds(t.betweenTokens.ValueAtQuantile(95)))
	}
	_ = w.Flush()
	return b.String()
}

func formatMicroseconds(v int64) string {
	return (time.Duration(v) * time.Microsecond).Round(100 * time.Microsecond).String()
}
