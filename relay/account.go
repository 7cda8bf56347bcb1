package relay

import (
	"context"
	"errors"
	"time"

	"ebonyreel/document"
	"ebonyreel/quota"
)

// priorityRanks is the number of priorities of routes that are told apart among accounts
// with the same priority.
const priorityRanks = 100

// Quotas decides whether requests are within the quotas of their accounts.
type Quotas interface {
	// Take waits until a request is within the quota of its account. The error is a
	// *quota.RefusedError, or that of the context.
	Take(ctx context.Context, c document.Caller, cost float64, priority int) error
	// GiveBack returns what Take took for a request that did not run.
	GiveBack(account string, cost float64)
}

// KeyError reports a caller whose key is none of the document in force.
type KeyError struct {
	// Revoked is true where it was one when the call began.
	Revoked bool
}

// Error returns a message without the key.
func (e *KeyError) Error() string {
	if e.Revoked {
		return "the key of the caller was taken away"
	}
	return "the caller has no key that is known"
}

// SetQuotas makes the relay ask whether requests are within the quotas of their accounts.
// It must be called before the first call is served.
func (r *Relay) SetQuotas(q Quotas) {
	r.quotas = q
}

// identify finds the account of a call. The error is a *KeyError.
func (r *Relay) identify(cs *callState, d *document.Document) error {
	if !d.Requests.NeedKey {
		return nil
	}
	c, ok := d.CallerByKeyHash(cs.call.KeyHash)
	if !ok {
		if cs.route.Public {
			return nil
		}
		return &KeyError{}
	}
	cs.account, cs.keyCheckedAt = c, d.Number
	if c.RoutePriority != nil {
		cs.route.Priority = *c.RoutePriority*priorityRanks + min(cs.route.Priority, priorityRanks-1)
	}
	return nil
}

// checkKey checks before an attempt whether a newer document still has the key of a call,
// which may have waited for long. The error is a *KeyError.
func (r *Relay) checkKey(cs *callState) error {
	if cs.account.Name == "" {
		return nil
	}
	d, since := r.fleet.DocumentInForce()
	if d == nil || d.Number == cs.keyCheckedAt || !d.Requests.NeedKey {
		return nil
	}
	if c, ok := d.CallerByKeyHash(cs.call.KeyHash); !ok || c.Name != cs.account.Name {
		cs.recordDocument(d, since)
		return &KeyError{Revoked: true}
	}
	cs.keyCheckedAt = d.Number
	return nil
}

// takeQuota takes what a call costs from the quota of its account. It reports whether the
// call may go on; otherwise it is refused.
func (r *Relay) takeQuota(ctx context.Context, cs *callState) bool {
	q := cs.account.Quota
	if r.quotas == nil || cs.account.Name == "" || !q.Bounds() {
		return true
	}
	cost := q.Cost(cs.call.Prompt.Tokens, cs.call.Prompt.MaxOutput)
	start := time.Now()
	err := r.quotas.Take(ctx, cs.account, cost, cs.route.Priority)
	r.metrics.QuotaWait.observe(cs.account.Name, time.Since(start))
	if err == nil {
		cs.quotaTaken = cost
		return true
	}
	var refused *quota.RefusedError
	switch {
	case errors.As(err, &refused):
		reason := OverQuota
		if refused.Unknown {
			reason = QuotaUnknown
		}
		r.refuse(cs, Refusal{Reason: reason, RetryAfter: refused.RetryAfter}, err)
	case errors.Is(ctx.Err(), context.Canceled):
		r.endCallerGone(cs, err)
	default:
		r.refuse(cs, Refusal{Reason: Expired}, err)
	}
	return false
}

// returnQuota gives back what a call took that no endpoint has run.
func (r *Relay) returnQuota(cs *callState) {
	if cs.quotaTaken > 0 && !cs.mayHaveRun && cs.prefills == 0 {
		r.quotas.GiveBack(cs.account.Name, cs.quotaTaken)
		cs.quotaTaken = 0
	}
}
