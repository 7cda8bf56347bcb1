package entry

import (
	"context"

	agentv1 "ebonyreel/proto/agent/v1"
)

// runAttemptUnreserved makes one attempt under a baseline policy, which does
// not reserve: the prompt is computed first, and its KV cache then waits
// for decode memory on the endpoint that the policy names, until it expires.
func (s *Server) runAttemptUnreserved(ctx context.Context, g *generation, at *agentv1.Attempt) error {
	kv, prefiller, err := s.prefill(ctx, g, at)
	if err != nil {
		return err
	}
	defer prefiller.Track(at)()
	memory, err := s.reserveDecode(ctx, g, at)
	if err != nil {
		s.counters.Wasted.Add(1)
		s.agents.Release(prefiller, at)
		return err
	}
	defer memory.peer.Track(at)()
	imported, err := s.decode(ctx, g, at, memory, kv)
	if !imported {
		s.counters.Wasted.Add(1)
		s.agents.Release(prefiller, at)
	}
	if err != nil {
		s.agents.Release(memory.peer, at)
	}
	return err
}
