package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// FullError reports an endpoint that did not run a request, as it has no capacity
// left or is no longer at its address.
type FullError struct {
	// Status is the HTTP status; zero where there was no answer.
	Status int
	// RetryAfter is when the endpoint asks to be called again; zero means that it
	// does not say.
	RetryAfter time.Duration
	// Elsewhere is true where another endpoint now has the address.
	Elsewhere bool
}

// Error returns a message with the status.
func (e *FullError) Error() string {
	if e.Elsewhere {
		return "another endpoint has the address"
	}
	return fmt.Sprintf("endpoint did not run the request, status %d", e.Status)
}

// WaitError reports a request for which no engine had memory in time.
type WaitError struct {
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Error returns a message with the time waited.
func (e *WaitError) Error() string {
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

// SilentError reports an endpoint that stalled: it sent nothing for too long.
type SilentError struct {
	// After is the time without data.
	After time.Duration
}

// Error returns a message with that time.
func (e *SilentError) Error() string {
	return fmt.Sprintf("endpoint sent nothing for %s", e.After)
}

// SpoiledError reports an answer that is not valid HTTP. It does not quote the
// bytes received.
type SpoiledError struct{}

// Error returns the message.
func (*SpoiledError) Error() string {
	return "endpoint sent bytes that are no answer"
}

// GoneError reports a caller whose connection broke.
type GoneError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *GoneError) Error() string {
	return "caller is gone: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error {
	return e.Cause
}

// LongAnswerError reports an answer that exceeds maxAnswerBytes.
type LongAnswerError struct{}

// Error returns a message with the limit.
func (*LongAnswerError) Error() string {
	return fmt.Sprintf("answer of more than %d bytes", maxAnswerBytes)
}

// refusalReason returns the reason of the refusal after a failed try.
func refusalReason(err error) Reason {
	var noEndpoint *NoEndpointError
	var full *FullError
	var waitErr *WaitError
	var dialErr *transport.DialError
	switch {
	case errors.As(err, &noEndpoint):
		return NoEndpoint
	case errors.As(err, &full), errors.As(err, &waitErr):
		return Busy
	case errors.As(err, &dialErr):
		return Unreachable
	}
	return Unknown
}

// retryAfter returns when a caller may retry after a failed try that ran nothing.
func retryAfter(err error) time.Duration {
	var full *FullError
	if errors.As(err, &full) {
		return max(full.RetryAfter, busyRetryAfter)
	}
	var waitErr *WaitError
	if errors.As(err, &waitErr) {
		return queueRetryAfter + rand.N(queueRetryJitter)
	}
	return noEndpointRetryAfter
}

// resultOf returns what the end of a try shows about its endpoint.
func resultOf(ctx context.Context, err error) endpointResult {
	var full *FullError
	var status *StatusError
	var callerGone *GoneError
	var stall *SilentError
	switch {
	case err == nil:
		return resultSuccess
	case errors.As(err, &callerGone), errors.Is(ctx.Err(), context.Canceled):
		return resultUnknown
	case errors.As(err, &full) && !full.Elsewhere:
		return resultFull
	case errors.As(err, &status), errors.As(err, &stall):
		return resultFailed
	}
	return resultUnreachable
}

// endpointOf converts an endpoint. pick only returns endpoints whose address is
// valid.
func endpointOf(e *controlv1.Endpoint) Endpoint {
	a, err := netip.ParseAddrPort(e.GetAddress())
	if err != nil {
		return Endpoint{Name: e.GetName()}
	}
	return Endpoint{Name: e.GetName(), Address: a}
}
