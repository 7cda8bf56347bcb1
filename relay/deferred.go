package relay

import (
	"slices"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

// DeferredError reports a pool of which no endpoint takes a request of this entry now,
// and some do later.
type DeferredError struct {
	Pool string
	// After is the time until an endpoint takes another request of this entry.
	After time.Duration
}

// Error returns a message with the name of the pool.
func (e *DeferredError) Error() string {
	return "no endpoint of " + e.Pool + " takes a request now"
}

// noEndpointError returns why pick found no endpoint: a *DeferredError where endpoints
// that take the role name a time, and a *NoEndpointError where none does.
func (r *Relay) noEndpointError(pool string, members []*controlv1.Endpoint, c criteria) error {
	if after, ok := r.tracker.nextRequest(members, c); ok {
		return &DeferredError{Pool: pool, After: after}
	}
	return &NoEndpointError{Pool: pool}
}

// admissionError returns the error of noEndpointError where no endpoint that may serve a
// call takes a request of a role now, and some endpoint has said so.
func (r *Relay) admissionError(cs *callState, role controlv1.Role) error {
	members, now := r.members(cs), time.Now()
	closed := r.tracker.closed(members, now, r.fleet.Entries)
	if len(closed) == 0 || slices.ContainsFunc(members, func(e *controlv1.Endpoint) bool {
		return takesRole(e, role) && !slices.Contains(closed, e.GetName())
	}) {
		return nil
	}
	return r.noEndpointError(cs.pool.Name, members, criteria{now: now, role: role})
}

// nextRequest returns the time until an endpoint that takes a role takes a request. ok is
// false where none names a time.
func (t *tracker) nextRequest(members []*controlv1.Endpoint, c criteria) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range members {
		s := t.endpoints[keyOf(e)]
		if s == nil || !takesRole(e, c.role) {
			continue
		}
		if at, named := s.admission.nextRequest(); named && (!ok || at.Sub(c.now) < after) {
			after, ok = at.Sub(c.now), true
		}
	}
	return max(after, 0), ok
}

// closed returns the names of the endpoints that take no request of this entry now.
func (t *tracker) closed(members []*controlv1.Endpoint, now time.Time, entries func() int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, e := range members {
		if !t.admits(e, now, entries) {
			out = append(out, e.GetName())
		}
	}
	return out
}

// admits reports whether an endpoint takes a request of this entry now. t.mu must be held.
func (t *tracker) admits(e *controlv1.Endpoint, now time.Time, entries func() int) bool {
	s := t.endpoints[keyOf(e)]
	return s == nil || s.admission.allows(now, entries)
}

// take counts a request to an endpoint.
func (t *tracker) take(k endpointKey, entries func() int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints[k]; s != nil {
		s.admission.take(entries)
	}
}
