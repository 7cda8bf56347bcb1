package agent

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"

	"ebonyreel/endpoints"
	"ebonyreel/operation"
	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/services"
)

// callLog guards the log of the operations that were started.
type callLog struct {
	mu sync.Mutex
	// log is guarded by mu.
	log operation.Log
}

func (c *callLog) start(number uint64) agentv1.SettleOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Start(number)
}

func (c *callLog) end(number uint64, o agentv1.SettleOutcome, answer *agentv1.CallResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.End(number, o, answer)
}

func (c *callLog) settle(number uint64) (agentv1.SettleOutcome, *agentv1.CallResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Settle(number)
}

// Call makes one call of the plain service. A call with a record runs only in
// the incarnation that it was recorded for, and only once.
func (a *Agent) Call(ctx context.Context, r *connect.Request[agentv1.CallRequest]) (*connect.Response[agentv1.CallResponse], error) {
	a.working.Add(1)
	defer a.working.Add(-1)
	m := r.Msg
	if m.GetOperation() == 0 {
		return a.forward(ctx, m)
	}
	if m.GetAgentIncarnation() != a.announcer.Incarnation() {
		return nil, refusal(agentv1.Refusal_CODE_NOT_RUN, &IncarnationError{Asked: m.GetAgentIncarnation()})
	}
	switch was := a.calls.start(m.GetOperation()); was {
	case agentv1.SettleOutcome_SETTLE_OUTCOME_UNSPECIFIED:
	case agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER:
		return nil, refusal(agentv1.Refusal_CODE_NOT_RUN, &StartedError{Outcome: was})
	default:
		return nil, refusal(agentv1.Refusal_CODE_OUTCOME_UNKNOWN, &StartedError{Outcome: was})
	}
	// The call goes on when its entry is gone: its outcome is settled later.
	res, err := a.forward(context.WithoutCancel(ctx), m)
	a.finish(m.GetOperation(), res, err)
	return res, err
}

// finish notes the outcome of an operation. One that was refused as not run
// is never started later.
func (a *Agent) finish(number uint64, res *connect.Response[agentv1.CallResponse], err error) {
	var ce *connect.Error
	switch {
	case err == nil:
		a.calls.end(number, agentv1.SettleOutcome_SETTLE_OUTCOME_DONE, res.Msg)
	case errors.As(err, &ce) && codeOf(ce) == agentv1.Refusal_CODE_NOT_RUN:
		a.calls.end(number, agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER, nil)
	default:
		a.calls.end(number, agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN, nil)
	}
}

func codeOf(ce *connect.Error) agentv1.Refusal_Code {
	for _, d := range ce.Details() {
		v, err := d.Value()
		if r, ok := v.(*agentv1.Refusal); err == nil && ok {
			return r.GetCode()
		}
	}
	return agentv1.Refusal_CODE_UNSPECIFIED
}

// forward makes the call, if new work may start at this very moment. Only a
// call that never reached the service is refused as not run.
func (a *Agent) forward(ctx context.Context, m *agentv1.CallRequest) (*connect.Response[agentv1.CallResponse], error) {
	e, err := a.acceptsRole(endpoints.RoleService)
	if err != nil {
		return nil, notRun(err)
	}
	running := a.serving.Add(1)
	defer a.serving.Add(-1)
	if d, ok := a.view.Document().Service(m.GetService()); !ok || running > int64(d.Concurrency) {
		return nil, notRun(&CrowdedError{Service: m.GetService(), Allowed: d.Concurrency})
	}
	ctx, span := a.tracer.Start(ctx, "Call")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, m.GetTimeout().AsDuration())
	defer cancel()
	res, err := e.service.Call(ctx, services.Call{
		Method:      m.GetMethod(),
		Path:        m.GetPath(),
		ContentType: m.GetContentType(),
		Body:        m.GetBody(),
		Key:         m.GetKey(),
		Request:     m.GetAttempt().GetRequest(),
	})
	var unsent *services.NotSentError
	if errors.As(err, &unsent) {
		return nil, refusal(agentv1.Refusal_CODE_NOT_RUN, err)
	}
	if err != nil {
		return nil, refusal(agentv1.Refusal_CODE_OUTCOME_UNKNOWN, err)
	}
	return connect.NewResponse(&agentv1.CallResponse{
		Status: uint32(res.Status), ContentType: res.ContentType, Body: res.Body, Load: a.load(),
	}), nil
}

// Settle answers what became of an operation, and rules out one that has not
// started.
func (a *Agent) Settle(_ context.Context, r *connect.Request[agentv1.SettleRequest]) (*connect.Response[agentv1.SettleResponse], error) {
	if r.Msg.GetAgentIncarnation() != a.announcer.Incarnation() {
		return nil, refusal(agentv1.Refusal_CODE_STALE, &IncarnationError{Asked: r.Msg.GetAgentIncarnation()})
	}
	out, answer := a.calls.settle(r.Msg.GetOperation())
	return connect.NewResponse(&agentv1.SettleResponse{Outcome: out, Answer: answer}), nil
}
