package agent

import (
	"sync"
	"time"

	"ebonyreel/lease"
	"ebonyreel/reservation"
)

// inflight is the work that the agent gave to one start of its engine. What
// the engine holds beyond it belongs to nobody. The zero value is empty. It is
// safe for concurrent use.
type inflight struct {
	mu sync.Mutex
	// running maps the engine's name of an attempt to its work, from before
	// the engine is called until its answer has ended.
	running map[string]work
	// exports holds the attempts whose KV cache waits for its import, under
	// the leases of their entries.
	exports lease.Table
}

// work is what one attempt runs.
type work struct {
	// digest is that of the content.
	digest string
	// isolated is true where nothing else runs beside it.
	isolated bool
}

// begin accounts for an attempt until the returned function is called.
func (f *inflight) begin(request string, w work) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[string]work{}
	}
	f.running[request] = w
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, request)
	}
}

// export accounts for an exported KV cache as long as its lease is renewed.
func (f *inflight) export(request string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exports.Renew(request, now, reservation.LeaseLength)
}

// renew extends the lease of an export. It reports false where there is none.
func (f *inflight) renew(request string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exports.Held(request, now) {
		return false
	}
	f.exports.Renew(request, now, reservation.LeaseLength)
	return true
}

// drop ends the lease of an export.
func (f *inflight) drop(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exports.Drop(request)
}

// runs reports whether the engine was given an attempt that has not ended.
func (f *inflight) runs(request string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.running[request]
	return ok
}

// accounts reports whether the engine may hold something for a request.
func (f *inflight) accounts(request string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.running[request]
	return ok || f.exports.Held(request, now)
}

// snapshot returns the attempts that are running.
func (f *inflight) snapshot() map[string]work {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]work, len(f.running))
	for r, w := range f.running {
		out[r] = w
	}
	return out
}

// lapse forgets the exports whose leases have ended.
func (f *inflight) lapse(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exports.Lapsed(now)
}
