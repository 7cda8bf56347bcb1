package relay

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// maxAsking bounds the number of requests that ask engines for memory at the
	// same time.
	maxAsking = 2
	// onTimePerLate is the number of on-time requests admitted for each late one
	// while both wait. Late requests get a small share, so that serving them does
	// not make the others miss their targets too.
	onTimePerLate = 9
	// onTimePerStarted is the number of on-time requests admitted for each started
	// stream while both wait. Such a stream is late already, but much work was done
	// for it.
	onTimePerStarted = 1
	// grantRateWindow is the time constant of the moving rate of grants.
	grantRateWindow = 2 * time.Second
	// minGrants is the number of grants needed before the rate is used.
	minGrants = 10
)

// queue holds the requests that wait for the engine memory of a pool, and admits a
// few of them at a time to ask for it. A request is on time while it can still
// meet its target, late afterwards, or part of a started stream that continues at
// another engine. On-time requests go first, while started streams get every other
// admission and late requests one in ten. No late request is admitted while a
// started stream waits. Within each kind the most urgent goes first, then the
// earliest. Late requests that would not be admitted before their callers give up
// are refused at once. The zero value is empty. It is safe for concurrent use.
type queue struct {
	mu sync.Mutex
	// waiting is in order of arrival.
	waiting []*waiter
	// asking is the number of admitted requests, at most maxAsking.
	asking int
	// onTimeAdmitted is the number of on-time requests admitted since the last late
	// or started one.
	onTimeAdmitted int
	// grantRate is the grants per second as of rateUpdated, and grants their total.
	grantRate   float64
	rateUpdated time.Time
	grants      int
}

// waiter is one waiting request.
type waiter struct {
	// onTimeUntil is the latest admission that meets the request's target, and
	// abandonAt the latest one before its caller gives up.
	onTimeUntil time.Time
	abandonAt   time.Time
	// priority is 0 for the most urgent.
	priority int
	// started is true for a stream whose caller has received events.
	started bool
	// admitted is closed when the request may ask for memory, and refused when it
	// would not be admitted in time. At most one of them is closed.
	admitted chan struct{}
	refused  chan struct{}
}

func newWaiter(onTimeUntil, abandonAt time.Time, priority int) *waiter {
	return &waiter{onTimeUntil: onTimeUntil, abandonAt: abandonAt, priority: priority, admitted: make(chan struct{}), refused: make(chan struct{})}
}

// acquire waits until a request is admitted and reports whether it was. The caller
// must call release where it reports true.
func (q *queue) acquire(ctx context.Context, w *waiter) bool {
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
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
		q.remove(w)
	}
	return false
}

// release ends an admission. granted tells whether an engine granted memory.
func (q *queue) release(granted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if granted {
		q.grantRate = q.rateAt(now) + 1/grantRateWindow.Seconds()
		q.rateUpdated = now
		q.grants++
	}
	q.asking--
	q.admit(now)
}

// rateAt returns the moving rate of grants, in grants per second.
func (q *queue) rateAt(now time.Time) float64 {
	return q.grantRate * math.Exp(-float64(now.Sub(q.rateUpdated))/float64(grantRateWindow))
}

func (q *queue) admit(now time.Time) {
	for q.asking < maxAsking && len(q.waiting) > 0 {
		w := q.next(now)
		q.remove(w)
		q.asking++
		close(w.admitted)
	}
	q.refuseLate(now)
}

// refuseLate refuses the late requests that would be admitted only after their
// callers give up, at the present rate of grants.
func (q *queue) refuseLate(now time.Time) {
	rate := q.rateAt(now)
	if q.grants < minGrants || rate <= 0 {
		return
	}
	ahead, late := 0, 0
	for _, w := range q.waiting {
		if w.started || now.Before(w.onTimeUntil) {
			ahead++
		}
	}
	lateRate := rate
	if ahead > 0 {
		lateRate = rate / (onTimePerLate + 1)
	}
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		if !w.started && !now.Before(w.onTimeUntil) {
			late++
			if wait := time.Duration(float64(late) / lateRate * float64(time.Second)); now.Add(wait).After(w.abandonAt) {
				late--
				close(w.refused)
				continue
			}
		}
		remaining = append(remaining, w)
	}
	q.waiting = remaining
}

// next returns the request to admit next; the queue must not be empty.
func (q *queue) next(now time.Time) *waiter {
	var onTime, started, late *waiter
	for _, w := range q.waiting {
		switch {
		case w.started:
			started = moreUrgent(started, w)
		case now.Before(w.onTimeUntil):
			onTime = moreUrgent(onTime, w)
		default:
			late = moreUrgent(late, w)
		}
	}
	switch {
	case started != nil && (onTime == nil || q.onTimeAdmitted >= onTimePerStarted):
		q.onTimeAdmitted = 0
		return started
	case onTime == nil || late != nil && q.onTimeAdmitted >= onTimePerLate:
		q.onTimeAdmitted = 0
		return late
	}
	q.onTimeAdmitted++
	return onTime
}

// moreUrgent returns the more urgent of two requests, or the first one where they
// are equal. first may be nil.
func moreUrgent(first, w *waiter) *waiter {
	if first == nil || w.priority < first.priority {
		return w
	}
	return first
}

// length returns the number of waiting requests.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}
