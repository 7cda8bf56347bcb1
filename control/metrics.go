package control

import (
	"expvar"
	"time"
)

// revision returns the revision of the state.
func (s *Store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision()
}

// Metrics returns the metrics of the store, for expvar.
func (s *Store) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("Revision", expvar.Func(func() any { return s.revision() }))
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
	m.Set("Learners", expvar.Func(func() any { return s.Status().Learners }))
	m.Set("SinceContactMilliseconds", expvar.Func(func() any {
		out := map[string]int64{}
		for name, at := range s.Status().heardAt {
			out[name] = time.Since(at).Milliseconds()
		}
		return out
	}))
	m.Set("InputWaitMilliseconds", expvar.Func(func() any { return s.inputs.waits.milliseconds(time.Now()) }))
	m.Set("LongestSaveMilliseconds", expvar.Func(func() any { return s.diskWaits.milliseconds(time.Now()) }))
	m.Set("Deliveries", expvar.Func(func() any { return s.peers.deliveries.calls.Load() }))
	m.Set("DeliveriesFailed", expvar.Func(func() any { return s.peers.deliveries.failed.Load() }))
	m.Set("LongestDeliveryMilliseconds", expvar.Func(func() any { return s.peers.deliveries.times.milliseconds(time.Now()) }))
	return m
}
