package entry

import (
	"expvar"

	"ebonyreel/callers"
)

// counters holds the metrics of an entry.
type counters struct {
	// Refused is keyed by refusal code.
	Refused *expvar.Map
	// Completed counts complete answers.
	Completed *expvar.Int
	// Retried counts attempts after the first.
	Retried *expvar.Int
	// Prefills counts prefill requests, and Wasted those whose KV cache was
	// computed but not imported for decoding.
	Prefills *expvar.Int
	Wasted   *expvar.Int
}

func newCounters() *counters {
	return &counters{
		Refused:   new(expvar.Map).Init(),
		Completed: new(expvar.Int),
		Retried:   new(expvar.Int),
		Prefills:  new(expvar.Int),
		Wasted:    new(expvar.Int),
	}
}

func (c *counters) countRefused(code callers.Code) {
	c.Refused.Add(string(code), 1)
}

// Metrics returns the metrics of the server as one expvar map.
func (s *Server) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("Refused", s.counters.Refused)
	m.Set("Completed", s.counters.Completed)
	m.Set("Retried", s.counters.Retried)
	m.Set("Prefills", s.counters.Prefills)
	m.Set("WastedPrefills", s.counters.Wasted)
	m.Set("DecisionsDropped", s.decisions.Dropped)
	m.Set("InFlight", expvar.Func(func() any { return s.inFlight.Load() }))
	return m
}
