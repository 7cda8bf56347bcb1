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
	// maxEndpointsPerContent is the number of endpoints of a role that may run
	// copies of one content at the same time.
	maxEndpointsPerContent = 1
	// placeTimeout bounds one Place call.
	placeTimeout = time.Second
	// condemnedRetryAfter is the delay before a caller may retry a condemned
	// content.
	condemnedRetryAfter = time.Minute
)

// checkStrikes marks a content with recorded crashes as suspect before an attempt.
// It returns an error for a condemned content, which crashed an endpoint where it
// ran isolated.
func (s *Server) checkStrikes(g *generation) error {
	if s.view.Condemned(g.digest) {
		cause := &callers.RefusalError{Code: callers.NotRun, Message: "this content crashed the endpoints that ran it"}
		return &failure{kind: attempt.Refused, retryAfter: condemnedRetryAfter, cause: cause}
	}
	g.suspect = g.suspect || s.view.Strikes(g.digest) > 0
	return nil
}

// placeCopy asks the agent that owns the pin of a content, the set of agents that
// may run it, whether one more copy may run at the candidate. It returns no members
// if it may, and otherwise the members where it must run instead. An isolated
// content needs no pin.
func (s *Server) placeCopy(ctx context.Context, g *generation, at *agentv1.Attempt, c candidateList, candidate string) ([]*controlv1.Member, error) {
	if g.suspect || len(c.all) <= maxEndpointsPerContent {
		return nil, nil
	}
	// The owner is chosen among all members, so that an entry where the call has
	// failed somewhere asks the same owner as the others.
	p, err := s.agents.Peer(pinOwner(g.reachable(c.all), g.digest))
	if err != nil {
		return nil, err
	}
	r := &agentv1.PlaceRequest{Attempt: at, Content: c.role + " " + g.digest, Candidate: candidate, Spread: maxEndpointsPerContent}
	for name := range g.failedAgents {
		r.Failed = append(r.Failed, name)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	res, err := p.Client.Place(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, g.recordFailure(p, err)
	}
	g.cleanups = append(g.cleanups, p.Track(at))
	if slices.Contains(res.Msg.GetAgents(), candidate) {
		return nil, nil
	}
	return c.named(res.Msg.GetAgents()), nil
}

// named returns those of all members that have one of the names.
func (c candidateList) named(names []string) []*controlv1.Member {
	return slices.DeleteFunc(slices.Clone(c.all), func(m *controlv1.Member) bool { return !slices.Contains(names, m.GetName()) })
}

// pinOwner returns the member that owns the pin of a content, by rendezvous hashing
// (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"): all
// entries ask the same member, and a change of membership moves few contents.
func pinOwner(members []*controlv1.Member, content string) *controlv1.Member {
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

// mix distributes the bits of a number (the finalizer of SplitMix64; Steele, Lea
// and Flood, "Fast Splittable Pseudorandom Number Generators").
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
