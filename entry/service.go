package entry

import (
	"cmp"
	"context"
	"errors"
	"net/url"
	"path"
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
	"ebonyreel/transport"
)

const (
	// maxServiceAttempts bounds the attempts of one call that has no record.
	maxServiceAttempts = 3
	maxKeyBytes        = 256
	// leavingReportLifetime is how long a load report with the leaving flag is
	// used. After that the membership shows that the agent leaves, or the agent
	// was restarted.
	leavingReportLifetime = 3 * time.Second
)

// serviceCall is the state of one call to a plain service.
type serviceCall struct {
	inbound *inboundCall
	service document.Service
	call    document.Call
	path    string
	body    []byte
	// key is the caller's Idempotency-Key; it may be empty.
	key string
	// digest identifies the call: method, service, path with query, and body.
	digest string
	// attemptedAgents holds the names of the agents chosen for the call so far.
	attemptedAgents map[string]bool
}

// service answers a call to a plain service.
func (s *Server) service(ctx context.Context, in *inboundCall) {
	c, err := readServiceCall(in)
	if err != nil {
		s.refuse(in, err)
		return
	}
	in.decision.Describe(in.caller.Name, c.service.Name, in.document.Number)
	answer, err := s.callService(ctx, c)
	if err != nil {
		s.refuse(in, err)
		return
	}
	s.counters.Completed.Add(1)
	in.decision.End(decision.Completed, "")
	writeAnswer(in, answer)
}

// readServiceCall reads a call and checks that the document declares it and that
// the caller may make it. The error is a *callers.RefusalError.
func readServiceCall(in *inboundCall) (*serviceCall, error) {
	c := &serviceCall{
		inbound:         in,
		path:            "/" + in.request.PathValue("path"),
		key:             in.request.Header.Get(callers.IdempotencyKeyHeader),
		attemptedAgents: map[string]bool{},
	}
	name := in.request.PathValue("service")
	d, ok := in.document.Service(name)
	if !ok || !slices.Contains(in.caller.Services, name) {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: "service " + name + " is not open to this caller"}
	}
	c.service = d
	if c.call, ok = d.Call(in.request.Method, c.path); !ok || !isCanonical(c.path) {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: in.request.Method + " " + c.path + " is not declared"}
	}
	if len(c.key) > maxKeyBytes {
		return nil, &callers.RefusalError{Code: callers.InvalidRequest, Message: "Idempotency-Key is longer than 256 bytes"}
	}
	var err error
	if c.body, err = callers.ReadBody(in.writer, in.request); err != nil {
		return nil, err
	}
	c.digest = document.Digest([]byte(in.request.Method + "\x00" + name + requestTarget(c) + "\x00" + string(c.body)))
	return c, nil
}

