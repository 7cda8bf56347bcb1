package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

// NoEndpointError reports that no endpoint of a pool is known.
type NoEndpointError struct {
	Pool string
}

// Error returns a message with the name of the pool.
func (e *NoEndpointError) Error() string {
	return "no endpoint serves " + e.Pool
}

// NotRunError reports an endpoint that did not run a request, as it has no capacity
// left or is no longer at its address.
type NotRunError struct {
	// Status is the HTTP status; zero where there was no answer.
	Status int
	// RetryAfter is when the endpoint asks to be called again; zero means that it
	// does not say.
	RetryAfter time.Duration
	// Misdirected is true where another endpoint now has the address.
	Misdirected bool
}

// Error returns a message with the status.
func (e *NotRunError) Error() string {
	if e.Misdirected {
		return "another endpoint has the address"
	}
	return fmt.Sprintf("endpoint did not run the request, status %d", e.Status)
}

// RetryBudgetError reports a pool to which the retry budget allows no further request
// that may be turned away.
type RetryBudgetError struct {
	Pool string
}

// Error returns a message with the name of the pool.
func (e *RetryBudgetError) Error() string {
	return "the retry budget of " + e.Pool + " is used up"
}

// QueueTimeoutError reports a request for which no engine had memory in time.
type QueueTimeoutError struct {
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Error returns a message with the time waited.
func (e *QueueTimeoutError) Error() string {
	return fmt.Sprintf("no engine had memory within %s", e.Waited)
}

// StatusError reports an endpoint that failed a request with an HTTP status.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered with status %d", e.Status)
}

// StallError reports an endpoint that stalled: it sent nothing for too long.
type StallError struct {
	// After is the time without data.
	After time.Duration
}

// Error returns a message with that time.
func (e *StallError) Error() string {
	return fmt.Sprintf("endpoint sent nothing for %s", e.After)
}

// MalformedAnswerError reports an answer that is not valid HTTP. It does not
// quote the bytes received.
type MalformedAnswerError struct{}

// Error returns the message.
func (*MalformedAnswerError) Error() string {
	return "endpoint sent bytes that are no answer"
}

// CallerGoneError reports a caller whose connection broke.
type CallerGoneError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *CallerGoneError) Error() string {
	return "caller is gone: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error {
	return e.Cause
}

// refusalReason returns the reason of the refusal after a failed attempt.
func refusalReason(err error) Reason {
	var noEndpoint *NoEndpointError
	var notRun *NotRunError
	var queueTimeout *QueueTimeoutError
	var dialErr *transport.DialError
	var crashingPart *CrashingPartError
	var deferred *DeferredError
	var unknownOrigin *UnknownOriginError
	var key *KeyError
	switch {
	case errors.As(err, &key):
		return UnknownKey
	case errors.As(err, &noEndpoint):
		return NoEndpoint
	case errors.As(err, &unknownOrigin):
		return UnknownStream
	case errors.As(err, &deferred):
		return Busy
	case errors.As(err, &crashingPart):
		return Crashing
	case errors.As(err, &notRun), errors.As(err, &queueTimeout):
		return Busy
	case errors.As(err, &dialErr):
		return Unreachable
	}
	return OutcomeUnknown
}

// retryAfter returns when a caller that waits for timeLeft may retry after a failed
// attempt that ran nothing. Callers that were turned away by full endpoints come back
// spread over their time, as the load that filled them lasts for seconds. random is
// drawn from 0 to 1.
func retryAfter(err error, timeLeft time.Duration, random float64) time.Duration {
	spread := time.Duration((busyReturnEarliest + random*(busyReturnLatest-busyReturnEarliest)) * float64(timeLeft))
	queueSpread := queueRetryAfter + time.Duration(random*float64(queueRetryJitter))
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return max(notRun.RetryAfter, busyRetryAfter, spread)
	}
	var deferred *DeferredError
	if errors.As(err, &deferred) {
		return max(deferred.After+min(spread, queueSpread), busyRetryAfter)
	}
	var queueTimeout *QueueTimeoutError
	if errors.As(err, &queueTimeout) {
		return queueSpread
	}
	var crashingPart *CrashingPartError
	if errors.As(err, &crashingPart) {
		return crashingPart.RetryAfter
	}
	return noEndpointRetryAfter
}

// resultOf returns what the end of an attempt shows about its endpoint.
func resultOf(ctx context.Context, err error) endpointResult {
	var notRun *NotRunError
	var status *StatusError
	var callerGone *CallerGoneError
	var stall *StallError
	var crashingPart *CrashingPartError
	var key *KeyError
	switch {
	case err == nil:
		return resultSuccess
	case errors.As(err, &callerGone), errors.As(err, &crashingPart), errors.As(err, &key), errors.Is(ctx.Err(), context.Canceled):
		return resultUnknown
	case errors.As(err, &notRun) && !notRun.Misdirected:
		return resultFull
	case errors.As(err, &status), errors.As(err, &stall):
		return resultFailed
	}
	return resultUnreachable
}

// endpointOf converts an endpoint that pick returned, so that its address is valid.
func endpointOf(e *controlv1.Endpoint) Endpoint {
	a, err := netip.ParseAddrPort(e.GetAddress())
	if err != nil {
		return Endpoint{Name: e.GetName()}
	}
	return Endpoint{Name: e.GetName(), Address: a, Lifetime: e.GetLifetime(), Version: e.GetVersion()}
}
