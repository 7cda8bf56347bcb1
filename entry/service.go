package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/agents"
	"ebonyreel/callers"
	"ebonyreel/controls"
	"ebonyreel/decision"
	"ebonyreel/document"
	"ebonyreel/endpoints"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// serviceTries bounds the tries of an idempotent call.
	serviceTries = 3
	maxKeyBytes  = 256
)

// serviceCall is one call of a plain service on its way.
type serviceCall struct {
	visit   *visit
	service document.Service
	call    document.Call
	path    string
	body    []byte
	// key is the caller's Idempotency-Key; it may be empty.
	key    string
	digest string
}

// service answers a call of a plain service.
func (s *Server) service(ctx context.Context, v *visit) {
	c, err := readServiceCall(v)
	if err != nil {
		s.refuse(v, err)
		return
	}
	v.decision.Describe(v.caller.Name, c.service.Name, v.document.Number)
	answer, err := s.callService(ctx, c)
	if err != nil {
		s.refuse(v, err)
		return
	}
	s.counts.Completed.Add(1)
	v.decision.End(decision.Completed, "")
	writeAnswer(v, answer)
}

func readServiceCall(v *visit) (*serviceCall, error) {
	c := &serviceCall{visit: v, path: "/" + v.request.PathValue("path"), key: v.request.Header.Get("Idempotency-Key")}
	name := v.request.PathValue("service")
	d, ok := v.document.Service(name)
	if !ok || !slices.Contains(v.caller.Services, name) {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: "service " + name + " is not open to this caller"}
	}
	c.service = d
	if c.call, ok = d.Call(v.request.Method, c.path); !ok {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: v.request.Method + " " + c.path + " is not declared"}
	}
	if len(c.key) > maxKeyBytes {
		return nil, &callers.RefusalError{Code: callers.NotUnderstood, Message: "Idempotency-Key is longer than 256 bytes"}
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(v.writer, v.request.Body, callers.MaxBodyBytes)); err != nil {
		return nil, &callers.RefusalError{Code: callers.NotUnderstood, Message: "body: " + err.Error()}
	}
	c.digest = document.Digest([]byte(v.request.Method + "\x00" + name + c.path + "\x00" + string(c.body)))
	return c, nil
}

func writeAnswer(v *visit, a *agentv1.CallResponse) {
	if a.GetContentType() != "" {
		v.writer.Header().Set("Content-Type", a.GetContentType())
	}
	v.writer.WriteHeader(int(a.GetStatus()))
	_, _ = v.writer.Write(a.GetBody())
}

func (s *Server) callService(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	switch {
	case c.call.Idempotent:
		return s.callRepeatable(ctx, c)
	case c.key == "":
		return s.callOnce(ctx, c)
	}
	return s.callRecorded(ctx, c)
}

// callRepeatable tries an idempotent call at a few endpoints.
func (s *Server) callRepeatable(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	var last error
	for i := range serviceTries {
		if i > 0 && !s.retries.Allow() {
			break
		}
		m, p, err := s.pickService(c)
		if err != nil {
			return nil, err
		}
		res, err := s.dispatch(ctx, c, m, p, uint32(i+1))
		if err == nil {
			return res, nil
		}
		last = err
	}
	return nil, serviceRefusal(last)
}

// callOnce dispatches a call without a key at most once.
func (s *Server) callOnce(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	m, p, err := s.pickService(c)
	if err != nil {
		return nil, err
	}
	res, err := s.dispatch(ctx, c, m, p, 1)
	if err != nil {
		return nil, serviceRefusal(err)
	}
	return res, nil
}

