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

// operationLog is a log of the operations started at this agent that is safe for
// concurrent use.
type operationLog struct {
	mu sync.Mutex
	// log is guarded by mu.
	log operation.Log
}

func (l *operationLog) start(number uint64) agentv1.SettleOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Start(number)
}

func (l *operationLog) end(number uint64, outcome agentv1.SettleOutcome, response *agentv1.CallResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.End(number, outcome, response)
}

func (l *operationLog) settle(number uint64) (agentv1.SettleOutcome, *agentv1.CallResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Settle(number)
}

// Call makes one call of the plain service. A call with an operation number runs
// only in the incarnation that the operation was recorded for, and only once.
func (a *Agent) Call(ctx context.Context, r *connect.Request[agentv1.CallRequest]) (*connect.Response[agentv1.CallResponse], error) {
	a.callsInFlight.Add(1)
	defer a.callsInFlight.Add(-1)
	m := r.Msg
	if m.GetOperation() == 0 {
		return a.forward(ctx, ctx, m)
	}
	if m.GetAgentIncarnation() != a.announcer.Incarnation() {
		return nil, newRefusal(agentv1.Refusal_CODE_NOT_RUN, &IncarnationError{Asked: m.GetAgentIncarnation()})
	}
	switch outcome := a.operations.start(m.GetOperation()); outcome {
	case agentv1.SettleOutcome_SETTLE_OUTCOME_UNSPECIFIED:
	case agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER:
		return nil, newRefusal(agentv1.Refusal_CODE_NOT_RUN, &NotStartableError{Outcome: outcome})
	default:
		return nil, newRefusal(agentv1.Refusal_CODE_OUTCOME_UNKNOWN, &NotStartableError{Outcome: outcome})
	}
	// The call continues when its entry is gone; Settle returns its outcome later.
	res, err := a.forward(context.WithoutCancel(ctx), ctx, m)
	a.recordOutcome(m.GetOperation(), res, err)
	return res, err
}

// recordOutcome logs the outcome of an operation. One that was refused as not
// run is never started later.
func (a *Agent) recordOutcome(number uint64, res *connect.Response[agentv1.CallResponse], err error) {
	var ce *connect.Error
	switch {
	case err == nil:
		a.operations.end(number, agentv1.SettleOutcome_SETTLE_OUTCOME_DONE, res.Msg)
	case errors.As(err, &ce) && refusalCode(ce) == agentv1.Refusal_CODE_NOT_RUN:
		a.operations.end(number, agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER, nil)
	default:
		a.operations.end(number, agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN, nil)
	}
}

// refusalCode returns the code of the refusal that an error carries, or
// CODE_UNSPECIFIED.
func refusalCode(ce *connect.Error) agentv1.Refusal_Code {
	for _, d := range ce.Details() {
		v, err := d.Value()
		if r, ok := v.(*agentv1.Refusal); err == nil && ok {
			return r.GetCode()
		}
	}
	return agentv1.Refusal_CODE_UNSPECIFIED
}

// forward sends a call to the service if new work may start now. Only a call
// that never reached the service is refused as not run. inbound is the context of the
// entry's request, which ends once the answer was sent.
func (a *Agent) forward(ctx, inbound context.Context, m *agentv1.CallRequest) (*connect.Response[agentv1.CallResponse], error) {
	e, err := a.acceptingEndpointOf(endpoints.RoleService)
	if err != nil {
		return nil, notRunRefusal(err)
	}
	running := a.serviceCalls.Add(1)
	defer a.serviceCalls.Add(-1)
	if service, ok := a.view.Document().Service(m.GetService()); !ok || running > int64(service.Concurrency) {
		return nil, notRunRefusal(&ConcurrencyError{Service: m.GetService(), Allowed: service.Concurrency})
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
		return nil, newRefusal(agentv1.Refusal_CODE_NOT_RUN, err)
	}
	if err != nil {
		return nil, newRefusal(agentv1.Refusal_CODE_OUTCOME_UNKNOWN, err)
	}
	context.AfterFunc(inbound, res.Memory.Close)
	return connect.NewResponse(&agentv1.CallResponse{
		Status: uint32(res.Status), ContentType: res.ContentType, Body: res.Body, Load: a.loadReport(),
	}), nil
}

// Settle returns the outcome of an operation. An operation that has not started
// is marked so that it never starts.
func (a *Agent) Settle(_ context.Context, r *connect.Request[agentv1.SettleRequest]) (*connect.Response[agentv1.SettleResponse], error) {
	if r.Msg.GetAgentIncarnation() != a.announcer.Incarnation() {
		return nil, newRefusal(agentv1.Refusal_CODE_STALE, &IncarnationError{Asked: r.Msg.GetAgentIncarnation()})
	}
	outcome, response := a.operations.settle(r.Msg.GetOperation())
	return connect.NewResponse(&agentv1.SettleResponse{Outcome: outcome, Answer: response}), nil
}
