package entry

import (
	"context"
	"slices"
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
	// bytesPerToken is the average length of a prompt token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix whose hash selects the
	// prefill endpoint.
	prefixBytes = 2048
	// tokenIdleTimeout is the longest time between two messages of a decode
	// stream. Heartbeats count as messages.
	tokenIdleTimeout = 3 * time.Second
	// prefillTimeout bounds one prefill, including its time in the engine queue.
	prefillTimeout = 30 * time.Second
)

// generation is the state of one completion call across its attempts.
type generation struct {
	inbound *inboundCall
	call    callers.Completion
	model   document.Model
	// promptTokens is estimated from the length of the prompt.
	promptTokens int
	maxTokens    int
	answer       *callers.AnswerWriter
	progress     attempt.Progress
	// version is that of the endpoint that sent the first token; unset before.
	version string
	// attemptNumber is the number of the current attempt, starting at one.
	attemptNumber uint32
	// digest identifies the content: caller, model and prompt.
	digest string
	// arrived is when the call was received.
	arrived time.Time
	// failedAgents holds how this call last failed at each agent. Later attempts
	// prefer other agents.
	failedAgents map[string]attempt.Failure
	// cleanups run at the end of the current attempt.
	cleanups []func()
	// suspect is true once the content must run isolated, because it was in
	// flight when an endpoint crashed.
	suspect bool
	// deadline is when the caller stops waiting; zero means no deadline.
	deadline time.Time
}

func newGeneration(in *inboundCall, c callers.Completion, m document.Model) *generation {
	g := &generation{
		inbound:      in,
		arrived:      time.Now(),
		call:         c,
		model:        m,
		promptTokens: len(c.Prompt)/bytesPerToken + 1,
		maxTokens:    m.MaxOutputTokens,
		answer:       callers.NewAnswerWriter(in.writer, c, in.id),
		digest:       document.Digest([]byte(in.caller.Name + "\x00" + c.Model + "\x00" + c.Prompt)),
	}
	if c.MaxTokens > 0 {
		g.maxTokens = min(c.MaxTokens, m.MaxOutputTokens)
	}
	if p := time.Duration(in.caller.Patience); p > 0 {
		g.deadline = time.Now().Add(p)
	}
	return g
}

func (g *generation) attempt(entry string) *agentv1.Attempt {
	return &agentv1.Attempt{Request: g.inbound.id, Number: g.attemptNumber, Entry: entry}
}

// runAttempt makes one attempt: it reserves decode memory, computes the prompt
// at a prefill endpoint, and decodes the answer where the memory is reserved.
func (s *Server) runAttempt(ctx context.Context, g *generation) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.checkStrikes(g); err != nil {
		return err
	}
	defer g.runCleanups()
	at := g.attempt(s.name)
	if !s.policy.Reserves() {
		return s.runAttemptUnreserved(ctx, g, at)
	}
	memory, err := s.reserveDecode(ctx, g, at)
	if err != nil {
		return err
	}
	defer memory.peer.Track(at)()
	kv, prefiller, err := s.prefill(ctx, g, at)
	if err != nil {
		s.agents.Release(memory.peer, at)
		return err
	}
	defer prefiller.Track(at)()
	imported, err := s.decode(ctx, g, at, memory, kv)
	if !imported {
		s.counters.Wasted.Add(1)
		s.agents.Release(prefiller, at)
	}
	if err != nil {
		s.agents.Release(memory.peer, at)
		g.avoidSource(prefiller, err)
	}
	return err
}

// runCleanups runs the cleanups of the current attempt.
func (g *generation) runCleanups() {
	for _, f := range g.cleanups {
		f()
	}
	g.cleanups = nil
}

// candidateList is the list of members that a placement policy chooses from. It
// implements placement.Candidates.
type candidateList struct {
	// members are those of all where the call has not failed, if there are any.
	members []*controlv1.Member
	// all are the members that serve the model in the role.
	all    []*controlv1.Member
	agents *agents.Peers
	// role is the name of the role, as written to the decision record.
	role string
}

// Len returns the number of members.
func (c candidateList) Len() int {
	return len(c.members)
}

// indices returns the index of each member.
func (c candidateList) indices() []int {
	out := make([]int, len(c.members))
	for i := range out {
		out[i] = i
	}
	return out
}

// Load returns the last reported load of the member at index i.
func (c candidateList) Load(i int) placement.Load {
	k := c.agents.Load(c.members[i])
	return placement.Load{
		PiecesFree: k.PiecesFree, Running: k.Running, Queued: k.Queued, Wait: k.Wait, Known: !k.At.IsZero(),
	}
}

// choice returns the decision record of a placement among these members. The
// picked indices are the candidates, best first; chosen is empty where none
// was taken.
func (c candidateList) choice(attempt uint32, picked []int, chosen string) decision.Choice {
	out := decision.Choice{Attempt: attempt, Role: c.role, Members: c.Len(), Chosen: chosen}
	for _, i := range picked {
		k := c.Load(i)
		out.Candidates = append(out.Candidates, decision.Candidate{
			Name: c.members[i].GetName(), Known: k.Known, PiecesFree: k.PiecesFree,
			Running: k.Running, Queued: k.Queued, WaitMilliseconds: k.Wait.Milliseconds(),
		})
	}
	return out
}

