// Package agents contains the clients through which entries call agents: one peer
// for each agent, the renewal and release of leases, and the refusals that agents
// return. The agent process itself is in package agent.
package agents

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	agentv1 "ebonyreel/proto/agent/v1"
)

// RefusalError reports that an agent refused a request or could not complete it.
type RefusalError struct {
	// Code says whether the work may have run.
	Code agentv1.Refusal_Code
	// Reason is a text for people.
	Reason string
	// RetryAfter is the time after which a retry makes sense; zero means that
	// none does.
	RetryAfter time.Duration
}

// Error returns a message with the code and the reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("agent refused (%s): %s", e.Code, e.Reason)
}

// ConnectError returns the refusal as a Connect error, for a response.
func (e *RefusalError) ConnectError() *connect.Error {
	out := connect.NewError(connect.CodeFailedPrecondition, e)
	d, err := connect.NewErrorDetail(&agentv1.Refusal{Code: e.Code, Reason: e.Reason, RetryAfter: durationpb.New(e.RetryAfter)})
	if err == nil {
		out.AddDetail(d)
	}
	return out
}

// RefusalFrom returns the *RefusalError that the error of a call carries, or else
// the error itself.
func RefusalFrom(err error) error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err
	}
	for _, d := range ce.Details() {
		v, e := d.Value()
		if r, ok := v.(*agentv1.Refusal); e == nil && ok {
			return &RefusalError{Code: r.GetCode(), Reason: r.GetReason(), RetryAfter: r.GetRetryAfter().AsDuration()}
		}
	}
	return err
}
