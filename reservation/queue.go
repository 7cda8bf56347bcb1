package reservation

import (
	"slices"
	"sort"
	"time"
)

const (
	// priorities is the number of priority levels; higher ones go first.
	priorities = 10
	// maxOnTimePerLate bounds the on-time requests of a level that are
	// granted in a row while late ones wait, so that these are not starved.
	maxOnTimePerLate = 50
	// maxCompared bounds the requests whose callers' shares are compared.
	maxCompared = 32
)

// level holds the waiting requests of one priority.
type level struct {
	// onTime are the requests that can still meet their targets. It is sorted
	// by target, earliest first (the order of Jackson's earliest due date
	// rule); latestTargets reads it from the end.
	onTime []*requestState
	// late are the requests that have missed their targets or have none. It
	// is sorted by arrival.
	late []*requestState
	// onTimePieces and latePieces are the sums of the pieces of these
	// requests.
	onTimePieces int
	latePieces   int
	// onTimeStreak counts the on-time requests granted since the last late
	// one.
	onTimeStreak int
}

// queue holds the waiting requests. Higher priorities go first. Within a
// priority, requests that can still meet their target go before those that
// cannot, so that overload delays some requests and not all of them. The zero
// value is an empty queue.
type queue struct {
	levels [priorities]level
	length int
	shares shares
}

func (q *queue) level(r *requestState) *level {
	return &q.levels[clampPriority(r.request.Priority)]
}

func clampPriority(priority int) int {
	return min(max(priority, 0), priorities-1)
}

func (q *queue) add(now time.Time, r *requestState) {
	q.length++
	l := q.level(r)
	if r.request.Target.After(now) {
		l.onTime, l.onTimePieces = insertSorted(l.onTime, r, byTarget), l.onTimePieces+r.pieces
		return
	}
	l.late, l.latePieces = insertSorted(l.late, r, byArrival), l.latePieces+r.pieces
}

func byTarget(a, b *requestState) bool {
	if !a.request.Target.Equal(b.request.Target) {
		return a.request.Target.Before(b.request.Target)
	}
	return a.sequence < b.sequence
}

func byArrival(a, b *requestState) bool {
	return a.sequence < b.sequence
}

func insertSorted(list []*requestState, r *requestState, before func(a, b *requestState) bool) []*requestState {
	position := sort.Search(len(list), func(i int) bool { return before(r, list[i]) })
	list = append(list, nil)
	copy(list[position+1:], list[position:])
	list[position] = r
	return list
}

// moveLate moves the requests that have missed their targets from onTime to
// late.
func (q *queue) moveLate(now time.Time) {
	for i := range q.levels {
		l := &q.levels[i]
		for len(l.onTime) > 0 && !l.onTime[0].request.Target.After(now) {
			r := l.onTime[0]
			l.onTime, l.onTimePieces = l.onTime[1:], l.onTimePieces-r.pieces
			l.late, l.latePieces = insertSorted(l.late, r, byArrival), l.latePieces+r.pieces
		}
	}
}

// next returns the request that goes next, or nil, and leaves it in the queue.
// It compares up to maxCompared on-time requests with the latest targets, or
// the longest waiting late ones, and picks the one whose caller has the
// least share.
func (q *queue) next(now time.Time) *requestState {
	for i := priorities - 1; i >= 0; i-- {
		l := &q.levels[i]
		if len(l.onTime) > 0 && (len(l.late) == 0 || l.onTimeStreak < maxOnTimePerLate) {
			return q.shares.leastShare(now, latestTargets(l.onTime))
		}
		if len(l.late) > 0 {
			return q.shares.leastShare(now, l.late[:min(len(l.late), maxCompared)])
		}
	}
	return nil
}

// latestTargets returns the on-time requests with the latest targets, latest
// first, at most maxCompared of them.
func latestTargets(onTime []*requestState) []*requestState {
	out := slices.Clone(onTime[max(0, len(onTime)-maxCompared):])
	slices.Reverse(out)
	return out
}

// dequeue removes a request that is being granted, and counts its memory
// towards its caller's share.
func (q *queue) dequeue(now time.Time, r *requestState) {
	l := q.level(r)
	l.onTimeStreak++
	if indexOf(l.late, r, byArrival) >= 0 {
		l.onTimeStreak = 0
	}
	q.shares.add(now, r.request.Caller, r.pieces)
	q.remove(r)
}

func (q *queue) remove(r *requestState) {
	l := q.level(r)
	if i := indexOf(l.onTime, r, byTarget); i >= 0 {
		l.onTime, l.onTimePieces = append(l.onTime[:i], l.onTime[i+1:]...), l.onTimePieces-r.pieces
		q.length--
		return
	}
	if i := indexOf(l.late, r, byArrival); i >= 0 {
		l.late, l.latePieces = append(l.late[:i], l.late[i+1:]...), l.latePieces-r.pieces
		q.length--
	}
}

// indexOf returns the index of a request in a sorted list, or -1.
func indexOf(list []*requestState, r *requestState, before func(a, b *requestState) bool) int {
	i := sort.Search(len(list), func(i int) bool { return !before(list[i], r) })
	if i < len(list) && list[i] == r {
		return i
	}
	return -1
}

// countAhead returns the number of requests counted as ahead of a new request,
// and the sum of their pieces. onTime says whether the new request can meet
// its target.
func (q *queue) countAhead(priority int, onTime bool) (int, int) {
	requests, pieces := 0, 0
	lowest := clampPriority(priority)
	for i := lowest; i < priorities; i++ {
		l := &q.levels[i]
		requests, pieces = requests+len(l.onTime), pieces+l.onTimePieces
		if i > lowest || !onTime {
			requests, pieces = requests+len(l.late), pieces+l.latePieces
		}
	}
	return requests, pieces
}

// forEach calls a function with every waiting request.
func (q *queue) forEach(f func(r *requestState)) {
	for i := range q.levels {
		for _, r := range q.levels[i].onTime {
			f(r)
		}
		for _, r := range q.levels[i].late {
			f(r)
		}
	}
}
