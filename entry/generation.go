package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/agents"
	"ebonyreel/attempt"
	"ebonyreel/callers"
	"ebonyreel/controls"
	"ebonyreel/decision"
	"ebonyreel/document"
	"ebonyreel/endpoints"
	"ebonyreel/placement"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// bytesPerToken is the usual length of a token in a prompt.
	bytesPerToken = 4
	// prefixBytes is the part of a prompt that chooses its prefill endpoint.
	prefixBytes = 2048
	// tokenSilence is how long a stream of tokens may bring nothing, not even
	// a heartbeat.
	tokenSilence = 3 * time.Second
	// prefillTimeout bounds one prefill, its wait in the queue included.
	prefillTimeout = 30 * time.Second
)

// generation is one completion call on its way.
type generation struct {
	visit *visit
	call  callers.Completion
	model document.Model
	// promptTokens is an estimate from the prompt's length.
	promptTokens int
	maxTokens    int
	answer       *callers.Answer
	progress     attempt.Progress
	// number is that of the current attempt; it starts at one.
	number uint32
	digest string
	// arrived is when the call came.
	arrived time.Time
	// avoided names the agents that failed this request; another is preferred.
	avoided map[string]bool
	// ends are called when the current try has ended.
	ends []func()
	// suspect is true once the content may run only alone.
	suspect bool
	// deadline is when the caller's patience ends; zero means never.
	deadline time.Time
}

func newGeneration(v *visit, c callers.Completion, m document.Model) *generation {
	g := &generation{
		visit:        v,
		arrived:      time.Now(),
		call:         c,
		model:        m,
		promptTokens: len(c.Prompt)/bytesPerToken + 1,
		maxTokens:    m.MaxOutputTokens,
		answer:       callers.NewAnswer(v.writer, c, v.id),
		digest:       document.Digest([]byte(v.caller.Name + "\x00" + c.Model + "\x00" + c.Prompt)),
	}
	if c.MaxTokens > 0 {
		g.maxTokens = min(c.MaxTokens, m.MaxOutputTokens)
	}
	if p := time.Duration(v.caller.Patience); p > 0 {
		g.deadline = time.Now().Add(p)
	}
	return g
}

func (g *generation) attempt(entry string) *agentv1.Attempt {
	return &agentv1.Attempt{Request: g.visit.id, Number: g.number, Entry: entry}
}

// try makes one attempt: memory is promised first, then the prompt is
// computed, then the answer is decoded where the memory is.
func (s *Server) try(ctx context.Context, g *generation) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.suspected(g); err != nil {
		return err
	}
	defer g.end()
	at := g.attempt(s.name)
	if !s.policy.Reserves() {
		return s.tryUnreserved(ctx, g, at)
	}
	held, err := s.reserveMemory(ctx, g, at)
	if err != nil {
		return err
	}
	defer held.peer.Track(at)()
	kv, prefiller, err := s.prefill(ctx, g, at)
	if err != nil {
		s.agents.Release(held.peer, at)
		return err
	}
	defer prefiller.Track(at)()
	imported, err := s.decode(ctx, g, at, held, kv)
	if !imported {
		s.counts.Wasted.Add(1)
		s.agents.Release(prefiller, at)
	}
	if err != nil {
		s.agents.Release(held.peer, at)
		g.avoidSource(prefiller, err)
	}
	return err
}

// end calls what ends with a try.
func (g *generation) end() {
	for _, f := range g.ends {
		f()
	}
	g.ends = nil
}

// loads shows a pool of members to the placement policy.
type loads struct {
	members []*controlv1.Member
	agents  *agents.Pool
	// role is the name of the pool's role, for the record of decisions.
	role string
}

// Len is the number of members.
func (l loads) Len() int {
	return len(l.members)
}

// Load returns the newest load known of one member.
func (l loads) Load(i int) placement.Load {
	k := l.agents.Load(l.members[i])
	return placement.Load{
		PiecesFree: k.PiecesFree, Running: k.Running, Queued: k.Queued, Wait: k.Wait, Known: !k.At.IsZero(),
	}
}

// choice describes a placement among these members.
func (l loads) choice(attempt uint32, picked []int, chosen string) decision.Choice {
	out := decision.Choice{Attempt: attempt, Role: l.role, Members: l.Len(), Chosen: chosen}
	for _, i := range picked {
		k := l.Load(i)
		out.Candidates = append(out.Candidates, decision.Candidate{
			Name: l.members[i].GetName(), Known: k.Known, PiecesFree: k.PiecesFree,
			Running: k.Running, Queued: k.Queued, WaitMilliseconds: k.Wait.Milliseconds(),
		})
	}
	return out
}

