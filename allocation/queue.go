package allocation

import (
	"math"
	"slices"
	"time"

	"ebonyreel/effort"
)

const (
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

// Queue holds the requests that wait. A request is on time while it can still meet
// its target, late afterwards, or part of a started stream that continues at
// another engine. On-time requests go first, while started streams get every other
// admission and late requests one in ten. No late request is admitted while a
// started stream waits. Within each kind the most urgent goes first, then that of the
// account which has had least, then the earliest. An account's cheapest and its oldest
// request take turns. The zero value is empty.
type Queue struct {
	// requests is in order of arrival.
	requests []*Request
	// onTimeAdmitted is the number of on-time requests admitted since the last late
	// or started one.
	onTimeAdmitted int
	fairness       fairness
	// grantRate is the grants per second as of rateUpdated, and grants their total.
	grantRate   float64
	rateUpdated time.Time
	grants      int
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	return len(q.requests)
}

// Add adds a request at the place of its arrival.
func (q *Queue) Add(r *Request) {
	r.work = effort.Estimate(r.PromptTokens, effort.Output(r.Output))
	i := len(q.requests)
	for i > 0 && q.requests[i-1].Arrived.After(r.Arrived) {
		i--
	}
	q.requests = slices.Insert(q.requests, i, r)
}

// Remove removes a request, if it waits.
func (q *Queue) Remove(id string) {
	q.requests = slices.DeleteFunc(q.requests, func(r *Request) bool { return r.ID == id })
}

// Next returns the request to admit next among those that are not blocked, or nil.
func (q *Queue) Next(now time.Time, blocked map[string]bool) *Request {
	var onTime, started, late *Request
	for _, r := range q.requests {
		switch {
		case blocked[r.ID]:
		case r.Started:
			started = q.first(started, r)
		case now.Before(r.OnTimeUntil):
			onTime = q.first(onTime, r)
		default:
			late = q.first(late, r)
		}
	}
	switch {
	case started != nil && (onTime == nil || q.onTimeAdmitted >= onTimePerStarted):
		return started
	case onTime == nil || late != nil && q.onTimeAdmitted >= onTimePerLate:
		return late
	}
	return onTime
}

// first returns the request that goes first of two, of which a arrived earlier. a may be
// nil.
func (q *Queue) first(a, b *Request) *Request {
	switch {
	case a == nil || b.Priority < a.Priority:
		return b
	case b.Priority > a.Priority:
		return a
	case a.Account == b.Account:
		if q.fairness.cheapest[a.Account] && b.work.Memory < a.work.Memory {
			return b
		}
	case q.fairness.tag(b.Account) < q.fairness.tag(a.Account):
		return b
	}
	return a
}

// Admit removes a request whose turn it is.
func (q *Queue) Admit(r *Request, now time.Time) {
	q.Remove(r.ID)
	q.fairness.admit(r.Account, r.work.Tokens, r.Weight)
	if !r.Started && now.Before(r.OnTimeUntil) {
		q.onTimeAdmitted++
	} else {
		q.onTimeAdmitted = 0
	}
}

// Granted counts a grant.
func (q *Queue) Granted(now time.Time) {
	q.grantRate = q.rateAt(now) + 1/grantRateWindow.Seconds()
	q.rateUpdated = now
	q.grants++
}

// rateAt returns the moving rate of grants, in grants per second.
func (q *Queue) rateAt(now time.Time) float64 {
	return q.grantRate * math.Exp(-float64(now.Sub(q.rateUpdated))/float64(grantRateWindow))
}

// RefuseLate removes and returns the late requests that would be admitted only after
// their callers give up, at the present rate of grants.
func (q *Queue) RefuseLate(now time.Time) []*Request {
	rate := q.rateAt(now)
	known := q.grants >= minGrants && rate > 0
	ahead := 0
	for _, r := range q.requests {
		if r.Started || now.Before(r.OnTimeUntil) {
			ahead++
		}
	}
	lateRate := rate
	if ahead > 0 {
		lateRate = rate / (onTimePerLate + 1)
	}
	var refused []*Request
	remaining := q.requests[:0]
	var late lateRequests
	for _, r := range q.requests {
		if !now.Before(r.AbandonAt) {
			refused = append(refused, r)
			continue
		}
		if known && !r.Started && !now.Before(r.OnTimeUntil) {
			position := late.add(r.Account)
			if wait := time.Duration(float64(position) / lateRate * float64(time.Second)); now.Add(wait).After(r.AbandonAt) {
				late.remove(r.Account)
				refused = append(refused, r)
				continue
			}
		}
		remaining = append(remaining, r)
	}
	clear(q.requests[len(remaining):])
	q.requests = remaining
	return refused
}

// lateRequests counts the late requests of each account. The zero value has none.
type lateRequests struct {
	counts map[string]int
}

// add counts a request and returns its place among the late ones, where the accounts take
// turns.
func (l *lateRequests) add(account string) int {
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[account]++
	own, place := l.counts[account], 0
	for _, n := range l.counts {
		place += min(n, own)
	}
	return place
}

func (l *lateRequests) remove(account string) {
	l.counts[account]--
}
