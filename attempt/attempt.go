// Package attempt decides what follows a failed attempt at a request: another
// attempt, which may resume an answer that has started, a refusal, or the end
// of that answer. Package entry uses it; package relay has retry rules of its own.
// It has no clock and does no I/O.
package attempt

import "time"

// Failure is the way in which an attempt failed.
type Failure int

const (
	// NotRun means that the work did not start and will not.
	NotRun Failure = iota
	// Crashed means that the endpoint crashed while the request ran on it.
	Crashed
	// ConnectionLost means that the connection or its stream broke or timed out.
	ConnectionLost
	// KvGone means that the KV cache was evicted before it was imported.
	KvGone
	// Refused means that the request was refused and that another attempt now
	// would be refused too.
	Refused
	// Suspect means that the content may run only isolated, as it was in flight
	// when an endpoint crashed. The work did not start.
	Suspect
	// CallerGone means that the caller closed its connection.
	CallerGone
)

// Action is what to do next.
type Action int

const (
	// Retry starts another attempt after the decision's RetryDelay.
	Retry Action = iota
	// Refuse answers the caller with a refusal; no token was sent yet.
	Refuse
	// EndWithError ends an answer that has started with an explicit error.
	EndWithError
)

const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 8
	// firstRetryDelay is the delay before an attempt that follows a NotRun
	// failure. It doubles with each failed attempt.
	firstRetryDelay = 50 * time.Millisecond
	// maxCrashes is the number of crashes after which a request may still be
	// retried.
	maxCrashes = 2
)

// Decision is what follows a failure.
type Decision struct {
	Action Action
	// RetryAfter is the time after which the caller may retry, for Refuse and
	// EndWithError.
	RetryAfter time.Duration
	// RetryDelay is the delay before the next attempt, for Retry.
	RetryDelay time.Duration
	// Strike is true when the crash counts against the content.
	Strike bool
}

// Progress is the history of one request. The zero value is a request before its
// first attempt.
type Progress struct {
	// FailedAttempts counts the failed attempts.
	FailedAttempts int
	// Crashes counts the attempts that failed with Crashed.
	Crashes int
	// Started is true once an endpoint may have run the request, so that it
	// must not be reported as not run.
	Started bool
	// Sent is the number of tokens sent to the caller.
	Sent int
}

// Fail records a failed attempt and decides what follows. retryAfter is the delay
// that the source of the failure asked for, and withinBudget says whether the
// retry budget of the process allows another attempt.
func (p *Progress) Fail(f Failure, retryAfter time.Duration, withinBudget bool) Decision {
	p.FailedAttempts++
	d := Decision{Action: Retry}
	if f == Crashed {
		p.Crashes++
		d.Strike = true
	}
	if f == NotRun {
		d.RetryDelay = firstRetryDelay << (p.FailedAttempts - 1)
	}
	if f == Refused || p.FailedAttempts >= maxAttempts || p.Crashes > maxCrashes || !withinBudget {
		d.Action = p.endingAction()
		d.RetryAfter = max(retryAfter, time.Second)
	}
	return d
}

// endingAction returns the action that ends the request.
func (p *Progress) endingAction() Action {
	if p.Sent > 0 {
		return EndWithError
	}
	return Refuse
}
