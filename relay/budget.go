package relay

import (
	"sync"
	"time"
)

// RetryBudget bounds the retries that all entries together send to one pool: in any
// window, at most Ratio retries per request, and Slack more.
type RetryBudget struct {
	// Ratio is retries per request.
	Ratio float64
	// Slack is a number of retries.
	Slack  float64
	Window time.Duration
	// Since is when this process began to share the budget; zero for long ago.
	Since time.Time
}

const (
	// ratioFraction and slackFraction are the fractions of the budget that running
	// entries use. The rest of the slack is reserved for entries that restart, as they
	// forget the retries before.
	ratioFraction = 0.7
	slackFraction = 0.5
	// heldFraction is the fraction of its share that an entry leaves for prefills at a pool
	// of model engines, as they may be turned away. Without them a prompt is computed by
	// the engine that decodes, which delays the streams there.
	heldFraction = 0.1
	// notRunFraction is the fraction of the rest that an entry uses for requests that
	// an endpoint turned away. What is left is for requests that failed, which have
	// cost more, and of which the next endpoint is more likely to make a success.
	notRunFraction = 0.5
	// riskMargin is the factor by which the rate of prefills that are not accepted may rise
	// before the next of them end. A held prefill counts as that rate, times the margin,
	// of a retry.
	riskMargin = 4
	// priorUnaccepted and priorPrefills are added to the prefills of the window, for the
	// rate before much is known.
	priorUnaccepted = 0.3
	priorPrefills   = 10
	// minEntries is the least number of entries among which the slack is divided,
	// even while fewer are known.
	minEntries = 4
	// accountSlots is the number of equal parts of the window in which requests and
	// retries are counted.
	accountSlots = 20
)

// retryReason is why a request is sent again.
type retryReason int

const (
	// retryFailed means that an endpoint failed the request or may have.
	retryFailed retryReason = iota
	// retryNotRun means that an endpoint turned the request away.
	retryNotRun
)

// holdResult is how a request ended for which a retry was held.
type holdResult int

const (
	// holdUnused means that the request did not reach an endpoint.
	holdUnused holdResult = iota
	// holdAccepted means that an endpoint accepted it, so that it was no retry.
	holdAccepted
	// holdUnaccepted means that an endpoint turned it away or may have, so that it counts
	// as a retry.
	holdUnaccepted
)

// retryAccount counts the requests and retries of one entry to a pool over the window
// of the budget. In each window, the entry's retries are bounded by its own requests
// there and its share of the slack, so that those of all entries are within the
// budget wherever the requests arrive. The zero value is empty. It is safe for
// concurrent use.
type retryAccount struct {
	mu sync.Mutex
	// start is when the account was first used; slots are numbered from there.
	start time.Time
	slots [accountSlots + 1]accountSlot
	// held is the number of prefills in flight that count as retries unless they are
	// accepted. It is not negative.
	held int
}

// accountSlot holds the counts of one part of the time.
type accountSlot struct {
	number   int64
	requests int
	retries  int
	// prefills are those for which a retry was held, and unaccepted those of them that
	// counted as one. These are among the retries.
	prefills   int
	unaccepted int
}

// recordRequest counts one request.
func (r *retryAccount) recordRequest(now time.Time, b RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slot(now, b); s != nil {
		s.requests++
	}
}

// withdraw counts one retry if the budget allows it, and reports whether it does.
// entries is the number of entries that share the budget, and prefills is true for a pool
// of model engines.
func (r *retryAccount) withdraw(now time.Time, b RetryBudget, entries int, reason retryReason, prefills bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.slot(now, b)
	if current == nil {
		return false
	}
	w := r.count(current.number)
	allowed := w.allowed(now, b, entries)
	if prefills {
		allowed *= 1 - heldFraction
	}
	if reason == retryNotRun {
		allowed *= notRunFraction
	}
	if float64(w.retries+1)+float64(r.held)*w.holdRisk() > allowed {
		return false
	}
	current.retries++
	return true
}

// hold holds a retry for a prefill until settle, if the budget allows it, and reports
// whether it does.
func (r *retryAccount) hold(now time.Time, b RetryBudget, entries int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.allowsHold(now, b, entries) {
		return false
	}
	r.held++
	return true
}

// settle ends a hold.
func (r *retryAccount) settle(now time.Time, b RetryBudget, result holdResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
	s := r.slot(now, b)
	if s == nil || result == holdUnused {
		return
	}
	s.prefills++
	if result == holdUnaccepted {
		s.unaccepted++
		s.retries++
	}
}

// canHold reports whether hold would hold a retry now.
func (r *retryAccount) canHold(now time.Time, b RetryBudget, entries int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allowsHold(now, b, entries)
}

// allowsHold reports whether the share has room for one more hold. A budget without a
// window bounds none. r.mu must be held.
func (r *retryAccount) allowsHold(now time.Time, b RetryBudget, entries int) bool {
	current := r.slot(now, b)
	if current == nil {
		return true
	}
	w := r.count(current.number)
	return float64(w.retries)+float64(r.held+1)*w.holdRisk() <= w.allowed(now, b, entries)
}

// balance returns the number of retries that are left.
func (r *retryAccount) balance(now time.Time, b RetryBudget, entries int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.slot(now, b)
	if current == nil {
		return 0
	}
	w := r.count(current.number)
	return w.allowed(now, b, entries) - float64(w.retries)
}

// count returns the sums over the window that ends with a slot. They err on the side of
// fewer retries: the slot that the window covers in part counts with its retries and
// without its requests.
func (r *retryAccount) count(current int64) accountSlot {
	w := accountSlot{number: current}
	for _, s := range r.slots {
		age := current - s.number
		if age > accountSlots {
			continue
		}
		w.retries += s.retries
		w.prefills += s.prefills
		w.unaccepted += s.unaccepted
		if age < accountSlots {
			w.requests += s.requests
		}
	}
	return w
}

// allowed returns the retries that an entry may send in a window with these requests. Its
// share of the slack grows over the first window of the process. However often it restarts,
// the shares of its lifetimes within a window are one share at most, besides that of the
// lifetime before.
func (s accountSlot) allowed(now time.Time, b RetryBudget, entries int) float64 {
	share := b.Slack * slackFraction / float64(max(entries, minEntries))
	if !b.Since.IsZero() {
		share *= min(float64(now.Sub(b.Since))/float64(b.Window), 1)
	}
	return share + b.Ratio*ratioFraction*float64(s.requests)
}

// holdRisk returns the retry, from 0 to 1, that a held prefill counts as.
func (s accountSlot) holdRisk() float64 {
	return min(riskMargin*(float64(s.unaccepted)+priorUnaccepted)/(float64(s.prefills)+priorPrefills), 1)
}

// slot returns the slot of a time, or nil for a budget without a window.
func (r *retryAccount) slot(now time.Time, b RetryBudget) *accountSlot {
	length := b.Window / accountSlots
	if length <= 0 {
		return nil
	}
	if r.start.IsZero() {
		r.start = now
	}
	number := int64(now.Sub(r.start) / length)
	s := &r.slots[number%int64(len(r.slots))]
	if s.number != number {
		*s = accountSlot{number: number}
	}
	return s
}
