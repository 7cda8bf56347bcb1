package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/agents"
	"ebonyreel/attempt"
	"ebonyreel/placement"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

// reserveIdleTimeout is the longest time between two messages of a reservation
// stream. Heartbeats count as messages.
const reserveIdleTimeout = 3 * time.Second

// decodeStartDelay is the typical time between the end of a prefill and the
// first token, with a margin for the steps in between.
const decodeStartDelay = 120 * time.Millisecond

// grant is a reservation that an agent granted: decode memory, or a slot at a
// prefill endpoint.
type grant struct {
	peer *agents.Peer
	// reservation is the number that the agent gave the reservation; zero means
	// that a prompt queues at the engine without one.
	reservation uint64
	// version is that of the endpoint.
	version string
}

// reserveResult is the answer of one agent to a reservation request. With an
// error, only the peer of the grant is set.
type reserveResult struct {
	grant grant
	err   error
}

// UnfinishedError reports a stream of an agent that ended without its end marker or
// without a grant.
type UnfinishedError struct {
	// Sent is the number of tokens passed on to the caller.
	Sent int
}

// Error returns the number of tokens passed on before the stream ended.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("stream ended without its end marker after %d tokens", e.Sent)
}

// PositionError reports a token that is not at the next position of its answer.
type PositionError struct {
	Expected int
	Got      int
}

// Error returns both positions.
func (e *PositionError) Error() string {
	return fmt.Sprintf("token of position %d came in place of %d", e.Got, e.Expected)
}

// UnreleasedError reports agents that have not confirmed the release of an earlier
// reservation of the same attempt.
type UnreleasedError struct {
	Agents int
}

// Error returns the number of agents.
func (e *UnreleasedError) Error() string {
	return fmt.Sprintf("%d agents have not confirmed a release", e.Agents)
}

// reserveDecode reserves decode memory for an attempt.
func (s *Server) reserveDecode(ctx context.Context, g *generation, at *agentv1.Attempt) (grant, error) {
	ctx, span := s.tracer.Start(ctx, "Decision")
	defer span.End()
	c := s.candidates(g, controlv1.Role_ROLE_DECODE)
	picked := s.policy.Decode(c)
	if len(picked) == 0 {
		return grant{}, noEndpoint("decode", g.model.Name)
	}
	return s.reserve(ctx, g, at, c, picked)
}

// reservePrefill reserves a slot at a prefill endpoint. Under a policy that does
// not reserve it only chooses the endpoint, and the prompt queues at the engine.
func (s *Server) reservePrefill(ctx context.Context, g *generation, at *agentv1.Attempt) (grant, error) {
	ctx, span := s.tracer.Start(ctx, "Turn")
	defer span.End()
	c := s.candidates(g, controlv1.Role_ROLE_PREFILL)
	picked := s.policy.Prefill(c, placement.HashPrefix(g.call.Prompt, prefixBytes))
	if len(picked) == 0 {
		return grant{}, noEndpoint("prefill", g.model.Name)
	}
	if s.policy.Reserves() {
		return s.reserve(ctx, g, at, c, picked)
	}
	g.inbound.decision.AddChoice(c.choice(g.attemptNumber, picked, c.members[picked[0]].GetName()))
	p, err := s.agents.Peer(c.members[picked[0]])
	return grant{peer: p}, err
}

// reserve makes a reservation at one of the picked agents. If copies of the same
// content run at other agents, it reserves there instead.
func (s *Server) reserve(ctx context.Context, g *generation, at *agentv1.Attempt, c candidateList, picked []int) (grant, error) {
	if g.suspect {
		picked = picked[:1]
	}
	granted, released, err := s.reserveFirst(ctx, g, at, c, picked)
	if err != nil {
		return granted, err
	}
	elsewhere, err := s.placeCopy(ctx, g, at, c, granted.peer.Name)
	if err != nil || len(elsewhere) > 0 {
		s.agents.Release(granted.peer, at)
	}
	if err != nil || len(elsewhere) == 0 {
		return granted, err
	}
	// Both reservations have the same attempt, so an agent that is asked twice
	// could apply the release of the first to the second.
	c.members = released.await(elsewhere)
	if len(c.members) == 0 {
		return grant{}, &failure{kind: attempt.NotRun, cause: &UnreleasedError{Agents: len(elsewhere)}}
	}
	granted, _, err = s.reserveFirst(ctx, g, at, c, c.indices())
	return granted, err
}

// releaseGroup collects the releases of one round of reservations. The zero value
// has none. It is safe for concurrent use.
type releaseGroup struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// unconfirmed are the names of the agents that have not answered a release,
	// and may receive it later.
	unconfirmed []string
}

// add records the result of a release.
func (r *releaseGroup) add(agent string, confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !confirmed {
		r.unconfirmed = append(r.unconfirmed, agent)
	}
}

