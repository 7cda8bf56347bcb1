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
	// serviceTries bounds the tries of an idempotent call.
	serviceTries = 3
	maxKeyBytes  = 256
	// leavingMemory is how long a report of an agent that leaves counts; by
	// then the membership tells, or the agent was started again.
	leavingMemory = 3 * time.Second
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
	// tried names the agents that the call was sent to.
	tried map[string]bool
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
	c := &serviceCall{
		visit: v,
		path:  "/" + v.request.PathValue("path"),
		key:   v.request.Header.Get(callers.KeyHeader),
		tried: map[string]bool{},
	}
	name := v.request.PathValue("service")
	d, ok := v.document.Service(name)
	if !ok || !slices.Contains(v.caller.Services, name) {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: "service " + name + " is not open to this caller"}
	}
	c.service = d
	if c.call, ok = d.Call(v.request.Method, c.path); !ok || !plain(c.path) {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: v.request.Method + " " + c.path + " is not declared"}
	}
	if len(c.key) > maxKeyBytes {
		return nil, &callers.RefusalError{Code: callers.NotUnderstood, Message: "Idempotency-Key is longer than 256 bytes"}
	}
	var err error
	if c.body, err = callers.ReadBody(v.writer, v.request); err != nil {
		return nil, err
	}
	c.digest = document.Digest([]byte(v.request.Method + "\x00" + name + target(c) + "\x00" + string(c.body)))
	return c, nil
}

// plain reports whether a path means the same to every reader: a service would
// resolve one with dots to a call that is not declared.
func plain(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

func writeAnswer(v *visit, a *agentv1.CallResponse) {
	callers.LimitWrite(v.writer)
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
	return s.callTried(ctx, c, func(error) bool { return true })
}

// callOnce dispatches a call without a key until one agent starts it, and then
// never again.
func (s *Server) callOnce(ctx context.Context, c *serviceCall) (*agentv1.CallResponse, error) {
	return s.callTried(ctx, c, func(err error) bool { return serviceRefusal(err).Code == callers.NotRun })
}

// callTried tries a call at one endpoint after another while again allows it.
func (s *Server) callTried(ctx context.Context, c *serviceCall, again func(err error) bool) (*agentv1.CallResponse, error) {
	var last error
	for i := range serviceTries {
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
		if !again(err) || ctx.Err() != nil {
			break
		}
		s.counts.Retried.Add(1)
	}
	return nil, last
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
	var unsent *transport.DialError
	switch {
	case errors.As(agents.Received(err), &r) && r.Code == agentv1.Refusal_CODE_NOT_RUN:
		out.Code, out.RetryAfter = callers.NotRun, max(r.RetryAfter, comeBack)
	case errors.As(err, &unsent):
		out.Code, out.RetryAfter = callers.NotRun, comeBack
	}
	return out
}

// pickService chooses an endpoint of a plain service that this call has not
// tried; when all were tried, any of them.
func (s *Server) pickService(c *serviceCall) (*controlv1.Member, error) {
	all := s.view.Members(controls.Pool{Serves: c.service.Name, Role: controlv1.Role_ROLE_SERVICE})
	l := loads{agents: s.agents, role: endpoints.RoleService}
	for _, m := range all {
		k := s.agents.Load(m)
		if leaving := k.Leaving && time.Since(k.At) < leavingMemory; !leaving && !c.tried[m.GetName()] {
			l.members = append(l.members, m)
		}
	}
	if len(l.members) == 0 {
		l.members = all
	}
	picked := s.policy.Decode(l)
	if len(picked) == 0 {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "no endpoint serves " + c.service.Name, RetryAfter: comeBack}
	}
	m := l.members[picked[0]]
	c.visit.decision.Choose(l.choice(0, picked, m.GetName()))
	c.tried[m.GetName()] = true
	return m, nil
}

// dispatch sends a call to an agent, once. A call with a record carries its
// number.
func (s *Server) dispatch(ctx context.Context, c *serviceCall, m *controlv1.Member, o *controlv1.Operation) (*agentv1.CallResponse, error) {
	p, err := s.agents.Peer(m)
	if err != nil {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: err.Error(), RetryAfter: comeBack}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.call.Timeout))
	defer cancel()
	res, err := p.Client.Call(ctx, connect.NewRequest(&agentv1.CallRequest{
		Attempt:          &agentv1.Attempt{Request: c.visit.id, Number: uint32(len(c.tried)), Entry: s.name},
		Service:          c.service.Name,
		Method:           c.visit.request.Method,
		Path:             target(c),
		ContentType:      c.visit.request.Header.Get("Content-Type"),
		Body:             c.body,
		Idempotent:       c.call.Idempotent,
		Caller:           c.visit.caller.Name,
		Key:              c.key,
		BodyDigest:       c.digest,
		AgentIncarnation: o.GetAgentIncarnation(),
		Operation:        o.GetNumber(),
		Timeout:          durationpb.New(time.Duration(c.call.Timeout)),
	}))
	if err != nil {
		return nil, err
	}
	p.Observe(res.Msg.GetLoad())
	return res.Msg, nil
}

// target is the path of a call with its query, as it goes to the service.
func target(c *serviceCall) string {
	u := url.URL{Path: c.path, RawQuery: c.visit.request.URL.RawQuery}
	return u.RequestURI()
}