func (s *Server) pool(g *generation, role controlv1.Role) loads {
	members := s.view.Members(controls.Pool{Serves: g.model.Name, Role: role})
	name := endpoints.RolePrefill
	if role == controlv1.Role_ROLE_DECODE {
		name = endpoints.RoleDecode
	}
	return loads{members: g.preferred(members), agents: s.agents, role: name}
}

// prefill computes the prompt on the endpoint that grants a turn first.
func (s *Server) prefill(ctx context.Context, g *generation, at *agentv1.Attempt) (*agentv1.KvHandle, *agents.Peer, error) {
	turn, err := s.reserveTurn(ctx, g, at)
	if err != nil {
		return nil, nil, err
	}
	p := turn.peer
	defer p.Track(at)()
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	s.counts.Prefills.Add(1)
	start := time.Now()
	res, err := p.Client.Prefill(ctx, connect.NewRequest(&agentv1.PrefillRequest{
		Attempt:        at,
		Model:          g.model.Name,
		Adapter:        g.call.Adapter,
		Prompt:         g.call.Prompt,
		ResumePosition: uint32(g.progress.Sent),
		Priority:       uint32(g.visit.caller.Priority),
		Reservation:    turn.reservation,
		ContentDigest:  g.digest,
		Isolated:       g.suspect,
	}))
	if err != nil {
		s.agents.Release(p, at)
		f := g.failed(p, err)
		g.progress.Started = g.progress.Started || f.kind != attempt.NotRun && f.kind != attempt.Suspect
		return nil, p, f
	}
	g.progress.Started = true
	p.Observe(res.Msg.GetLoad())
	computed := int(res.Msg.GetPromptTokens()) - int(res.Msg.GetCachedTokens())
	s.delay(g.model.Name).observe(computed, time.Since(start))
	return res.Msg.GetKv(), p, nil
}

func none(role, model string) error {
	cause := &callers.RefusalError{Code: callers.NotRun, Message: "no " + role + " endpoint serves " + model}
	return &failure{kind: attempt.Refused, retryAfter: comeBack, cause: cause}
}

// decode relays the tokens of one attempt. It reports whether the KV cache was
// imported, after which the prefill is not wasted.
func (s *Server) decode(ctx context.Context, g *generation, at *agentv1.Attempt, h held, kv *agentv1.KvHandle) (bool, error) {
	ctx, span := s.tracer.Start(ctx, "Answer")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(tokenSilence, cancel)
	defer quiet.Stop()
	stream, err := h.peer.Client.Decode(ctx, connect.NewRequest(&agentv1.DecodeRequest{
		Attempt:       at,
		Reservation:   h.reservation,
		Kv:            kv,
		Model:         g.model.Name,
		Adapter:       g.call.Adapter,
		Prompt:        g.call.Prompt,
		FromPosition:  uint32(g.progress.Sent),
		MaxTokens:     uint32(g.maxTokens),
		Priority:      uint32(g.visit.caller.Priority),
		ContentDigest: g.digest,
	}))
	if err != nil {
		return false, g.failed(h.peer, err)
	}
	defer func() { _ = stream.Close() }()
	imported := false
	for stream.Receive() {
		// A caller that reads slowly is not the agent's silence.
		quiet.Stop()
		m := stream.Msg()
		imported = imported || m.GetImported()
		h.peer.Observe(m.GetLoad())
		ended, err := g.take(m)
		if ended || err != nil {
			return imported, err
		}
		quiet.Reset(tokenSilence)
	}
	if err := stream.Err(); err != nil {
		return imported, g.failed(h.peer, err)
	}
	return imported, g.failed(h.peer, &UnfinishedError{Sent: g.progress.Sent})
}

// take relays one message of a decode stream. A token is sent only at its own
// position, and never by an earlier attempt. It reports the end of the answer.
func (g *generation) take(m *agentv1.DecodeResponse) (bool, error) {
	if m.GetAttempt() != g.number || m.GetHeartbeat() || m.GetImported() {
		return false, nil
	}
	if m.GetEnd() {
		return true, unwritten(g.answer.End(m.GetFinishReason()))
	}
	if int(m.GetPosition()) != g.progress.Sent {
		return false, &failure{kind: attempt.Lost, cause: &PositionError{Expected: g.progress.Sent, Got: int(m.GetPosition())}}
	}
	if err := g.answer.Token(m.GetToken()); err != nil {
		return false, unwritten(err)
	}
	g.progress.Sent++
	return false, nil
}

// patience is the rest of the caller's patience, or nil without a limit.
func (g *generation) patience() *durationpb.Duration {
	if g.deadline.IsZero() {
		return nil
	}
	return durationpb.New(max(time.Until(g.deadline), time.Millisecond))
}
