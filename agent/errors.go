package agent

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/agents"
	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/reservation"
)

// defaultRetryAfter is the retry delay in a refusal, unless the queue's expected
// wait is longer or a retry is of no use.
const defaultRetryAfter = time.Second

// EndpointDownError reports that the endpoint is down, or that it still holds work of
// an earlier agent that is being cancelled.
type EndpointDownError struct{}

// Error returns the message.
func (*EndpointDownError) Error() string {
	return "endpoint is down"
}

// NoLeaseError reports that the agent may not accept new work, as its lease has
// expired or its document is not the newest.
type NoLeaseError struct{}

// Error returns the message.
func (*NoLeaseError) Error() string {
	return "agent has no lease on the newest document"
}

// RoleError reports work for another role than that of the endpoint.
type RoleError struct {
	Role  string
	Asked string
}

// Error returns a message with both roles.
func (e *RoleError) Error() string {
	return "endpoint has the role " + e.Role + ", not " + e.Asked
}

// ConcurrencyError reports a plain service with as many calls in flight as the
// document allows, or one that the document does not have.
type ConcurrencyError struct {
	Service string
	Allowed int
}

// Error returns a message with the service and the limit.
func (e *ConcurrencyError) Error() string {
	return fmt.Sprintf("%s has %d calls in flight, as many as allowed", e.Service, e.Allowed)
}

// IncarnationError reports an operation that was recorded for another
// incarnation of the agent, Asked.
type IncarnationError struct {
	Asked uint64
}

// Error returns a message with the incarnation.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("agent is not incarnation %d", e.Asked)
}

// NotStartableError reports an operation that may not start, as it was started
// earlier or is marked as never to start.
type NotStartableError struct {
	Outcome agentv1.SettleOutcome
}

// Error returns a message with the outcome of the operation.
func (e *NotStartableError) Error() string {
	return "operation does not start again: " + e.Outcome.String()
}

// SuspectError reports a content that was in flight when an endpoint crashed.
// It may run only isolated, and not at all while another attempt has its
// isolated run or after it crashed an endpoint on its own.
type SuspectError struct {
	Digest string
}

// Error returns a message with the content's digest.
func (e *SuspectError) Error() string {
	return "content " + e.Digest + " was in flight when an endpoint crashed"
}

func protoDuration(d time.Duration) *durationpb.Duration {
	return durationpb.New(d)
}

// notRunRefusal refuses work that was not started and will not be. An attempt
// that is not current is refused as stale.
func notRunRefusal(err error) error {
	r := &agents.RefusalError{Code: agentv1.Refusal_CODE_NOT_RUN, Reason: err.Error(), RetryAfter: defaultRetryAfter}
	var full *reservation.QueueFullError
	var large *reservation.TooLargeError
	var stale *reservation.StaleError
	switch {
	case errors.As(err, &full):
		r.RetryAfter = max(full.RetryAfter, defaultRetryAfter)
	case errors.As(err, &large):
		r.RetryAfter = 0
	case errors.As(err, &stale):
		r.Code = agentv1.Refusal_CODE_STALE
	}
	return r.ConnectError()
}

// newRefusal returns a refusal with the text of an error as its reason.
func newRefusal(code agentv1.Refusal_Code, err error) error {
	r := &agents.RefusalError{Code: code, Reason: err.Error(), RetryAfter: defaultRetryAfter}
	return r.ConnectError()
}
