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
	m.Set("Leads", expvar.Func(func() any { return s.Status().Leads }))
	m.Set("Leader", expvar.Func(func() any { return s.Status().Leader }))
	m.Set("Term", expvar.Func(func() any { return s.Status().Term }))
	m.Set("Commit", expvar.Func(func() any { return s.Status().Commit }))
	m.Set("LogBytes", expvar.Func(func() any { return s.Status().LogBytes }))
	m.Set("SnapshotBytes", expvar.Func(func() any { return s.Status().SnapshotBytes }))
	m.Set("QueuedBytes", expvar.Func(func() any { return s.inputs.size.Load() + s.peers.queuedBytes() }))
	m.Set("Voter", expvar.Func(func() any { return s.Status().Voter }))
	m.Set("Servers", expvar.Func(func() any { return s.Status().Servers }))
	m.Set("DroppedMessages", expvar.Func(func() any { return s.droppedMessages.Load() }))
	return m
}
