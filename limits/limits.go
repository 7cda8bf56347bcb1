// Package limits enforces each caller's limits on the rate of calls and on the
// calls in flight, so that no caller uses up the capacity of the others.
// Package entry checks each call against them.
package limits

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ebonyreel/document"
)

// Table tracks the calls of each caller. The zero value is ready for use. It is
// safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// callers is keyed by the caller's name.
	callers map[string]*callerState
}

type callerState struct {
	limiter *rate.Limiter
	// running is the number of calls in flight. A call is admitted only while
	// it is below the concurrency that the document declares.
	running int
}

// PerEntry returns the part of a caller's limits that each of a number of entries
// enforces. Burst and concurrency are rounded up, so that each entry admits at
// least one call.
func PerEntry(c document.Caller, entries int) document.Caller {
	if entries <= 1 {
		return c
	}
	c.RatePerSecond /= float64(entries)
	c.Burst = (c.Burst + entries - 1) / entries
	c.Concurrency = (c.Concurrency + entries - 1) / entries
	return c
}

// RateError reports a caller that exceeds its rate of calls.
type RateError struct {
	Caller string
	// RetryAfter is the time until the next call can be admitted.
	RetryAfter time.Duration
}

// Error returns a message with the caller.
func (e *RateError) Error() string {
	return fmt.Sprintf("caller %s calls too often", e.Caller)
}

// ConcurrencyError reports a caller with too many calls in flight.
type ConcurrencyError struct {
	Caller  string
	Allowed int
}

// Error returns a message with the caller and the limit.
func (e *ConcurrencyError) Error() string {
	return fmt.Sprintf("caller %s has %d calls in flight, as many as allowed", e.Caller, e.Allowed)
}

// Admit admits a call and returns the function that ends it, which may be called
// more than once. The error is a *RateError or a *ConcurrencyError.
func (t *Table) Admit(now time.Time, c document.Caller) (func(), error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(c)
	if s.running >= c.Concurrency {
		return nil, &ConcurrencyError{Caller: c.Name, Allowed: c.Concurrency}
	}
	r := s.limiter.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return nil, &RateError{Caller: c.Name, RetryAfter: wait}
	}
	s.running++
	return sync.OnceFunc(func() { t.end(s) }), nil
}

// state returns a caller's state, with the limits of its newest declaration.
func (t *Table) state(c document.Caller) *callerState {
	if t.callers == nil {
		t.callers = map[string]*callerState{}
	}
	s, ok := t.callers[c.Name]
	if !ok {
		s = &callerState{limiter: rate.NewLimiter(rate.Limit(c.RatePerSecond), c.Burst)}
		t.callers[c.Name] = s
	}
	if s.limiter.Limit() != rate.Limit(c.RatePerSecond) {
		s.limiter.SetLimit(rate.Limit(c.RatePerSecond))
	}
	if s.limiter.Burst() != c.Burst {
		s.limiter.SetBurst(c.Burst)
	}
	return s
}

func (t *Table) end(s *callerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.running--
}
