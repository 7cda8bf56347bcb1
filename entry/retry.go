package entry

import (
	"context"
	"errors"
	"time"

	"ebonyreel/agents"
	"ebonyreel/attempt"
	"ebonyreel/callers"
	"ebonyreel/clock"
	"ebonyreel/decision"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

// failure is a try that failed.
type failure struct {
	kind       attempt.Failure
	retryAfter time.Duration
	cause      error
}

// Error gives the cause.
func (f *failure) Error() string {
	return f.cause.Error()
}

// unwritten wraps an error of writing to the caller, after which no other try
// is of use. It returns nil for nil.
func unwritten(err error) error {
	if err == nil {
		return nil
	}
	return &failure{kind: attempt.CallerGone, cause: err}
}

// run tries a generation until it is answered, refused or given up by its
// caller.
func (s *Server) run(ctx context.Context, g *generation) {
	for {
		g.number++
		err := s.try(ctx, g)
		if err == nil {
			s.counts.Completed.Add(1)
			g.visit.decision.End(decision.Completed, "")
			return
		}
		f := failureOf(err)
		if ctx.Err() != nil || f.kind == attempt.CallerGone {
			g.visit.log.WithError(err).Info("caller is gone")
			g.visit.decision.End(decision.CallerGone, err.Error())
			return
		}
		d := g.progress.Fail(f.kind, f.retryAfter, s.retries.Allow())
		g.visit.log.WithError(err).WithField("Attempt", g.number).Warn("try failed")
		g.visit.decision.Fail(g.number, err.Error())
		if d.Strike {
			s.strike(ctx, g)
		}
		if d.Action != attempt.Retry || !g.waits(d.Pause) {
			s.giveUp(g, d, err)
			return
		}
		s.counts.Retried.Add(1)
		clock.Pause(ctx, d.Pause)
	}
}

// waits reports whether the caller's patience outlasts a pause.
func (g *generation) waits(d time.Duration) bool {
	return d == 0 || g.deadline.IsZero() || time.Now().Add(d).Before(g.deadline)
}

// giveUp ends a generation with its final answer, at once.
func (s *Server) giveUp(g *generation, d attempt.Decision, err error) {
	r := &callers.RefusalError{Code: callers.NotRun, Message: err.Error(), RetryAfter: d.RetryAfter}
	switch {
	case g.progress.Sent > 0:
		r.Code = callers.Broken
	case g.progress.Started:
		r.Code = callers.OutcomeUnknown
	}
	s.counts.refused(r.Code)
	g.visit.decision.End(string(r.Code), r.Message)
	g.answer.Refuse(r)
}

// strike counts a crash against the content, so that every entry knows.
func (s *Server) strike(ctx context.Context, g *generation) {
	_, err := s.client.AddStrikes(ctx, &controlv1.AddStrikesRequest{
		Environment: s.announcer.Member().GetEnvironment(), ContentDigests: []string{g.digest},
	})
	if err != nil {
		g.visit.log.WithError(err).Warn("strike not recorded")
	}
}

// failed classifies an error of a call to an agent and makes the next try
// prefer another. A connection that may be silent is not used again.
func (g *generation) failed(p *agents.Peer, err error) *failure {
	f := failureOf(err)
	if p == nil || g.visit.request.Context().Err() != nil {
		return f
	}
	switch f.kind {
	case attempt.Lost:
		p.Redial()
	case attempt.KvGone:
		return f
	case attempt.Suspect, attempt.Crashed:
		g.suspect = true
	}
	if f.kind != attempt.Suspect {
		g.avoid(p)
	}
	return f
}

func (g *generation) avoid(p *agents.Peer) {
	if g.avoided == nil {
		g.avoided = map[string]bool{}
	}
	g.avoided[p.Name] = true
}

// avoidSource makes the next try prefer another prefill endpoint where the
// KV cache could not be fetched.
func (g *generation) avoidSource(p *agents.Peer, err error) {
	if failureOf(err).kind == attempt.KvGone {
		g.avoid(p)
	}
}

// preferred returns the members that have not failed this request, or all
// where there is no other.
func (g *generation) preferred(members []*controlv1.Member) []*controlv1.Member {
	if len(g.avoided) == 0 {
		return members
	}
	var out []*controlv1.Member
	for _, m := range members {
		if !g.avoided[m.GetName()] {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}

// failureOf classifies an error of a try.
func failureOf(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var r *agents.RefusalError
	if !errors.As(agents.Received(err), &r) {
		return &failure{kind: attempt.Lost, cause: err}
	}
	kinds := map[agentv1.Refusal_Code]attempt.Failure{
		agentv1.Refusal_CODE_NOT_RUN:          attempt.NotRun,
		agentv1.Refusal_CODE_STALE:            attempt.NotRun,
		agentv1.Refusal_CODE_ENDPOINT_CRASHED: attempt.Crashed,
		agentv1.Refusal_CODE_KV_GONE:          attempt.KvGone,
		agentv1.Refusal_CODE_SUSPECT:          attempt.Suspect,
	}
	k, ok := kinds[r.Code]
	if !ok {
		k = attempt.Lost
	}
	return &failure{kind: k, retryAfter: r.RetryAfter, cause: r}
}
