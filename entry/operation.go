package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/agents"
	"ebonyreel/callers"
	"ebonyreel/controls"
	"ebonyreel/operation"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

// settleTimeout bounds one Settle call, which asks an agent for the outcome of
// a dispatch.
const settleTimeout = 2 * time.Second

// recordedCall is the state of a service call with an operation record.
type recordedCall struct {
	*serviceCall
	operation.Call
	// member is the agent of the newest record that this call asked for.
	member *controlv1.Member
}

// callRecorded records an operation before its dispatch and its outcome after,
// so that the call runs at most once even if the caller sends it again. It does
// not stop when the caller disconnects, as the outcome must be recorded.
func (s *Server) callRecorded(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	ctx = context.WithoutCancel(ctx)
	r := &recordedCall{serviceCall: c}
	next := operation.Begin
	for next != operation.Reply {
		switch next {
		case operation.Begin:
			next = s.begin(ctx, r)
		case operation.Dispatch:
			next = s.dispatchRecorded(ctx, r)
		case operation.Settle:
			next = s.settle(ctx, r)
		default:
			next = s.finish(ctx, r)
		}
	}
	return answerOf(r)
}

// begin records a dispatch to an endpoint, if possible one that this call was not
// sent to before.
func (s *Server) begin(ctx context.Context, r *recordedCall) operation.Action {
	m, err := s.pickService(r.serviceCall)
	if err != nil {
		return r.BeginFailed()
	}
	r.member = m
	res, err := s.client.BeginOperation(ctx, &controlv1.Operation{
		Environment:      m.GetEnvironment(),
		Caller:           r.inbound.caller.Name,
		Key:              r.key,
		BodyDigest:       r.digest,
		Agent:            m.GetName(),
		AgentIncarnation: m.GetIncarnation(),
		Entry:            s.name,
		Dispatch:         rand.Text(),
	})
	if err == nil {
		return r.Begun(res.GetOperation(), res.GetCreated())
	}
	if controls.RefusalFrom(err).GetCode() == controlv1.Refusal_CODE_CONFLICT {
		return r.BeginConflict()
	}
	r.inbound.log.WithError(err).Warn("operation not recorded")
	return r.BeginFailed()
}

// dispatchRecorded sends the call, unless this entry's lease has expired since it
// was recorded.
func (s *Server) dispatchRecorded(ctx context.Context, r *recordedCall) operation.Action {
	if !s.announcer.MayAcceptWork(time.Now()) {
		return r.DispatchNotRun()
	}
	res, err := s.dispatch(ctx, r.serviceCall, r.member, r.Record)
	if err == nil {
		return r.DispatchAnswered(res)
	}
	r.inbound.log.WithError(err).Warn("dispatch failed")
	if serviceRefusal(err).Code == callers.NotRun {
		return r.DispatchNotRun()
	}
	return r.DispatchUnanswered()
}

// settle asks the agent that a record names for the outcome of the dispatch.
func (s *Server) settle(ctx context.Context, r *recordedCall) operation.Action {
	m := s.recordedMember(r.Record)
	if m == nil {
		return r.OutcomeLost()
	}
	p, err := s.agents.Peer(m)
	if err != nil {
		return r.SettleUnanswered()
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	res, err := p.Client.Settle(ctx, connect.NewRequest(&agentv1.SettleRequest{
		Caller:           r.inbound.caller.Name,
		Key:              r.key,
		AgentIncarnation: r.Record.GetAgentIncarnation(),
		Operation:        r.Record.GetNumber(),
	}))
	if err == nil {
		return r.Settled(res.Msg.GetOutcome(), res.Msg.GetAnswer())
	}
	var refused *agents.RefusalError
	if errors.As(agents.RefusalFrom(err), &refused) && refused.Code == agentv1.Refusal_CODE_STALE {
		return r.OutcomeLost()
	}
	return r.SettleUnanswered()
}

// recordedMember returns the agent that an operation was recorded for, or nil
// if that incarnation is no longer a member.
func (s *Server) recordedMember(o *controlv1.Operation) *controlv1.Member {
	for _, m := range s.view.AllMembers() {
		if m.GetName() == o.GetAgent() && m.GetIncarnation() == o.GetAgentIncarnation() {
			return m
		}
	}
	return nil
}

// finish records the outcome of the operation.
func (s *Server) finish(ctx context.Context, r *recordedCall) operation.Action {
	res, err := s.client.FinishOperation(ctx, r.Record)
	if err != nil {
		r.inbound.log.WithError(err).Warn("outcome not recorded")
		return r.FinishFailed()
	}
	return r.Finished(res)
}

// answerOf returns the answer of a decided call, or its refusal as a
// *callers.RefusalError.
func answerOf(r *recordedCall) (*agentv1.CallResponse, error) {
	switch r.Verdict {
	case operation.Answered:
		if r.Answer != nil {
			return r.Answer, nil
		}
		return nil, &callers.RefusalError{Code: callers.AnswerNotStored, Message: "the call ran once, and its answer was too long to be kept"}
	case operation.NotRun:
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "the call did not run", RetryAfter: defaultRetryAfter}
	case operation.Running:
		return nil, &callers.RefusalError{Code: callers.InProgress, Message: "a call with this key is still running", RetryAfter: defaultRetryAfter}
	case operation.Conflict:
		return nil, &callers.RefusalError{Code: callers.Conflict, Message: "the Idempotency-Key was used with another call"}
	}
	if r.MayResolve {
		return nil, &callers.RefusalError{
			Code: callers.OutcomeUnknown, Message: "the call may have run; send its key again to learn more", RetryAfter: defaultRetryAfter,
		}
	}
	return nil, &callers.RefusalError{Code: callers.OutcomeUnknown, Message: "nobody can prove whether the call ran"}
}
