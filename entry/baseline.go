package entry

import (
	"context"

	agentv1 "ebonyreel/proto/agent/v1"
)

// tryUnreserved makes one attempt under a baseline policy: the prompt is
// computed first, and its KV cache then waits for decode memory on the
// endpoint that the policy names, as long as it lives.
func (s *Server) tryUnreserved(ctx context.Context, g *generation, at *agentv1.Attempt) error {
	kv, prefiller, err := s.prefill(ctx, g, at)
	if err != nil {
		return err
	}
	defer prefiller.Track(at)()
	held, err := s.reserveMemory(ctx, g, at)
	if err != nil {
		s.counts.Wasted.Add(1)
		s.agents.Release(prefiller, at)
		return err
	}
	defer held.peer.Track(at)()
	imported, err := s.decode(ctx, g, at, held, kv)
	if !imported {
		s.counts.Wasted.Add(1)
		s.agents.Release(prefiller, at)
	}
	if err != nil {
		s.agents.Release(held.peer, at)
	}
	return err
}