// callRecorded records an operation before its dispatch and its result after,
// so that it runs at most once whatever is sent again.
func (s *Server) callRecorded(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	m, p, err := s.pickService(c)
	if err != nil {
		return nil, err
	}
	o := s.operation(c, m)
	res, err := s.client.BeginOperation(ctx, o)
	if err != nil {
		return nil, recordRefusal(err)
	}
	if !res.GetCreated() {
		return s.recorded(ctx, c, res.GetOperation())
	}
	if !s.announcer.Current(time.Now()) {
		return nil, &callers.RefusalError{Code: callers.OutcomeUnknown, Message: "the lease lapsed before the call", RetryAfter: comeBack}
	}
	answer, err := s.dispatch(ctx, c, m, p, 1)
	return s.conclude(ctx, o, answer, err)
}

func (s *Server) operation(c *serviceCall, m *controlv1.Member) *controlv1.Operation {
	return &controlv1.Operation{
		Environment:      m.GetEnvironment(),
		Caller:           c.visit.caller.Name,
		Key:              c.key,
		BodyDigest:       c.digest,
		Agent:            m.GetName(),
		AgentIncarnation: m.GetIncarnation(),
		Entry:            s.name,
		Dispatch:         rand.Text(),
	}
}

// conclude records what a dispatch came to and returns the caller's answer.
func (s *Server) conclude(ctx context.Context, o *controlv1.Operation, answer *agentv1.CallResponse, err error) (*agentv1.CallResponse, error) {
	refused := serviceRefusal(err)
	switch {
	case err == nil:
		o.State = controlv1.OperationState_OPERATION_STATE_DONE
		o.Status, o.ContentType, o.Answer = answer.GetStatus(), answer.GetContentType(), answer.GetBody()
	case refused.Code == callers.NotRun:
		o.State = controlv1.OperationState_OPERATION_STATE_NOT_RUN
	default:
		// The record stays open: a later resend settles it with the agent.
		return nil, refused
	}
	if _, e := s.client.FinishOperation(context.WithoutCancel(ctx), o); e != nil {
		s.log.WithError(e).Warn("outcome not recorded")
	}
	if err != nil {
		return nil, refused
	}
	return answer, nil
}

// recorded answers from the record of an earlier call with the same key.
func (s *Server) recorded(ctx context.Context, c *serviceCall, o *controlv1.Operation) (*agentv1.CallResponse, error) {
	switch o.GetState() {
	case controlv1.OperationState_OPERATION_STATE_DONE:
		return &agentv1.CallResponse{Status: o.GetStatus(), ContentType: o.GetContentType(), Body: o.GetAnswer()}, nil
	case controlv1.OperationState_OPERATION_STATE_UNKNOWN:
		return nil, &callers.RefusalError{Code: callers.OutcomeUnknown, Message: "nobody can prove whether the call ran"}
	}
	return s.settle(ctx, c, o)
}

// settle asks the agent of an open record what became of the call.
func (s *Server) settle(ctx context.Context, c *serviceCall, o *controlv1.Operation) (*agentv1.CallResponse, error) {
	running := &callers.RefusalError{Code: callers.InProgress, Message: "a call with this key is still running", RetryAfter: comeBack}
	m := s.member(o)
	if m == nil {
		return s.lost(ctx, o)
	}
	p, err := s.agents.Peer(m)
	if err != nil {
		return nil, running
	}
	res, err := p.Client.Settle(ctx, connect.NewRequest(&agentv1.SettleRequest{
		Caller: c.visit.caller.Name, Key: c.key, AgentIncarnation: o.GetAgentIncarnation(),
	}))
	if err != nil {
		return nil, running
	}
	switch res.Msg.GetOutcome() {
	case agentv1.SettleOutcome_SETTLE_OUTCOME_DONE:
		return s.conclude(ctx, o, res.Msg.GetAnswer(), nil)
	case agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER:
		return s.conclude(ctx, o, nil, &callers.RefusalError{Code: callers.NotRun, Message: "the call did not run", RetryAfter: comeBack})
	case agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN:
		return s.lost(ctx, o)
	}
	return nil, running
}

