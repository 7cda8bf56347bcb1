package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"ebonyreel/agents"
	"ebonyreel/attempt"
	"ebonyreel/callers"
	"ebonyreel/clock"
	"ebonyreel/decision"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

// failure is the error of a failed attempt.
type failure struct {
	kind       attempt.Failure
	retryAfter time.Duration
	cause      error
	// stale is true if an agent refused the attempt, and not its work, which it
	// may take in the next attempt.
	stale bool
}

// Error returns the message of the cause.
func (f *failure) Error() string {
	return f.cause.Error()
}

// writeFailure wraps an error of a write to the caller, after which there is no
// retry. It returns nil for nil.
func writeFailure(err error) error {
	if err == nil {
		return nil
	}
	return &failure{kind: attempt.CallerGone, cause: err}
}

// runGeneration makes attempts until the call is answered or refused, or its
// caller is gone.
func (s *Server) runGeneration(ctx context.Context, g *generation) {
	for {
		g.attemptNumber++
		err := s.runAttempt(ctx, g)
		if err == nil {
			s.counters.Completed.Add(1)
			g.inbound.decision.End(decision.Completed, "")
			return
		}
		f := classify(err)
		if ctx.Err() != nil || f.kind == attempt.CallerGone {
			g.inbound.log.WithError(err).Info("caller is gone")
			g.inbound.decision.End(decision.CallerGone, err.Error())
			return
		}
		d := g.progress.Fail(f.kind, f.retryAfter, s.retries.Allow())
		g.inbound.log.WithError(err).WithField("Attempt", g.attemptNumber).Warn("try failed")
		g.inbound.decision.AddFailure(g.attemptNumber, err.Error())
		if d.Strike {
			s.recordStrike(ctx, g)
		}
		if d.Action != attempt.Retry || !g.canWait(d.RetryDelay) {
			s.refuseGeneration(g, d, err)
			return
		}
		s.counters.Retried.Add(1)
		clock.Sleep(ctx, d.RetryDelay)
	}
}

// canWait reports whether a pause ends before the deadline of the call.
func (g *generation) canWait(d time.Duration) bool {
	return d == 0 || g.deadline.IsZero() || time.Now().Add(d).Before(g.deadline)
}

// refuseGeneration ends a generation with a refusal, or with an error event if
// tokens were sent. Work that may have run makes the outcome unknown.
func (s *Server) refuseGeneration(g *generation, d attempt.Decision, err error) {
	r := &callers.RefusalError{Code: callers.NotRun, Message: err.Error(), RetryAfter: d.RetryAfter}
	switch {
	case g.progress.Sent > 0:
		r.Code = callers.Aborted
	case g.progress.Started:
		r.Code = callers.OutcomeUnknown
	}
	s.counters.countRefused(r.Code)
	g.inbound.decision.End(string(r.Code), r.Message)
	g.answer.WriteRefusal(r)
}

// recordStrike records a crash against the content in control, so that all
// entries know of it.
func (s *Server) recordStrike(ctx context.Context, g *generation) {
	_, err := s.client.AddStrikes(ctx, &controlv1.AddStrikesRequest{
		Environment: s.announcer.Member().GetEnvironment(), ContentDigests: []string{g.digest},
	})
	if err != nil {
		g.inbound.log.WithError(err).Warn("strike not recorded")
	}
}

// recordFailure classifies an error of a call to an agent. Later attempts
// prefer another agent if this one may be the cause. A connection that may be dead
// is replaced. After the caller is gone it only classifies the error.
func (g *generation) recordFailure(p *agents.Peer, err error) *failure {
	f := classify(err)
	if p == nil || g.inbound.request.Context().Err() != nil {
		return f
	}
	switch f.kind {
	case attempt.ConnectionLost:
		p.Redial()
	case attempt.KvGone:
		return f
	case attempt.Suspect, attempt.Crashed:
		g.suspect = true
	}
	if f.kind != attempt.Suspect && !f.stale {
		g.avoid(p, f.kind)
	}
	return f
}

// avoid makes later attempts prefer other agents.
func (g *generation) avoid(p *agents.Peer, kind attempt.Failure) {
	if g.failedAgents == nil {
		g.failedAgents = map[string]attempt.Failure{}
	}
	g.failedAgents[p.Name] = kind
}

// avoidSource makes the next attempt prefer another prefill endpoint if the KV
// cache could not be fetched from this one.
func (g *generation) avoidSource(p *agents.Peer, err error) {
	if classify(err).kind == attempt.KvGone {
		g.avoid(p, attempt.KvGone)
	}
}

// preferred returns the members where this call has not failed, or all members
// if it has failed everywhere.
func (g *generation) preferred(members []*controlv1.Member) []*controlv1.Member {
	return without(members, func(name string) bool {
		_, failed := g.failedAgents[name]
		return failed
	})
}

// reachable returns the members to which this call has not lost a connection, or
// all members if it has lost one to each.
func (g *generation) reachable(members []*controlv1.Member) []*controlv1.Member {
	return without(members, func(name string) bool {
		kind, failed := g.failedAgents[name]
		return failed && kind == attempt.ConnectionLost
	})
}

// without returns the members whose names are not excluded, or all members if
// none is left.
func without(members []*controlv1.Member, excluded func(name string) bool) []*controlv1.Member {
	left := slices.DeleteFunc(slices.Clone(members), func(m *controlv1.Member) bool { return excluded(m.GetName()) })
	if len(left) == 0 {
		return members
	}
	return left
}

// classify returns the failure in an error of an attempt, or a new one with a
// kind that follows from the error.
func classify(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var r *agents.RefusalError
	if !errors.As(agents.RefusalFrom(err), &r) {
		return &failure{kind: attempt.ConnectionLost, cause: err}
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
		k = attempt.ConnectionLost
	}
	return &failure{kind: k, retryAfter: r.RetryAfter, cause: r, stale: r.Code == agentv1.Refusal_CODE_STALE}
}
