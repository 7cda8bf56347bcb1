// Package agents is the side of entries towards agents: one client for each
// agent, the renewal of leases, and the refusals that agents give.
package agents

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	agentv1 "ebonyreel/proto/agent/v1"
)

// RefusalError is what an agent answers when it does not do what it was asked.
type RefusalError struct {
	// Code says what is known about the work.
	Code agentv1.Refusal_Code
	// Reason is for people.
	Reason string
	// RetryAfter is when coming back makes sense; zero means that it does not.
	RetryAfter time.Duration
}

// Error gives the reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("agent refused (%s): %s", e.Code, e.Reason)
}

// Connect returns the refusal as an error that travels.
func (e *RefusalError) Connect() *connect.Error {
	out := connect.NewError(connect.CodeFailedPrecondition, e)
	d, err := connect.NewErrorDetail(&agentv1.Refusal{Code: e.Code, Reason: e.Reason, RetryAfter: durationpb.New(e.RetryAfter)})
	if err == nil {
		out.AddDetail(d)
	}
	return out
}

// Received turns an error of a call into a *RefusalError where the agent gave
// a typed refusal.
func Received(err error) error {
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
