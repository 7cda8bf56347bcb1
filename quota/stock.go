package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// heartbeatFraction is the part of its lease after which an entry claims though it
	// needs nothing.
	heartbeatFraction = 0.4
	// idleHolding is how long an entry keeps tokens that it does not use.
	idleHolding = 2 * time.Second
	// reserveWait is how long a request waits for the Ledger before it uses the reserve.
	reserveWait = 150 * time.Millisecond
	// maxWait is how long a request waits for the Ledger at most.
	maxWait = 2 * time.Second
	// askAgain is how long an entry takes the word of the Ledger that it has no tokens:
	// others may give some back.
	askAgain = 250 * time.Millisecond
	// reserveFraction is the part of the tolerated excess that entries without answers
	// use. The rest covers what is on its way when they lose the Ledger.
	reserveFraction = 0.8
)

// Tolerance is by how much, in the unit of a quota, all entries together may exceed it in
// any window. The zero value allows no excess.
type Tolerance struct {
	Excess float64
	Window time.Duration
}

// Request asks for tokens of an account.
type Request struct {
	// ID is unique among the requests that wait.
	ID      uint64
	Account string
	Limit   Limit
	Cost    float64
	// Priority is 0 for the most urgent.
	Priority int
	// Arrived is when the request was first asked for.
	Arrived time.Duration
}

// Verdict is what was decided on a request.
type Verdict int

// The verdicts.
const (
	// Waits means that the Ledger has to be asked.
	Waits Verdict = iota
	// Admitted means that the request is within the quota.
	Admitted
	// Over means that it is over the quota.
	Over
	// Unknown means that the Ledger does not answer, and that the share of this entry is
	// used up.
	Unknown
)

// Decision is the verdict on a request, and when it may come back.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	RetryAfter time.Duration
}

// Stock is one entry's part of the quotas. It is not safe for concurrent use.
type Stock struct {
	entry     string
	tolerance Tolerance
	started   time.Duration
	// answered is when the Ledger last answered; entries and lease are those of that
	// answer. Before the first one, entries is zero.
	answered time.Duration
	entries  int
	lease    time.Duration
	// claimed is when the last claim was made, and claiming are the requests of the
	// claim on its way; nil for none.
	claimed  time.Duration
	claiming map[string][]Request
	holdings map[string]*holding
}

// holding is what the entry has of one account.
type holding struct {
	limit Limit
	// held are tokens that the Ledger has given, and asked is when they were last asked
	// for.
	held  float64
	asked time.Duration
	// waiting are the requests that wait for the Ledger.
	waiting []Request
	// emptyUntil is until when the Ledger has no tokens, as it said last, askAt when it is
	// asked again, and bookedUntil the end of the times that refused requests were told.
	emptyUntil  time.Duration
	askAt       time.Duration
	bookedUntil time.Duration
	// share is what is left of this entry's share as of sharedAt.
	share    float64
	sharedAt time.Duration
	// reserved is what was used of the reserve since reservedAt.
	reserved   float64
	reservedAt time.Duration
}

// NewStock returns the Stock of an entry.
func NewStock(entry string, t Tolerance, now time.Duration) *Stock {
	return &Stock{entry: entry, tolerance: t, started: now, holdings: map[string]*holding{}}
}

// Ask decides on a request, or keeps it until the Ledger was asked.
func (s *Stock) Ask(now time.Duration, r Request) Decision {
	if r.Limit.PerSecond <= 0 {
		return Decision{ID: r.ID, Verdict: Admitted}
	}
	h := s.holdings[r.Account]
	if h == nil {
		h = &holding{}
		s.holdings[r.Account] = h
	}
	h.limit, h.asked = r.Limit, now
	switch {
	case len(h.waiting) == 0 && h.held >= r.Cost:
		h.held -= r.Cost
		return Decision{ID: r.ID, Verdict: Admitted}
	case now < min(h.emptyUntil, h.askAt):
		return Decision{ID: r.ID, Verdict: Over, RetryAfter: h.book(now, r.Cost, s.entries)}
	case s.onShare(now) && s.takeShare(now, h, r.Cost):
		return Decision{ID: r.ID, Verdict: Admitted}
	}
	h.waiting = append(h.waiting, r)
	slices.SortStableFunc(h.waiting, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Arrived, b.Arrived))
	})
	return Decision{ID: r.ID}
}

// book returns when a request may come back that this entry refuses without asking: one
// after the other, at this entry's part of the rate.
func (h *holding) book(now time.Duration, cost float64, entries int) time.Duration {
	until := nextReturn(h.emptyUntil, h.bookedUntil)
	h.bookedUntil = until + h.limit.fillTime(cost*float64(max(entries, 1)))
	return max(until-now, time.Millisecond)
}

// Cancel forgets a request that waits.
func (s *Stock) Cancel(account string, id uint64) {
	if h := s.holdings[account]; h != nil {
		h.waiting = slices.DeleteFunc(h.waiting, func(r Request) bool { return r.ID == id })
	}
}

// GiveBack takes the tokens of an admitted request that did not run.
func (s *Stock) GiveBack(account string, cost float64) {
	if h := s.holdings[account]; h != nil {
		h.held += cost
	}
}

// Tick decides on requests that have waited too long for the Ledger.
func (s *Stock) Tick(now time.Duration) []Decision {
	var out []Decision
	for _, h := range s.holdings {
		waiting := h.waiting[:0]
		for _, r := range h.waiting {
			switch d := s.decideAlone(now, h, r); d.Verdict {
			case Waits:
				waiting = append(waiting, r)
			default:
				out = append(out, d)
			}
		}
		clear(h.waiting[len(waiting):])
		h.waiting = waiting
	}
	return out
}