// candidates returns the members that serve the model of a generation in a
// role, without those where the call failed if others are left.
func (s *Server) candidates(g *generation, role controlv1.Role) candidateList {
	members := g.sameVersion(s.view.Members(controls.MemberGroup{Serves: g.model.Name, Role: role}))
	name := endpoints.RolePrefill
	if role == controlv1.Role_ROLE_DECODE {
		name = endpoints.RoleDecode
	}
	return candidateList{members: g.preferred(members), all: members, agents: s.agents, role: name}
}

// sameVersion returns the members that may go on with an answer: once its first token is
// sent, those of the version that it began with.
func (g *generation) sameVersion(members []*controlv1.Member) []*controlv1.Member {
	if g.progress.Sent == 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m *controlv1.Member) bool { return m.GetVersion() != g.version })
}

// prefill computes the prompt at the prefill endpoint that reservePrefill
// selects. The returned peer is nil if none was reserved.
func (s *Server) prefill(ctx context.Context, g *generation, at *agentv1.Attempt) (*agentv1.KvHandle, *agents.Peer, error) {
	slot, err := s.reservePrefill(ctx, g, at)
	if err != nil {
		return nil, nil, err
	}
	p := slot.peer
	defer p.Track(at)()
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	s.counters.Prefills.Add(1)
	start := time.Now()
	res, err := p.Client.Prefill(ctx, connect.NewRequest(&agentv1.PrefillRequest{
		Attempt:        at,
		Model:          g.model.Name,
		Adapter:        g.call.Adapter,
		Prompt:         g.call.Prompt,
		ResumePosition: uint32(g.progress.Sent),
		Priority:       uint32(g.inbound.caller.Priority),
		Reservation:    slot.reservation,
		ContentDigest:  g.digest,
		Isolated:       g.suspect,
	}))
	if err != nil {
		s.agents.Release(p, at)
		f := g.recordFailure(p, err)
		g.progress.Started = g.progress.Started || f.kind != attempt.NotRun && f.kind != attempt.Suspect
		return nil, p, f
	}
	g.progress.Started = true
	p.RecordLoad(res.Msg.GetLoad())
	computed := int(res.Msg.GetPromptTokens()) - int(res.Msg.GetCachedTokens())
	s.prefillEstimator(g.model.Name).observe(computed, time.Since(start))
	return res.Msg.GetKv(), p, nil
}

// noEndpoint returns the failure for a model without endpoints in a role.
func noEndpoint(role, model string) error {
	cause := &callers.RefusalError{Code: callers.NotRun, Message: "no " + role + " endpoint serves " + model}
	return &failure{kind: attempt.Refused, retryAfter: defaultRetryAfter, cause: cause}
}

// decode relays the tokens of one attempt to the caller. It reports whether
// the decode engine imported the KV cache; otherwise the prefill was wasted.
func (s *Server) decode(ctx context.Context, g *generation, at *agentv1.Attempt, memory grant, kv *agentv1.KvHandle) (bool, error) {
	ctx, span := s.tracer.Start(ctx, "Answer")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(tokenIdleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := memory.peer.Client.Decode(ctx, connect.NewRequest(&agentv1.DecodeRequest{
		Attempt:       at,
		Reservation:   memory.reservation,
		Kv:            kv,
		Model:         g.model.Name,
		Adapter:       g.call.Adapter,
		Prompt:        g.call.Prompt,
		FromPosition:  uint32(g.progress.Sent),
		MaxTokens:     uint32(g.maxTokens),
		Priority:      uint32(g.inbound.caller.Priority),
		ContentDigest: g.digest,
	}))
	if err != nil {
		return false, g.recordFailure(memory.peer, err)
	}
	defer func() { _ = stream.Close() }()
	imported := false
	for stream.Receive() {
		// The timer is stopped while the message is relayed, so that a caller
		// that reads slowly does not count as an idle agent.
		idleTimer.Stop()
		m := stream.Msg()
		imported = imported || m.GetImported()
		memory.peer.RecordLoad(m.GetLoad())
		if g.progress.Sent == 0 {
			g.version = memory.version
		}
		ended, err := g.relay(m)
		if ended || err != nil {
			return imported, err
		}
		idleTimer.Reset(tokenIdleTimeout)
	}
	if err := stream.Err(); err != nil {
		return imported, g.recordFailure(memory.peer, err)
	}
	return imported, g.recordFailure(memory.peer, &UnfinishedError{Sent: g.progress.Sent})
}

// relay passes one message of a decode stream on to the caller. It ignores
// messages of other attempts and fails on a token that is not at the next
// position, so that each token is sent once. It reports whether the answer is
// complete.
func (g *generation) relay(m *agentv1.DecodeResponse) (bool, error) {
	if m.GetAttempt() != g.attemptNumber || m.GetHeartbeat() || m.GetImported() {
		return false, nil
	}
	if m.GetEnd() {
		return true, writeFailure(g.answer.End(m.GetFinishReason()))
	}
	if int(m.GetPosition()) != g.progress.Sent {
		return false, &failure{kind: attempt.ConnectionLost, cause: &PositionError{Expected: g.progress.Sent, Got: int(m.GetPosition())}}
	}
	if err := g.answer.WriteToken(m.GetToken()); err != nil {
		return false, writeFailure(err)
	}
	g.progress.Sent++
	return false, nil
}

// remainingWait returns the time until the deadline, at least one millisecond,
// or nil without a deadline.
func (g *generation) remainingWait() *durationpb.Duration {
	if g.deadline.IsZero() {
		return nil
	}
	return durationpb.New(max(time.Until(g.deadline), time.Millisecond))
}
