package control

import "expvar"

// Metrics returns the metrics of the store, for expvar.
func (s *Store) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("Revision", expvar.Func(func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.state.Revision()
	}))
	return m
}
