package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ebonyreel/allocation"
)

// maxAsking bounds the number of requests that ask engines for memory at the
// same time.
const maxAsking = 2

// queue holds the requests of this entry that wait for the engine memory of a pool
// while the allocator is not available, and admits a few of them at a time to ask for
// it, in the order of an allocation.Queue. The zero value is empty. It is safe for
// concurrent use.
type queue struct {
	mu      sync.Mutex
	waiting allocation.Queue
	// waiters is keyed by the ID of the request.
	waiters map[string]*waiter
	// asking is the number of admitted requests, at most maxAsking, and lastID the
	// number of the last request.
	asking int
	lastID uint64
}

// waiter is one waiting request.
type waiter struct {
	allocation.Request
	// admitted is closed when the request may ask for memory, and refused when it
	// would not be admitted in time. At most one of them is closed.
	admitted chan struct{}
	refused  chan struct{}
}

func newWaiter(onTimeUntil, abandonAt time.Time, priority int) *waiter {
	return &waiter{
		Request:  allocation.Request{OnTimeUntil: onTimeUntil, AbandonAt: abandonAt, Priority: priority},
		admitted: make(chan struct{}), refused: make(chan struct{}),
	}
}

// acquire waits until a request is admitted and reports whether it was. The caller
// must call release where it reports true.
func (q *queue) acquire(ctx context.Context, w *waiter) bool {
	q.mu.Lock()
	if q.waiters == nil {
		q.waiters = map[string]*waiter{}
	}
	q.lastID++
	w.ID, w.Arrived = fmt.Sprint(q.lastID), time.Now()
	q.waiters[w.ID] = w
	q.waiting.Add(&w.Request)
	q.admit(time.Now())
	q.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-w.refused:
		return false
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.admitted:
		q.asking--
		q.admit(time.Now())
	default:
		q.waiting.Remove(w.ID)
		delete(q.waiters, w.ID)
	}
	return false
}

// release ends an admission. granted tells whether an engine granted memory.
func (q *queue) release(granted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if granted {
		q.waiting.Granted(now)
	}
	q.asking--
	q.admit(now)
}

// admit admits requests while few ask, and refuses those that would be admitted too
// late.
func (q *queue) admit(now time.Time) {
	for q.asking < maxAsking {
		r := q.waiting.Next(now, nil)
		if r == nil {
			break
		}
		q.waiting.Admit(r, now)
		q.asking++
		close(q.waiters[r.ID].admitted)
		delete(q.waiters, r.ID)
	}
	for _, r := range q.waiting.RefuseLate(now) {
		close(q.waiters[r.ID].refused)
		delete(q.waiters, r.ID)
	}
}

// length returns the number of waiting requests.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}
