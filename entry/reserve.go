package entry

import (
	"context"
	"fmt"
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

// reserveSilence is how long a queue may bring nothing, not even a heartbeat.
const reserveSilence = 3 * time.Second

// decodeStart is the usual time between the end of a prefill and the first
// token, with a margin for what comes between.
const decodeStart = 120 * time.Millisecond

// held is a promise of decode memory, or of a turn at a prefill endpoint.
type held struct {
	peer        *agents.Peer
	reservation uint64
}

// bid is what one agent answered to a request for memory.
type bid struct {
	held held
	err  error
}

// UnfinishedError reports a stream that ended without its end marker.
type UnfinishedError struct {
	// Sent is the number of tokens received.
	Sent int
}

// Error says where it ended.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("stream ended without its end marker after %d tokens", e.Sent)
}

// PositionError reports a token out of its place.
type PositionError struct {
	Expected int
	Got      int
}

// Error names both positions.
func (e *PositionError) Error() string {
	return fmt.Sprintf("token of position %d came in place of %d", e.Got, e.Expected)
}

// reserveMemory has decode memory promised.
func (s *Server) reserveMemory(ctx context.Context, g *generation, at *agentv1.Attempt) (held, error) {
	ctx, span := s.tracer.Start(ctx, "Decision")
	defer span.End()
	c := s.pool(g, controlv1.Role_ROLE_DECODE)
	picked := s.policy.Decode(c)
	if len(picked) == 0 {
		return held{}, none("decode", g.model.Name)
	}
	return s.reserve(ctx, g, at, c, picked)
}

// reserveTurn has a turn at a prefill endpoint promised. A policy that does
// not reserve queues at the engine.
func (s *Server) reserveTurn(ctx context.Context, g *generation, at *agentv1.Attempt) (held, error) {
	ctx, span := s.tracer.Start(ctx, "Turn")
	defer span.End()
	c := s.pool(g, controlv1.Role_ROLE_PREFILL)
	picked := s.policy.Prefill(c, placement.Prefix(g.call.Prompt, prefixBytes))
	if len(picked) == 0 {
		return held{}, none("prefill", g.model.Name)
	}
	if s.policy.Reserves() {
		return s.reserve(ctx, g, at, c, picked)
	}
	g.visit.decision.Choose(c.choice(g.number, picked, c.members[picked[0]].GetName()))
	p, err := s.agents.Peer(c.members[picked[0]])
	return held{peer: p}, err
}

// reserve has a promise made by one of a few agents. Where copies of the content
// are under way elsewhere, the promise is sought there.
func (s *Server) reserve(ctx context.Context, g *generation, at *agentv1.Attempt, c loads, picked []int) (held, error) {
	if g.suspect {
		picked = picked[:1]
	}
	h, settled, err := s.first(ctx, g, at, c, picked)
	if err != nil {
		return h, err
	}
	elsewhere, err := s.pin(ctx, g, at, c, h.peer.Name)
	if err != nil || len(elsewhere) > 0 {
		s.agents.Release(h.peer, at)
	}
	if err != nil || len(elsewhere) == 0 {
		return h, err
	}
	// An agent that was asked before must not take the end of that for the end
	// of the next reservation, which has the same attempt.
	settled.Wait()
	h, _, err = s.first(ctx, g, at, c, elsewhere)
	return h, err
}

// first asks a few agents for a promise and binds to the first that grants
// it. The others are released; the group is done once they know.
func (s *Server) first(ctx context.Context, g *generation, at *agentv1.Attempt, c loads, picked []int) (held, *sync.WaitGroup, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bids, settled := make(chan bid, len(picked)), &sync.WaitGroup{}
	for _, i := range picked {
		settled.Go(func() { s.bid(ctx, g, at, c.members[i], bids) })
	}
	asked := c.choice(g.number, picked, "")
	won, err := g.firstGrant(bids, len(picked))
	if err == nil {
		asked.Chosen = won.held.peer.Name
		settled.Go(func() { s.releaseLosers(bids, len(picked), won, at) })
	}
	g.visit.decision.Choose(asked)
	return won.held, settled, err
}

// grantedBid is the first grant, and how many answers were read to get it.
type grantedBid struct {
	held held
	read int
}

// firstGrant returns the first grant, or the error that promises the most.
func (g *generation) firstGrant(bids <-chan bid, n int) (grantedBid, error) {
	var best *failure
	for i := range n {
		b := <-bids
		if b.err == nil {
			return grantedBid{held: b.held, read: i + 1}, nil
		}
		f := g.failed(b.held.peer, b.err)
		if best == nil || f.kind != attempt.Lost && f.retryAfter < best.retryAfter {
			best = f
		}
	}
	return grantedBid{}, best
}

// releaseLosers gives back what was granted after the first grant.
func (s *Server) releaseLosers(bids <-chan bid, n int, won grantedBid, at *agentv1.Attempt) {
	for range n - won.read {
		if b := <-bids; b.err == nil {
			s.agents.ReleaseNow(b.held.peer, at)
		}
	}
}

// bid waits in one agent's queue.
func (s *Server) bid(ctx context.Context, g *generation, at *agentv1.Attempt, m *controlv1.Member, bids chan<- bid) {
	p, err := s.agents.Peer(m)
	if err != nil {
		bids <- bid{held: held{peer: p}, err: err}
		return
	}
	id, err := s.wait(ctx, g, at, p)
	if err != nil && ctx.Err() != nil {
		// Its grant may have been on the way.
		s.agents.ReleaseNow(p, at)
	}
	bids <- bid{held: held{peer: p, reservation: id}, err: err}
}

func (s *Server) wait(ctx context.Context, g *generation, at *agentv1.Attempt, p *agents.Peer) (uint64, error) {
	defer p.Track(at)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(reserveSilence, cancel)
	defer quiet.Stop()
	stream, err := p.Client.Reserve(ctx, connect.NewRequest(&agentv1.ReserveRequest{
		Attempt:       at,
		Model:         g.model.Name,
		Tokens:        uint32(g.promptTokens + g.maxTokens),
		Priority:      uint32(g.visit.caller.Priority),
		Patience:      g.patience(),
		GrantWithin:   durationpb.New(g.slack()),
		Lead:          durationpb.New(s.delay(g.model.Name).prefill(g.promptTokens)),
		KvBytes:       uint64(g.promptTokens) * uint64(g.model.BytesPerToken),
		ContentDigest: g.digest,
		Isolated:      g.suspect,
		Caller:        g.visit.caller.Name,
	}))
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		quiet.Reset(reserveSilence)
		p.Observe(stream.Msg().GetLoad())
		if stream.Msg().GetGranted() {
			return stream.Msg().GetReservation(), nil
		}
	}
	if err := stream.Err(); err != nil {
		return 0, err
	}
	return 0, &failure{kind: attempt.Lost, cause: &UnfinishedError{}}
}

// slack is how long a grant may take so that the first token meets its target,
// which counts on top of the prompt's own prefill time. An answer that is
// resumed has the same time once more.
func (g *generation) slack() time.Duration {
	if g.progress.Sent > 0 {
		return time.Duration(g.model.FirstToken) - decodeStart
	}
	return time.Until(g.arrived.Add(time.Duration(g.model.FirstToken) - decodeStart))
}