// isCanonical reports whether a path has no dot segments and no repeated slashes.
// A service could resolve such a path to a call that is not declared.
func isCanonical(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// writeAnswer writes the answer of a service to the caller.
func writeAnswer(in *inboundCall, a *agentv1.CallResponse) {
	callers.SetWriteDeadline(in.writer)
	if a.GetContentType() != "" {
		in.writer.Header().Set("Content-Type", a.GetContentType())
	}
	in.writer.WriteHeader(int(a.GetStatus()))
	_, _ = in.writer.Write(a.GetBody())
}

// callService makes a call in the way that its declaration and key ask for.
func (s *Server) callService(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	switch {
	case c.call.Idempotent:
		return s.callIdempotent(ctx, c)
	case c.key == "":
		return s.callOnce(ctx, c)
	}
	return s.callRecorded(ctx, c)
}

// callIdempotent makes an idempotent call, which is retried after any error.
func (s *Server) callIdempotent(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	return s.callWithRetries(ctx, c, func(error) bool { return true })
}

// callOnce makes a call without a key. It is retried only if the last attempt did
// not run.
func (s *Server) callOnce(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	return s.callWithRetries(ctx, c, func(err error) bool { return serviceRefusal(err).Code == callers.NotRun })
}

// callWithRetries makes up to maxServiceAttempts attempts, each at another endpoint
// if there is one. It retries an error only if retryable returns true for it and
// the retry budget allows it.
func (s *Server) callWithRetries(ctx context.Context, c *serviceCall, retryable func(err error) bool) (*agentv1.CallResponse, error) {
	var last error
	for i := range maxServiceAttempts {
		if i > 0 && !s.retries.Allow() {
			break
		}
		m, err := s.pickService(c)
		if err != nil {
			return nil, cmp.Or(last, err)
		}
		res, err := s.dispatch(ctx, c, m, &controlv1.Operation{AgentIncarnation: m.GetIncarnation()})
		if err == nil {
			return res, nil
		}
		last = serviceRefusal(err)
		if !retryable(err) || ctx.Err() != nil {
			break
		}
		s.counters.Retried.Add(1)
	}
	return nil, last
}

// serviceRefusal returns the refusal for an error of a dispatch, or nil for nil.
// The outcome is unknown unless the error proves that the call did not run.
func serviceRefusal(err error) *callers.RefusalError {
	if err == nil {
		return nil
	}
	var refusal *callers.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	out := &callers.RefusalError{Code: callers.OutcomeUnknown, Message: err.Error()}
	var r *agents.RefusalError
	var dialError *transport.DialError
	switch {
	case errors.As(agents.RefusalFrom(err), &r) && r.Code == agentv1.Refusal_CODE_NOT_RUN:
		out.Code, out.RetryAfter = callers.NotRun, max(r.RetryAfter, defaultRetryAfter)
	case errors.As(err, &dialError):
		out.Code, out.RetryAfter = callers.NotRun, defaultRetryAfter
	}
	return out
}

// pickService chooses an endpoint of a plain service. It skips endpoints that are
// leaving or were attempted for this call, unless no other is left.
func (s *Server) pickService(c *serviceCall) (*controlv1.Member, error) {
	all := s.view.Members(controls.MemberGroup{Serves: c.service.Name, Role: controlv1.Role_ROLE_SERVICE})
	candidates := candidateList{agents: s.agents, role: endpoints.RoleService}
	for _, m := range all {
		k := s.agents.Load(m)
		if leaving := k.Leaving && time.Since(k.At) < leavingReportLifetime; !leaving && !c.attemptedAgents[m.GetName()] {
			candidates.members = append(candidates.members, m)
		}
	}
	if len(candidates.members) == 0 {
		candidates.members = all
	}
	picked := s.policy.Decode(candidates)
	if len(picked) == 0 {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "no endpoint serves " + c.service.Name, RetryAfter: defaultRetryAfter}
	}
	m := candidates.members[picked[0]]
	c.inbound.decision.AddChoice(candidates.choice(0, picked, m.GetName()))
	c.attemptedAgents[m.GetName()] = true
	return m, nil
}

// dispatch sends a call to an agent, without retries. The operation gives the
// incarnation of the agent and, for a call with a record, the operation number.
func (s *Server) dispatch(ctx context.Context, c *serviceCall, m *controlv1.Member, o *controlv1.Operation) (*agentv1.CallResponse, error) {
	p, err := s.agents.Peer(m)
	if err != nil {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: err.Error(), RetryAfter: defaultRetryAfter}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.call.Timeout))
	defer cancel()
	res, err := p.Client.Call(ctx, connect.NewRequest(&agentv1.CallRequest{
		Attempt:          &agentv1.Attempt{Request: c.inbound.id, Number: uint32(len(c.attemptedAgents)), Entry: s.name},
		Service:          c.service.Name,
		Method:           c.inbound.request.Method,
		Path:             requestTarget(c),
		ContentType:      c.inbound.request.Header.Get("Content-Type"),
		Body:             c.body,
		Idempotent:       c.call.Idempotent,
		Caller:           c.inbound.caller.Name,
		Key:              c.key,
		BodyDigest:       c.digest,
		AgentIncarnation: o.GetAgentIncarnation(),
		Operation:        o.GetNumber(),
		Timeout:          durationpb.New(time.Duration(c.call.Timeout)),
	}))
	if err != nil {
		return nil, err
	}
	p.RecordLoad(res.Msg.GetLoad())
	return res.Msg, nil
}

// requestTarget returns the path and query of a call, as sent to the service.
func requestTarget(c *serviceCall) string {
	u := url.URL{Path: c.path, RawQuery: c.inbound.request.URL.RawQuery}
	return u.RequestURI()
}
