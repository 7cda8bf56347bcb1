package entry

import (
	"expvar"

	"ebonyreel/callers"
)

// counts are the metrics of an entry.
type counts struct {
	// Refused is keyed by refusal code.
	Refused *expvar.Map
	// Completed counts whole answers.
	Completed *expvar.Int
	// Retried counts tries beyond the first.
	Retried *expvar.Int
	// Prefills counts prefills asked for, and Wasted those whose result was
	// not decoded.
	Prefills *expvar.Int
	Wasted   *expvar.Int
}

func newCounts() *counts {
	return &counts{
		Refused:   new(expvar.Map).Init(),
		Completed: new(expvar.Int),
		Retried:   new(expvar.Int),
		Prefills:  new(expvar.Int),
		Wasted:    new(expvar.Int),
	}
}

func (c *counts) refused(code callers.Code) {
	c.Refused.Add(string(code), 1)
}

// Metrics returns the metrics of the server, for expvar.
func (s *Server) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("Refused", s.counts.Refused)
	m.Set("Completed", s.counts.Completed)
	m.Set("Retried", s.counts.Retried)
	m.Set("Prefills", s.counts.Prefills)
	m.Set("WastedPrefills", s.counts.Wasted)
	m.Set("DecisionsDropped", s.decisions.Dropped)
	m.Set("InFlight", expvar.Func(func() any { return s.working.Load() }))
	return m
}
