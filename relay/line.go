package relay

import (
	"context"
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
)

// line is the requests that wait for the memory of a pool's engines. Those that
// can still meet their target go first, by arrival, and so do the late ones
// after them. The zero value is empty. It is safe for concurrent use.
type line struct {
	mu sync.Mutex
	// waiting is in order of arrival.
	waiting []*place
	// asking is the number of requests that have their turn.
	asking int
	// turns counts fresh requests taken since the last late one.
	turns int
}

// place is one waiting request.
type place struct {
	// target is until when a turn lets the request meet its target.
	target time.Time
	// priority is 0 for the most urgent.
	priority int
	// turn is closed when the request has its turn.
	turn chan struct{}
}

// enter waits for a turn. leave must be called after a nil error.
func (l *line) enter(ctx context.Context, target time.Time, priority int) error {
	p := &place{target: target, priority: priority, turn: make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, p)
	l.advance(time.Now())
	l.mu.Unlock()
	select {
	case <-p.turn:
		return nil
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
	return ctx.Err()
}

// leave ends a turn.
func (l *line) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking--
	l.advance(time.Now())
}

func (l *line) advance(now time.Time) {
	for l.asking < askers && len(l.waiting) > 0 {
		p := l.next(now)
		l.remove(p)
		l.asking++
		close(p.turn)
	}
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