// await waits for all releases, and returns the members to which no release is
// on its way.
func (r *releaseGroup) await(members []*controlv1.Member) []*controlv1.Member {
	r.group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(m *controlv1.Member) bool {
		return slices.Contains(r.unconfirmed, m.GetName())
	})
}

// reserveFirst asks the picked agents for a reservation in parallel and uses the
// first grant. The other agents are released in the background, as the returned
// group tells.
func (s *Server) reserveFirst(ctx context.Context, g *generation, at *agentv1.Attempt, c candidateList, picked []int) (grant, *releaseGroup, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, released := make(chan reserveResult, len(picked)), &releaseGroup{}
	for _, i := range picked {
		released.group.Go(func() { s.reserveAt(ctx, g, at, c.members[i], results, released) })
	}
	choice := c.choice(g.attemptNumber, picked, "")
	first, err := g.awaitFirstGrant(results, len(picked))
	if err == nil {
		choice.Chosen = first.grant.peer.Name
		released.group.Go(func() { s.releaseOthers(results, len(picked), first, at, released) })
	}
	g.inbound.decision.AddChoice(choice)
	return first.grant, released, err
}

// firstGrant is the first grant, and the number of results received up to it.
type firstGrant struct {
	grant       grant
	resultsRead int
}

// awaitFirstGrant receives up to n results and returns the first grant. If there
// is none it returns one of the failures, with preference for a short retry time.
func (g *generation) awaitFirstGrant(results <-chan reserveResult, n int) (firstGrant, error) {
	var best *failure
	for i := range n {
		r := <-results
		if r.err == nil {
			return firstGrant{grant: r.grant, resultsRead: i + 1}, nil
		}
		f := g.recordFailure(r.grant.peer, r.err)
		if best == nil || f.kind != attempt.ConnectionLost && f.retryAfter < best.retryAfter {
			best = f
		}
	}
	return firstGrant{}, best
}

// releaseOthers releases the reservations granted after the first one.
func (s *Server) releaseOthers(results <-chan reserveResult, n int, first firstGrant, at *agentv1.Attempt, released *releaseGroup) {
	for range n - first.resultsRead {
		if r := <-results; r.err == nil {
			released.add(r.grant.peer.Name, s.agents.ReleaseNow(r.grant.peer, at))
		}
	}
}

// reserveAt asks one agent for a reservation and sends the result to the channel.
func (s *Server) reserveAt(ctx context.Context, g *generation, at *agentv1.Attempt, m *controlv1.Member, results chan<- reserveResult, released *releaseGroup) {
	p, err := s.agents.Peer(m)
	if err != nil {
		results <- reserveResult{grant: grant{peer: p}, err: err}
		return
	}
	id, err := s.awaitGrant(ctx, g, at, p)
	if err != nil && ctx.Err() != nil {
		// The agent may have sent a grant that was not received.
		released.add(p.Name, s.agents.ReleaseNow(p, at))
	}
	results <- reserveResult{grant: grant{peer: p, reservation: id, version: m.GetVersion()}, err: err}
}

// awaitGrant waits in the queue of one agent and returns the number of the granted
// reservation. It keeps the lease of the attempt alive meanwhile.
func (s *Server) awaitGrant(ctx context.Context, g *generation, at *agentv1.Attempt, p *agents.Peer) (uint64, error) {
	defer p.Track(at)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(reserveIdleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := p.Client.Reserve(ctx, connect.NewRequest(&agentv1.ReserveRequest{
		Attempt:       at,
		Model:         g.model.Name,
		Tokens:        uint32(g.promptTokens + g.maxTokens),
		Priority:      uint32(g.inbound.caller.Priority),
		Patience:      g.remainingWait(),
		GrantWithin:   durationpb.New(g.grantWithin()),
		Lead:          durationpb.New(s.prefillEstimator(g.model.Name).estimate(g.promptTokens)),
		KvBytes:       uint64(g.promptTokens) * uint64(g.model.BytesPerToken),
		ContentDigest: g.digest,
		Isolated:      g.suspect,
		Caller:        g.inbound.caller.Name,
	}))
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		idleTimer.Reset(reserveIdleTimeout)
		p.RecordLoad(stream.Msg().GetLoad())
		if stream.Msg().GetGranted() {
			return stream.Msg().GetReservation(), nil
		}
	}
	if err := stream.Err(); err != nil {
		return 0, err
	}
	return 0, &failure{kind: attempt.ConnectionLost, cause: &UnfinishedError{}}
}

// grantWithin returns how long a grant may take so that the first token meets
// its latency target. The target does not include the prefill time of the prompt.
// A resumed answer gets the whole target again.
func (g *generation) grantWithin() time.Duration {
	if g.progress.Sent > 0 {
		return time.Duration(g.model.FirstToken) - decodeStartDelay
	}
	return time.Until(g.arrived.Add(time.Duration(g.model.FirstToken) - decodeStartDelay))
}
