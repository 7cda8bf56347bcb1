package relay

import (
	"expvar"
	"time"
)

// buckets are the upper bounds of the latency histogram.
var buckets = []time.Duration{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	900 * time.Millisecond, 3 * time.Second, 10 * time.Second,
}

// counts are the metrics of a relay.
type counts struct {
	// Answered and Latency are keyed by the kind of route, the latter by
	// bucket as well: the time up to the answer or its first event.
	Answered *expvar.Map
	Latency  *expvar.Map
	// Refused is keyed by reason.
	Refused *expvar.Map
	// Retried counts tries beyond the first, Broken streams that were broken
	// off, Late streams that missed their targets, Left calls whose callers left.
	Retried *expvar.Int
	Broken  *expvar.Int
	Left    *expvar.Int
	Late    *expvar.Int
}

func newCounts() *counts {
	return &counts{
		Answered: new(expvar.Map).Init(), Latency: new(expvar.Map).Init(), Refused: new(expvar.Map).Init(),
		Retried: new(expvar.Int), Broken: new(expvar.Int), Left: new(expvar.Int), Late: new(expvar.Int),
	}
}

func (c *counts) refused(r Reason) {
	c.Refused.Add(string(r), 1)
}

func (c *counts) answered(v *visit) {
	c.Answered.Add(string(v.route.Kind), 1)
}

func (c *counts) latency(v *visit, d time.Duration) {
	for _, b := range buckets {
		if d <= b {
			c.Latency.Add(string(v.route.Kind)+" "+b.String(), 1)
			return
		}
	}
	c.Latency.Add(string(v.route.Kind)+" more", 1)
}

// Metrics returns the metrics, for expvar.
func (r *Relay) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("Answered", r.counts.Answered)
	m.Set("Latency", r.counts.Latency)
	m.Set("Refused", r.counts.Refused)
	m.Set("Retried", r.counts.Retried)
	m.Set("Broken", r.counts.Broken)
	m.Set("Left", r.counts.Left)
	m.Set("Late", r.counts.Late)
	m.Set("InFlight", expvar.Func(func() any { return r.working.Load() }))
	return m
}
