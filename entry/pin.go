package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"ebonyreel/attempt"
	"ebonyreel/callers"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// copiesSpread is the number of endpoints of a role that may run copies of
	// one content at the same time.
	copiesSpread = 1
	// placeTimeout bounds one question where a copy may run.
	placeTimeout = time.Second
	// condemnedRetry is when the caller of a condemned content may come back.
	condemnedRetry = time.Minute
)

// suspected reads what is known of a content before a try. The error refuses
// one that crashed an endpoint where it ran alone.
func (s *Server) suspected(g *generation) error {
	if s.view.Condemned(g.digest) {
		cause := &callers.RefusalError{Code: callers.NotRun, Message: "this content crashed the endpoints that ran it"}
		return &failure{kind: attempt.Refused, retryAfter: condemnedRetry, cause: cause}
	}
	g.suspect = g.suspect || s.view.Strikes(g.digest) > 0
	return nil
}

// pin asks the agent that keeps the pin of a content whether one more copy of
// it may run on an agent. It returns the indices of those where it must go
// instead, or none. A content that runs alone needs no pin.
func (s *Server) pin(ctx context.Context, g *generation, at *agentv1.Attempt, c loads, candidate string) ([]int, error) {
	if g.suspect || c.Len() <= copiesSpread {
		return nil, nil
	}
	p, err := s.agents.Peer(keeper(c.members, g.digest))
	if err != nil {
		return nil, err
	}
	r := &agentv1.PlaceRequest{Attempt: at, Content: c.role + " " + g.digest, Candidate: candidate, Spread: copiesSpread}
	for name := range g.avoided {
		r.Failed = append(r.Failed, name)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	res, err := p.Client.Place(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, g.failed(p, err)
	}
	g.ends = append(g.ends, p.Track(at))
	if slices.Contains(res.Msg.GetAgents(), candidate) {
		return nil, nil
	}
	return c.named(res.Msg.GetAgents()), nil
}

// named returns the indices of the members with these names.
func (l loads) named(names []string) []int {
	var out []int
	for i, m := range l.members {
		if slices.Contains(names, m.GetName()) {
			out = append(out, i)
		}
	}
	return out
}

// keeper returns the member that keeps the pin of a content (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"), so that all
// entries ask the same one while most members stay.
func keeper(members []*controlv1.Member, content string) *controlv1.Member {
	digest := xxhash.Sum64String(content)
	var best *controlv1.Member
	var highest uint64
	for _, m := range members {
		if weight := mix(xxhash.Sum64String(m.GetName()) ^ digest); best == nil || weight > highest {
			best, highest = m, weight
		}
	}
	return best
}

// mix spreads the bits of a number (the finalizer of Steele, Lea and Flood's
// SplitMix).
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
