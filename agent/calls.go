package agent

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"

	"ebonyreel/endpoints"
	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/services"
)

// maxCallsKept bounds the operations that an agent remembers.
const maxCallsKept = 100_000

// callLog remembers which operations were started in this incarnation, so that
// each is started once, and which were promised never to start.
type callLog struct {
	mu sync.Mutex
	// calls maps an operation to what is known of it.
	calls map[operation]*callState
	// order lists the operations, the oldest first.
	order []operation
}

type operation struct {
	caller string
	key    string
}

type callState struct {
	outcome agentv1.SettleOutcome
	answer  *agentv1.CallResponse
}

func newCallLog() *callLog {
	return &callLog{calls: map[operation]*callState{}}
}

// start claims an operation. It reports false when it was claimed or ruled out
// before.
func (c *callLog) start(o operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.calls[o]; ok {
		return false
	}
	c.keep(o, &callState{outcome: agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING})
	return true
}

func (c *callLog) keep(o operation, s *callState) {
	c.calls[o] = s
	c.order = append(c.order, o)
	if len(c.order) > maxCallsKept {
		delete(c.calls, c.order[0])
		c.order = c.order[1:]
	}
}

// end records what a started operation came to.
func (c *callLog) end(o operation, out agentv1.SettleOutcome, answer *agentv1.CallResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.calls[o]; ok {
		s.outcome, s.answer = out, answer
	}
}

// settle returns what is known, and promises never to start an operation that
// has not started.
func (c *callLog) settle(o operation) (agentv1.SettleOutcome, *agentv1.CallResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.calls[o]
	if !ok {
		s = &callState{outcome: agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER}
		c.keep(o, s)
	}
	return s.outcome, s.answer
}

// Call makes one call of the plain service. A call with a key runs only in the
// incarnation it was recorded for, and only once.
func (a *Agent) Call(ctx context.Context, r *connect.Request[agentv1.CallRequest]) (*connect.Response[agentv1.CallResponse], error) {
	e, err := a.acceptsRole(endpoints.RoleService)
	if err != nil {
		return nil, notRun(err)
	}
	a.working.Add(1)
	defer a.working.Add(-1)
	m := r.Msg
	if m.GetIdempotent() || m.GetKey() == "" {
		return a.forward(ctx, e, m)
	}
	if m.GetAgentIncarnation() != a.announcer.Incarnation() {
		return nil, refusal(agentv1.Refusal_CODE_STALE, &NoLeaseError{})
	}
	o := operation{caller: m.GetCaller(), key: m.GetKey()}
	if !a.calls.start(o) {
		return nil, refusal(agentv1.Refusal_CODE_STALE, &NoLeaseError{})
	}
	// The call goes on when its entry is gone: its outcome is settled later.
	res, err := a.forward(context.WithoutCancel(ctx), e, m)
	a.finish(o, res, err)
	return res, err
}

func (a *Agent) finish(o operation, res *connect.Response[agentv1.CallResponse], err error) {
	var ce *connect.Error
	switch {
	case err == nil:
		a.calls.end(o, agentv1.SettleOutcome_SETTLE_OUTCOME_DONE, res.Msg)
	case errors.As(err, &ce) && codeOf(ce) == agentv1.Refusal_CODE_NOT_RUN:
		a.calls.end(o, agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER, nil)
	default:
		a.calls.end(o, agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN, nil)
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

// forward makes the call. Only a call that never reached the service is
// refused as not run.
func (a *Agent) forward(ctx context.Context, e *endpoint, m *agentv1.CallRequest) (*connect.Response[agentv1.CallResponse], error) {
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
		return nil, refusal(agentv1.Refusal_CODE_STALE, &NoLeaseError{})
	}
	out, answer := a.calls.settle(operation{caller: r.Msg.GetCaller(), key: r.Msg.GetKey()})
	return connect.NewResponse(&agentv1.SettleResponse{Outcome: out, Answer: answer}), nil
}