// decideAlone decides on a request without the Ledger, if it may.
func (s *Stock) decideAlone(now time.Duration, h *holding, r Request) Decision {
	waited := now - r.Arrived
	switch {
	case waited < reserveWait:
	case s.onShare(now) && s.takeShare(now, h, r.Cost), s.takeReserve(now, h, r.Cost):
		return Decision{ID: r.ID, Verdict: Admitted}
	case waited >= maxWait:
		return Decision{ID: r.ID, Verdict: Unknown, RetryAfter: shortestLease}
	}
	return Decision{ID: r.ID}
}

// onShare reports whether the entry uses its share: the Ledger leaves it that once it has
// not claimed for a lease.
func (s *Stock) onShare(now time.Duration) bool {
	silence := now - s.answered
	return s.entries > 0 && silence > s.lease && silence < s.lease+shareLifetime
}

// takeShare takes tokens of this entry's share, which adds up since the lease has ended.
func (s *Stock) takeShare(now time.Duration, h *holding, cost float64) bool {
	begin := max(h.sharedAt, s.answered+s.lease)
	rate := h.limit.PerSecond / float64(s.entries)
	h.share = min(h.share+rate*max(now-begin, 0).Seconds(), h.limit.size()/float64(s.entries))
	h.sharedAt = max(now, begin)
	if h.share < cost {
		return false
	}
	h.share -= cost
	return true
}

// takeReserve takes tokens of this entry's part of the tolerated excess. An entry that has
// started lately may have used it before.
func (s *Stock) takeReserve(now time.Duration, h *holding, cost float64) bool {
	if s.entries == 0 || now-s.started <= s.tolerance.Window {
		return false
	}
	if h.reservedAt == 0 || now-h.reservedAt > s.tolerance.Window {
		h.reserved, h.reservedAt = 0, now
	}
	if h.reserved+cost > reserveFraction*s.tolerance.Excess/float64(s.entries) {
		return false
	}
	h.reserved += cost
	return true
}

// NextClaim returns the claim to make now, or nil. It must be ended by Answered or Failed.
func (s *Stock) NextClaim(now time.Duration) *Claim {
	if s.claiming != nil {
		return nil
	}
	out := &Claim{Entry: s.entry, Entries: s.entries, OnShare: s.onShare(now)}
	needed := now-s.claimed >= time.Duration(heartbeatFraction*float64(max(s.lease, shortestLease)))
	claiming := map[string][]Request{}
	for name, h := range s.holdings {
		c := AccountClaim{Account: name, Returned: s.surplus(now, h)}
		for _, r := range h.waiting {
			c.Costs = append(c.Costs, r.Cost)
		}
		if len(c.Costs) == 0 && h.held == 0 {
			if now-h.asked > idleAccount {
				delete(s.holdings, name)
			}
			continue
		}
		c.Held, c.Ahead = h.held-c.Returned, len(c.Costs) > 0
		needed = needed || c.Ahead
		claiming[name] = slices.Clone(h.waiting)
		out.Accounts = append(out.Accounts, c)
	}
	if !needed {
		return nil
	}
	for _, a := range out.Accounts {
		s.holdings[a.Account].held -= a.Returned
	}
	slices.SortFunc(out.Accounts, func(a, b AccountClaim) int { return cmp.Compare(a.Account, b.Account) })
	s.claimed, s.claiming = now, claiming
	return out
}

// surplus returns the tokens that the entry does not keep.
func (s *Stock) surplus(now time.Duration, h *holding) float64 {
	if len(h.waiting) == 0 && now-h.asked > idleHolding {
		return h.held
	}
	return max(h.held-h.limit.ahead(s.entries), 0)
}

// Answered takes the answer to the claim on its way, and returns what was decided.
func (s *Stock) Answered(now time.Duration, a Answer) []Decision {
	claiming := s.claiming
	s.claiming = nil
	s.answered, s.entries, s.lease = now, a.Entries, a.Lease
	for _, h := range s.holdings {
		h.share, h.sharedAt = 0, 0
	}
	var out []Decision
	for _, answer := range a.Accounts {
		h := s.holdings[answer.Account]
		if h == nil {
			continue
		}
		h.held += answer.Ahead
		if answer.EmptyFor > 0 {
			h.emptyUntil, h.askAt = now+answer.EmptyFor, now+askAgain
		}
		for i, r := range claiming[answer.Account] {
			if i < len(answer.RetryAfter) {
				out = s.settle(out, h, r, answer.RetryAfter[i])
			}
		}
	}
	return out
}

// settle ends the wait of a request. One that waits no more leaves its tokens here.
func (s *Stock) settle(out []Decision, h *holding, r Request, retryAfter time.Duration) []Decision {
	i := slices.IndexFunc(h.waiting, func(w Request) bool { return w.ID == r.ID })
	switch {
	case i < 0 && retryAfter == 0:
		h.held += r.Cost
	case i >= 0:
		h.waiting = slices.Delete(h.waiting, i, i+1)
		d := Decision{ID: r.ID, Verdict: Admitted, RetryAfter: retryAfter}
		if retryAfter > 0 {
			d.Verdict = Over
		}
		out = append(out, d)
	}
	return out
}

// Failed ends a claim without an answer. What was granted to it is lost.
func (s *Stock) Failed() {
	s.claiming = nil
}
