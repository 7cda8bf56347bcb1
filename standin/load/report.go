package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

const microsecondsPerMillisecond = 1000.0

// result is the JSON line of a run.
type result struct {
	Case       string
	Deployment string
	Policy     string
	Seed       uint64
	Offered    int
	// Bound and Goodput are in requests per second, OfBound is their quotient.
	Bound   float64
	Goodput float64
	OfBound float64
	// WastedPrefill is a share of all prefill work.
	WastedPrefill float64
	// LateFirst and LateBetween are whole answers that missed a target.
	LateFirst   int
	LateBetween int
	Refused     int
	Lost        int
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds.
	FirstTokenP95    float64
	BetweenTokensP95 float64
	// Late is the share of calls with a deadline that missed it.
	Late float64
	// RouterAddsP50 and RouterAddsP99 are the first token's time over that of a
	// direct stream, in milliseconds; both are zero without one.
	RouterAddsP50 float64
	RouterAddsP99 float64
	// RouterMicrosecondsPerToken is processor time of the router's processes.
	RouterMicrosecondsPerToken float64
}

// result sums up the completions. The label's fields are taken over.
func (r *run) result(label string) result {
	out := result{Deployment: r.plan.Deployment, Seed: r.seed, Lost: r.lostCalls}
	if label != "" {
		_ = json.Unmarshal([]byte(label), &out)
	}
	all, bounded, direct := newTally(), newTally(), newTally()
	for _, s := range r.plan.Streams {
		t := r.tallies[s.Name]
		if s.DeadlineMilliseconds > 0 {
			bounded.Offered += t.Offered
			bounded.Late += t.Late
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
		out.Goodput += float64(t.Good) / r.plan.counted()
		all.firstToken.Merge(t.firstToken)
		all.betweenTokens.Merge(t.betweenTokens)
	}
	out.FirstTokenP95 = float64(all.firstToken.ValueAtQuantile(95)) / microsecondsPerMillisecond
	out.BetweenTokensP95 = float64(all.betweenTokens.ValueAtQuantile(95)) / microsecondsPerMillisecond
	if direct.firstToken.TotalCount() > 0 {
		out.RouterAddsP50 = added(all, direct, 50)
		out.RouterAddsP99 = added(all, direct, 99)
	}
	out.OfBound = quotient(out.Goodput, out.Bound)
	out.Late = quotient(float64(bounded.Late), float64(bounded.Offered))
	out.RouterMicrosecondsPerToken = quotient(float64(r.cpu.Microseconds()), float64(r.tokens))
	out.WastedPrefill = r.plan.wastedPrefill()
	return out
}

// added is the difference between two tallies' first tokens at a percentile,
// in milliseconds.
func added(router, direct *tally, percentile float64) float64 {
	d := router.firstToken.ValueAtQuantile(percentile) - direct.firstToken.ValueAtQuantile(percentile)
	return float64(d) / microsecondsPerMillisecond
}

// quotient is zero where there is nothing to divide by.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// table prints a row for each stream.
func (r *run) table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "stream\toffered\twhole\tgood\trefused\tcancelled\tbroken\twrong\tlate\tfirst p50\tfirst p95\tfirst p99\tbetween p50\tbetween p95\t")
	for _, s := range r.plan.Streams {
		t := r.tallies[s.Name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", s.Name,
			t.Offered, t.Whole, t.Good, t.Refused, t.Cancelled, t.Broken, t.Wrong, t.Late,
			microseconds(t.firstToken.ValueAtQuantile(50)), microseconds(t.firstToken.ValueAtQuantile(95)),
			microseconds(t.firstToken.ValueAtQuantile(99)),
			microseconds(t.betweenTokens.ValueAtQuantile(50)), microseconds(t.betweenTokens.ValueAtQuantile(95)))
	}
	_ = w.Flush()
	return b.String()
}

func microseconds(v int64) string {
	return (time.Duration(v) * time.Microsecond).Round(100 * time.Microsecond).String()
}
