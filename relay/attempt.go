package relay

import (
	"context"
	"errors"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// stallTargets is the number of latency targets for which an endpoint may send
	// nothing before a repeatable request is sent to another one.
	stallTargets = 2
	// stallGaps is the same between two events of a stream, in multiples of the
	// route's Gap.
	stallGaps = 4
)

// attempt sends a call to one endpoint and forwards the answer. A nil error
// means that the caller has its final answer.
func (r *Relay) attempt(ctx context.Context, cs *callState) error {
	cs.exposed = false
	if err := r.checkKey(cs); err != nil {
		return err
	}
	if err := r.admitParts(ctx, cs); err != nil {
		return err
	}
	if cs.reservesMemory() {
		return r.generate(ctx, cs)
	}
	c := criteria{now: time.Now(), domain: r.domain, role: controlv1.Role_ROLE_DECODE, attempted: cs.attempted, weight: 1, entries: r.fleet.Entries}
	members := r.members(cs)
	e, inFlight := r.tracker.pick(members, c)
	if e == nil {
		return r.noEndpointError(cs.pool.Name, members, c)
	}
	cs.recordChoice(c.role, len(members), e, inFlight)
	latency, err := r.send(ctx, cs, r.newAttempt(cs, e), time.Now())
	r.tracker.end(e, resultOf(ctx, err), latency, 1)
	if err != nil {
		r.recordFailure(cs, e, err)
	}
	return err
}

func (r *Relay) newAttempt(cs *callState, e *controlv1.Endpoint) Attempt {
	return Attempt{Endpoint: endpointOf(e), Deadline: cs.deadline, LastEvent: cs.lastEvent, Account: cs.account.Name}
}

// send makes one attempt, and cancels it where the endpoint stalls and another
// attempt is prepared. It returns the time until the answer or its first event.
func (r *Relay) send(ctx context.Context, cs *callState, t Attempt, start time.Time) (time.Duration, error) {
	callContext := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	cs.attempted[t.Endpoint.Name], cs.endpoint, cs.attemptEvents = true, t.Endpoint, 0
	timeout, begun := r.stallTimeout(cs), cs.begun
	cs.begun = nil
	monitor := newStallMonitor(ctx, cancel, timeout, func(ctx context.Context, s stalledAttempt) bool {
		lastSent := time.Now().Add(-s.idle)
		m := memoryRequest{lastSent: lastSent, dueBy: lastSent.Add(time.Duration(cs.route.Target))}
		return r.prepareRetry(ctx, callContext, cs, m, s.flowing)
	})
	latency, err := r.exchange(ctx, cs, t, begun, monitor, start)
	monitor.stop()
	if err = stallCause(ctx, err); err == nil || monitor.stall == nil {
		r.cancelRetry(cs)
	}
	return latency, err
}

// prepareRetry prepares another attempt of a call whose endpoint has stalled: it
// charges the retry budget and, for model engines, reserves memory. A stream that was
// flowing goes on elsewhere only once that engine has begun, as it may turn the call
// away in spite of the reservation. That attempt lives in callContext, the context of the
// call. It reports whether all succeeded.
func (r *Relay) prepareRetry(ctx, callContext context.Context, cs *callState, m memoryRequest, flowing bool) bool {
	r.cancelRetry(cs)
	if flowing && cs.sent >= cs.route.Attempts || !r.chargeRetry(cs, retryFailed) {
		return false
	}
	if cs.reservesMemory() {
		s, err := r.reserve(ctx, cs, m)
		if err != nil {
			return false
		}
		cs.prepared = &s
		if flowing && !r.beginRetry(ctx, callContext, cs) {
			return false
		}
	}
	cs.budgetCharged = true
	return true
}

// cancelRetry releases the memory prepared for an attempt that is not needed.
// The retry budget stays charged.
func (r *Relay) cancelRetry(cs *callState) {
	if s := cs.prepared; s != nil {
		r.tracker.end(s.endpoint, resultUnknown, 0, float64(s.tokens))
		r.endRun(cs, *s, false)
		go r.releaseMemory(Attempt{Endpoint: endpointOf(s.endpoint), ReservationID: s.id})
	}
	if b := cs.begun; b != nil {
		b.cancel()
		_ = b.reply.Body.Close()
	}
	cs.prepared, cs.begun, cs.budgetCharged = nil, nil, false
}

// exchange sends a call, unless its attempt has begun, and forwards the answer. It
// returns the time until the answer or its first event.
func (r *Relay) exchange(ctx context.Context, cs *callState, t Attempt, begun *begunAttempt, monitor *stallMonitor, start time.Time) (time.Duration, error) {
	reply, err := r.reply(ctx, cs, t, begun)
	if err != nil {
		return 0, err
	}
	defer func() {
		if !cs.keeps(reply) {
			_ = reply.Body.Close()
		}
	}()
	cs.mayHaveRun = true
	if reply.Events {
		return r.forwardStream(cs, reply, monitor, start)
	}
	return r.forwardAnswer(cs, reply, monitor, start)
}

// reply returns the head of the answer to an attempt, which may have begun before.
func (r *Relay) reply(ctx context.Context, cs *callState, t Attempt, begun *begunAttempt) (*Reply, error) {
	if begun != nil {
		cs.exposed = true
		context.AfterFunc(ctx, begun.cancel)
		return begun.reply, nil
	}
	return r.dispatch(ctx, cs, t)
}

// dispatch sends a call and returns the head of the answer. The error is a *NotRunError
// where the endpoint turns the call away.
func (r *Relay) dispatch(ctx context.Context, cs *callState, t Attempt) (*Reply, error) {
	reply, err := r.sender.Send(ctx, cs.call, t)
	var dialErr *transport.DialError
	if errors.As(err, &dialErr) {
		return nil, err
	}
	cs.exposed = true
	if cs.sent++; cs.sent > 1 {
		r.metrics.extraSent(cs.pool.Name, causeSentAgain)
	}
	if err != nil {
		cs.mayHaveRun = true
		return nil, err
	}
	if reply.NotRun || reply.Misdirected {
		_ = reply.Body.Close()
		return nil, &NotRunError{Status: reply.Status, RetryAfter: reply.RetryAfter, Misdirected: reply.Misdirected}
	}
	return reply, nil
}

// stallTimeout returns how long an endpoint may send nothing before the call is
// sent to another one; zero where it can't be sent again.
func (r *Relay) stallTimeout(cs *callState) time.Duration {
	attempts := cs.sent + 1
	if cs.begun != nil {
		attempts = cs.sent
	}
	if !cs.route.Repeatable() || attempts >= cs.route.Attempts {
		return 0
	}
	return max(stallTargets*time.Duration(cs.route.Target), time.Until(cs.deadline)/3)
}