// member returns the agent that an operation was recorded for, if that very
// incarnation is still there.
func (s *Server) member(o *controlv1.Operation) *controlv1.Member {
	for _, m := range s.view.All() {
		if m.GetName() == o.GetAgent() && m.GetIncarnation() == o.GetAgentIncarnation() {
			return m
		}
	}
	return nil
}

// lost records that nobody can prove whether a call ran.
func (s *Server) lost(ctx context.Context, o *controlv1.Operation) (*agentv1.CallResponse, error) {
	o.State = controlv1.OperationState_OPERATION_STATE_UNKNOWN
	if _, err := s.client.FinishOperation(ctx, o); err != nil {
		s.log.WithError(err).Warn("outcome not recorded")
	}
	return nil, &callers.RefusalError{Code: callers.OutcomeUnknown, Message: "nobody can prove whether the call ran"}
}

// recordRefusal turns an error of the record into a refusal: nothing was
// dispatched yet.
func recordRefusal(err error) error {
	if controls.Reason(err).GetCode() == controlv1.Refusal_CODE_CONFLICT {
		return &callers.RefusalError{Code: callers.Conflict, Message: controls.Reason(err).GetReason()}
	}
	return &callers.RefusalError{Code: callers.NotRun, Message: "the call could not be recorded", RetryAfter: comeBack}
}

// serviceRefusal turns an error of a dispatch into a refusal, or nil.
func serviceRefusal(err error) *callers.RefusalError {
	if err == nil {
		return nil
	}
	var given *callers.RefusalError
	if errors.As(err, &given) {
		return given
	}
	out := &callers.RefusalError{Code: callers.OutcomeUnknown, Message: err.Error()}
	var r *agents.RefusalError
	if errors.As(agents.Received(err), &r) && r.Code == agentv1.Refusal_CODE_NOT_RUN {
		out.Code, out.RetryAfter = callers.NotRun, max(r.RetryAfter, comeBack)
	}
	return out
}

// pickService chooses an endpoint of a plain service.
func (s *Server) pickService(c *serviceCall) (*controlv1.Member, *agents.Peer, error) {
	l := loads{
		members: s.view.Members(controls.Pool{Serves: c.service.Name, Role: controlv1.Role_ROLE_SERVICE}),
		agents:  s.agents,
		role:    endpoints.RoleService,
	}
	picked := s.policy.Decode(l)
	if len(picked) == 0 {
		return nil, nil, &callers.RefusalError{Code: callers.NotRun, Message: "no endpoint serves " + c.service.Name, RetryAfter: comeBack}
	}
	m := l.members[picked[0]]
	c.visit.decision.Choose(l.choice(0, picked, m.GetName()))
	p, err := s.agents.Peer(m)
	return m, p, err
}

func (s *Server) dispatch(ctx context.Context, c *serviceCall, m *controlv1.Member, p *agents.Peer, number uint32) (*agentv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.call.Timeout))
	defer cancel()
	res, err := p.Client.Call(ctx, connect.NewRequest(&agentv1.CallRequest{
		Attempt:          &agentv1.Attempt{Request: c.visit.id, Number: number, Entry: s.name},
		Service:          c.service.Name,
		Method:           c.visit.request.Method,
		Path:             target(c),
		ContentType:      c.visit.request.Header.Get("Content-Type"),
		Body:             c.body,
		Idempotent:       c.call.Idempotent,
		Caller:           c.visit.caller.Name,
		Key:              c.key,
		BodyDigest:       c.digest,
		AgentIncarnation: m.GetIncarnation(),
		Timeout:          durationpb.New(time.Duration(c.call.Timeout)),
	}))
	if err != nil {
		return nil, err
	}
	p.Observe(res.Msg.GetLoad())
	return res.Msg, nil
}

// target is the path of a call with its query.
func target(c *serviceCall) string {
	if q := c.visit.request.URL.RawQuery; q != "" {
		return c.path + "?" + q
	}
	return c.path
}
