package relay

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// askers is the number of waiting requests that ask for memory at the same
	// time.
	askers = 2
	// lateTurn is how many requests that can still meet their target go before
	// each one that has missed it while both wait.
	lateTurn = 3
	// rateMemory is the time over which grants of memory are counted.
	rateMemory = 2 * time.Second
	// knownGrants is the number of grants before the rate is relied on.
	knownGrants = 10
)

// line is the requests that wait for the memory of a pool's engines. Those that
// can still meet their target go first, by arrival, and so do the late ones
// after them. Who would not have a turn before leaving is refused at once. The
// zero value is empty. It is safe for concurrent use.
type line struct {
	mu sync.Mutex
	// waiting is in order of arrival.
	waiting []*place
	// asking is the number of requests that have their turn.
	asking int
	// turns counts fresh requests taken since the last late one.
	turns int
	// rate is the grants in a second, as of counted, and grants their number.
	rate    float64
	counted time.Time
	grants  int
}

// place is one waiting request.
type place struct {
	// target is until when a turn lets the request meet its target, and leaves
	// until when a turn is of any use.
	target time.Time
	leaves time.Time
	// priority is 0 for the most urgent.
	priority int
	// turn is closed when the request has its turn, refused when it will not have
	// one in time.
	turn    chan struct{}
	refused chan struct{}
}

func newPlace(target, leaves time.Time, priority int) *place {
	return &place{target: target, leaves: leaves, priority: priority, turn: make(chan struct{}), refused: make(chan struct{})}
}

// enter waits for a turn. leave must be called where it reports true.
func (l *line) enter(ctx context.Context, p *place) bool {
	l.mu.Lock()
	l.waiting = append(l.waiting, p)
	l.advance(time.Now())
	l.mu.Unlock()
	select {
	case <-p.turn:
		return true
	case <-p.refused:
		return false
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-p.turn:
		l.asking--
		l.advance(time.Now())
	default:
		l.remove(p)
	}
	return false
}

// leave ends a turn. granted says whether it brought memory.
func (l *line) leave(granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if granted {
		l.rate = l.rateAt(now) + 1/rateMemory.Seconds()
		l.counted = now
		l.grants++
	}
	l.asking--
	l.advance(now)
}

// rateAt is the rate of grants at a time.
func (l *line) rateAt(now time.Time) float64 {
	return l.rate * math.Exp(-float64(now.Sub(l.counted))/float64(rateMemory))
}

func (l *line) advance(now time.Time) {
	for l.asking < askers && len(l.waiting) > 0 {
		p := l.next(now)
		l.remove(p)
		l.asking++
		close(p.turn)
	}
	l.refuse(now)
}

// refuse ends the wait of requests that will have left before their turn, at the
// present rate of grants.
func (l *line) refuse(now time.Time) {
	rate := l.rateAt(now)
	if l.grants < knownGrants || rate <= 0 {
		return
	}
	fresh, late := 0, 0
	for _, p := range l.waiting {
		if now.Before(p.target) {
			fresh++
		}
	}
	lateRate := rate
	if fresh > 0 {
		lateRate = rate / (lateTurn + 1)
	}
	kept := l.waiting[:0]
	for _, p := range l.waiting {
		if !now.Before(p.target) {
			late++
			if wait := time.Duration(float64(late) / lateRate * float64(time.Second)); now.Add(wait).After(p.leaves) {
				late--
				close(p.refused)
				continue
			}
		}
		kept = append(kept, p)
	}
	l.waiting = kept
}

// next returns the request that goes next.
func (l *line) next(now time.Time) *place {
	var fresh, late *place
	for _, p := range l.waiting {
		switch {
		case now.Before(p.target):
			fresh = more(fresh, p)
		default:
			late = more(late, p)
		}
	}
	if fresh == nil || late != nil && l.turns >= lateTurn {
		l.turns = 0
		return late
	}
	l.turns++
	return fresh
}

// more returns the more urgent of two requests, or the earlier one.
func more(first, p *place) *place {
	if first == nil || p.priority < first.priority {
		return p
	}
	return first
}

func (l *line) remove(p *place) {
	for i, q := range l.waiting {
		if q == p {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}
