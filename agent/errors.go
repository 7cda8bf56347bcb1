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

// comeBack is when to try again after a short-lived refusal.
const comeBack = time.Second

// DownError reports that the endpoint has not been heard from lately, or that
// what an earlier agent left there is not cancelled yet.
type DownError struct{}

// Error says so.
func (*DownError) Error() string {
	return "endpoint is down"
}

// NoLeaseError reports that the agent may not take new work, as its lease has
// lapsed or its document is old.
type NoLeaseError struct{}

// Error says so.
func (*NoLeaseError) Error() string {
	return "agent has no lease on the newest document"
}

// RoleError reports work of a role that the endpoint does not have.
type RoleError struct {
	Role  string
	Asked string
}

// Error names both roles.
func (e *RoleError) Error() string {
	return "endpoint has the role " + e.Role + ", not " + e.Asked
}

// CrowdedError reports a plain service with as many calls in flight as the
// document allows.
type CrowdedError struct {
	Service string
	Allowed int
}

// Error names the service and the bound.
func (e *CrowdedError) Error() string {
	return fmt.Sprintf("%s has %d calls in flight, as many as allowed", e.Service, e.Allowed)
}

// IncarnationError reports an operation that was recorded for another
// incarnation of the agent.
type IncarnationError struct {
	Asked uint64
}

// Error names the incarnation.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("agent is not incarnation %d", e.Asked)
}

// StartedError reports an operation that was started or ruled out before.
type StartedError struct {
	Outcome agentv1.SettleOutcome
}

// Error says what is known of the operation.
func (e *StartedError) Error() string {
	return "operation does not start again: " + e.Outcome.String()
}

// SuspectError reports a content that may run only alone, and that another
// attempt runs, or that crashed an endpoint even so.
type SuspectError struct {
	Digest string
}

// Error names the content.
func (e *SuspectError) Error() string {
	return "content " + e.Digest + " was in flight when an endpoint crashed"
}

func duration(d time.Duration) *durationpb.Duration {
	return durationpb.New(d)
}

// notRun refuses work that was not started and will not be.
func notRun(err error) error {
	r := &agents.RefusalError{Code: agentv1.Refusal_CODE_NOT_RUN, Reason: err.Error(), RetryAfter: comeBack}
	var full *reservation.FullError
	var large *reservation.TooLargeError
	var stale *reservation.StaleError
	switch {
	case errors.As(err, &full):
		r.RetryAfter = max(full.RetryAfter, comeBack)
	case errors.As(err, &large):
		r.RetryAfter = 0
	case errors.As(err, &stale):
		r.Code = agentv1.Refusal_CODE_STALE
	}
	return r.Connect()
}

func refusal(code agentv1.Refusal_Code, err error) error {
	r := &agents.RefusalError{Code: code, Reason: err.Error(), RetryAfter: comeBack}
	return r.Connect()
}
