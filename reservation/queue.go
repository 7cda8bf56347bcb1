package reservation

import (
	"slices"
	"sort"
	"time"
)

const (
	// priorities is the number of priorities; higher ones go first.
	priorities = 10
	// lateTurn is how many requests that can still meet their target are
	// taken for each one that has missed it while both wait.
	lateTurn = 50
	// compared bounds the requests whose callers' shares are compared.
	compared = 32
)

// level is the waiting requests of one priority.
type level struct {
	// fresh can still meet their targets, and is sorted by them (Jackson's
	// earliest due date).
	fresh []*request
	// late have missed their targets or have none, and is sorted by arrival.
	late []*request
	// freshPieces and latePieces are the sums of their memory.
	freshPieces int
	latePieces  int
	// turns counts the fresh requests taken since the last late one.
	turns int
}

// queue is the waiting requests. Those of a higher priority go first; within
// one, those that can still meet their target, so that overload makes some
// requests late and not all of them.
type queue struct {
	levels [priorities]level
	count  int
	shares shares
}

func (q *queue) level(r *request) *level {
	return &q.levels[clamp(r.ask.Priority)]
}

func clamp(priority int) int {
	return min(max(priority, 0), priorities-1)
}

func (q *queue) add(now time.Time, r *request) {
	q.count++
	l := q.level(r)
	if r.ask.Target.After(now) {
		l.fresh, l.freshPieces = insert(l.fresh, r, byTarget), l.freshPieces+r.pieces
		return
	}
	l.late, l.latePieces = insert(l.late, r, byOrder), l.latePieces+r.pieces
}

func byTarget(a, b *request) bool {
	if !a.ask.Target.Equal(b.ask.Target) {
		return a.ask.Target.Before(b.ask.Target)
	}
	return a.order < b.order
}

func byOrder(a, b *request) bool {
	return a.order < b.order
}

func insert(all []*request, r *request, before func(a, b *request) bool) []*request {
	at := sort.Search(len(all), func(i int) bool { return before(r, all[i]) })
	all = append(all, nil)
	copy(all[at+1:], all[at:])
	all[at] = r
	return all
}

// expire moves requests that have missed their target.
func (q *queue) expire(now time.Time) {
	for i := range q.levels {
		l := &q.levels[i]
		for len(l.fresh) > 0 && !l.fresh[0].ask.Target.After(now) {
			r := l.fresh[0]
			l.fresh, l.freshPieces = l.fresh[1:], l.freshPieces-r.pieces
			l.late, l.latePieces = insert(l.late, r, byOrder), l.latePieces+r.pieces
		}
	}
}

// next returns the request that goes next, or nil. It stays in the queue. Of
// the freshest, and of the longest late, that of the caller with the least
// share is taken.
func (q *queue) next(now time.Time) *request {
	for i := priorities - 1; i >= 0; i-- {
		l := &q.levels[i]
		if len(l.fresh) > 0 && (len(l.late) == 0 || l.turns < lateTurn) {
			return q.shares.least(now, freshest(l.fresh))
		}
		if len(l.late) > 0 {
			return q.shares.least(now, l.late[:min(len(l.late), compared)])
		}
	}
	return nil
}

// freshest returns the last few of a list, the last one first.
func freshest(all []*request) []*request {
	out := slices.Clone(all[max(0, len(all)-compared):])
	slices.Reverse(out)
	return out
}

// take removes the request that goes next.
func (q *queue) take(now time.Time, r *request) {
	l := q.level(r)
	l.turns++
	if index(l.late, r, byOrder) >= 0 {
		l.turns = 0
	}
	q.shares.add(now, r.ask.Caller, r.pieces)
	q.remove(r)
}

func (q *queue) remove(r *request) {
	l := q.level(r)
	if i := index(l.fresh, r, byTarget); i >= 0 {
		l.fresh, l.freshPieces = append(l.fresh[:i], l.fresh[i+1:]...), l.freshPieces-r.pieces
		q.count--
		return
	}
	if i := index(l.late, r, byOrder); i >= 0 {
		l.late, l.latePieces = append(l.late[:i], l.late[i+1:]...), l.latePieces-r.pieces
		q.count--
	}
}

// index returns the place of a request in a sorted list, or -1.
func index(all []*request, r *request, before func(a, b *request) bool) int {
	i := sort.Search(len(all), func(i int) bool { return !before(all[i], r) })
	if i < len(all) && all[i] == r {
		return i
	}
	return -1
}

// ahead returns the number and the memory of the requests that go before a
// new one of a priority: fresh says whether it can meet its target.
func (q *queue) ahead(priority int, fresh bool) (int, int) {
	n, pieces := 0, 0
	own := clamp(priority)
	for i := own; i < priorities; i++ {
		l := &q.levels[i]
		n, pieces = n+len(l.fresh), pieces+l.freshPieces
		if i > own || !fresh {
			n, pieces = n+len(l.late), pieces+l.latePieces
		}
	}
	return n, pieces
}

// each calls a function with every waiting request.
func (q *queue) each(f func(r *request)) {
	for i := range q.levels {
		for _, r := range q.levels[i].fresh {
			f(r)
		}
		for _, r := range q.levels[i].late {
			f(r)
		}
	}
}
