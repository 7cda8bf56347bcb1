package agent

import (
	"sync"
	"time"

	"ebonyreel/lease"
	"ebonyreel/reservation"
)

// inflight records the work that the agent gave to one instance of its engine.
// Anything else that the engine holds is orphaned. The zero value is empty. It
// is safe for concurrent use.
type inflight struct {
	mu sync.Mutex
	// running maps the engine request ID of an attempt to its work, from
	// before the engine is called until its response has ended.
	running map[string]attemptWork
	// exports are the attempts whose exported KV cache was not imported yet.
	// Their entries renew the leases.
	exports lease.Table
}

// attemptWork is the work of one attempt.
type attemptWork struct {
	// digest is the digest of the content.
	digest string
	// isolated is true when no other attempt runs at the same time.
	isolated bool
}

// track records a running attempt until the returned function is called.
func (f *inflight) track(request string, w attemptWork) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[string]attemptWork{}
	}
	f.running[request] = w
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, request)
	}
}

// trackExport records an exported KV cache as long as its lease is renewed.
func (f *inflight) trackExport(request string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exports.Renew(request, now, reservation.LeaseLength)
}

// renewExport extends the lease of an export. It reports false if there is none.
func (f *inflight) renewExport(request string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exports.Held(request, now) {
		return false
	}
	f.exports.Renew(request, now, reservation.LeaseLength)
	return true
}

// dropExport ends the lease of an export.
func (f *inflight) dropExport(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exports.Release(request)
}

// isRunning reports whether an attempt is running at the engine.
func (f *inflight) isRunning(request string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.running[request]
	return ok
}

// accountsFor reports whether a request is running or has an export.
func (f *inflight) accountsFor(request string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.running[request]
	return ok || f.exports.Held(request, now)
}

// runningAttempts returns a copy of the running attempts.
func (f *inflight) runningAttempts() map[string]attemptWork {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]attemptWork, len(f.running))
	for r, w := range f.running {
		out[r] = w
	}
	return out
}

// expireExports removes the exports whose leases have expired.
func (f *inflight) expireExports(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exports.RemoveExpired(now)
}
