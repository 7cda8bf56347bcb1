// Package limits holds each caller to its rate and its calls in flight, so
// that no caller takes the others' share.
package limits

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ebonyreel/document"
)

// Table has the state of each caller. The zero value is ready for use. It is
// safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// callers is keyed by name.
	callers map[string]*caller
}

type caller struct {
	limiter *rate.Limiter
	// running never exceeds the declared concurrency.
	running int
}

// Share returns the part of a caller's limits that one of a number of entries
// may give. Each entry gives at least one call, and rounds up.
func Share(c document.Caller, entries int) document.Caller {
	if entries <= 1 {
		return c
	}
	c.RatePerSecond /= float64(entries)
	c.Burst = (c.Burst + entries - 1) / entries
	c.Concurrency = (c.Concurrency + entries - 1) / entries
	return c
}

// RateError reports a caller that calls too often.
type RateError struct {
	Caller string
	// RetryAfter is when the next call would be taken.
	RetryAfter time.Duration
}

// Error names the caller.
func (e *RateError) Error() string {
	return fmt.Sprintf("caller %s calls too often", e.Caller)
}

// ConcurrencyError reports a caller with too many calls in flight.
type ConcurrencyError struct {
	Caller  string
	Allowed int
}

// Error names the caller and the bound.
func (e *ConcurrencyError) Error() string {
	return fmt.Sprintf("caller %s has %d calls in flight, as many as allowed", e.Caller, e.Allowed)
}

// Enter takes a call in and returns the function that ends it. The error is a
// *RateError or a *ConcurrencyError.
func (t *Table) Enter(now time.Time, c document.Caller) (func(), error) {
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
	return sync.OnceFunc(func() { t.leave(s) }), nil
}

// state returns a caller's state, adjusted to its newest declaration.
func (t *Table) state(c document.Caller) *caller {
	if t.callers == nil {
		t.callers = map[string]*caller{}
	}
	s, ok := t.callers[c.Name]
	if !ok {
		s = &caller{limiter: rate.NewLimiter(rate.Limit(c.RatePerSecond), c.Burst)}
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

func (t *Table) leave(s *caller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.running--
}
