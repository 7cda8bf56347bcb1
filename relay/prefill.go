package relay

import (
	"context"
	"errors"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// maxPrefillAttempts bounds the number of engines asked to compute one prompt.
	maxPrefillAttempts = 2
	// aliveTimeout bounds the check whether the last engine of a call still accepts
	// connections. The result decides whether a prefill engine computes the prompt
	// of a retry.
	aliveTimeout = 50 * time.Millisecond
)

// usesPrefillEngine reports whether a prefill engine computes the prompt of the next
// attempt. It adds an endpoint to the call, and the attempts of the route bound these:
// where an endpoint may have run the call, a prefill is allowed only once that endpoint
// is gone.
func (r *Relay) usesPrefillEngine(ctx context.Context, cs *callState) bool {
	if cs.prefills == 0 || !cs.mayHaveRun {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return r.engines.CheckListener(ctx, cs.endpoint) != LifetimeRunning
}

// prefill has a prefill engine compute the prompt for the engine of a reservation, first the
// suggested one. The zero Handle means that none did, so that the decode engine computes it.
func (r *Relay) prefill(ctx context.Context, cs *callState, s reservation) Handle {
	asked, suggested := map[string]bool{}, s.prefillEngine
	for range maxPrefillAttempts {
		h, err := r.tryPrefill(ctx, cs, asked, suggested, s.endpoint.GetVersion())
		suggested = ""
		var notRun *NotRunError
		if !errors.As(err, &notRun) {
			return h
		}
	}
	return Handle{}
}

// tryPrefill has one prefill engine of a version compute the prompt, preferably one that
// was not asked before. The error tells why there is no result.
func (r *Relay) tryPrefill(ctx context.Context, cs *callState, asked map[string]bool, suggested, version string) (Handle, error) {
	weight := float64(cs.call.Prompt.Tokens)
	members := ofVersion(r.fleet.Endpoints(cs.pool.Name), version)
	c := criteria{
		now: time.Now(), domain: r.domain, role: controlv1.Role_ROLE_PREFILL, weight: weight, attempted: asked, suggested: suggested, entries: r.fleet.Entries,
	}
	repeated := cs.prefillAccepted
	if !r.chargePrefill(cs) {
		return Handle{}, &RetryBudgetError{Pool: cs.pool.Name}
	}
	e, inFlight := r.tracker.pick(members, c)
	if e == nil {
		if !repeated {
			r.settlePrefill(cs, holdUnused)
		}
		return Handle{}, r.noEndpointError(cs.pool.Name, members, c)
	}
	asked[e.GetName()] = true
	cs.prefills++
	cs.recordChoice(controlv1.Role_ROLE_PREFILL, len(members), e, inFlight)
	start := time.Now()
	t := r.newAttempt(cs, e)
	t.LastEvent = ""
	h, err := r.engines.Prefill(ctx, cs.call, t)
	r.endPrefillAttempt(ctx, cs, err, repeated)
	r.tracker.end(e, resultOf(ctx, err), time.Since(start), weight)
	if err != nil {
		r.reportFailed(cs, t.Endpoint, err, errors.Is(ctx.Err(), context.Canceled))
		r.logger(cs, err).WithField("Endpoint", e.GetName()).Info("prefill failed")
		cs.record.AddFailure(uint32(cs.sent+1), "prefill at "+e.GetName()+": "+err.Error())
		return Handle{}, err
	}
	r.metrics.Prefill.observe(cs.pool.Name, time.Since(start))
	r.workload.Prefilled(cs.pool.Name, cs.call.Prompt.Tokens, time.Since(start))
	return h, nil
}

// chargePrefill charges the next prefill of a call to the retry budget, and reports whether
// the budget allows it. All prefills but the first that an engine accepts are retries. Until
// one is accepted, the charge is held.
func (r *Relay) chargePrefill(cs *callState) bool {
	if cs.prefillAccepted {
		return r.chargeRetry(cs, retryFailed)
	}
	return r.holdRetry(cs)
}

// endPrefillAttempt counts a prefill that was a retry, and settles the charge that was held
// for one that may have been. repeated is true where an engine had accepted one before. A
// prefill without an answer counts as not accepted, and the next one as repeated, as only
// the engine knows.
func (r *Relay) endPrefillAttempt(ctx context.Context, cs *callState, err error, repeated bool) {
	result, cause := holdUnaccepted, causePrefillUnanswered
	var dialErr *transport.DialError
	var notRun *NotRunError
	var status *StatusError
	switch {
	case errors.As(err, &dialErr):
		result, cause = holdUnused, ""
	case errors.As(err, &notRun):
		cause = causePrefillRejected
	case repeated:
		cause = causePrefillRepeated
	case err == nil, errors.As(err, &status):
		result, cause = holdAccepted, ""
	case ctx.Err() != nil:
		// The call ends, or it goes on with the request that was open before. Then the
		// retry that this prefill was for stays charged.
		result, cause = holdUnused, ""
	}
	if cause != "" {
		r.metrics.extraSent(cs.pool.Name, cause)
	}
	if !repeated {
		cs.prefillAccepted = dialErr == nil && notRun == nil
		r.settlePrefill(cs, result)
	}
}

func (r *Relay) settlePrefill(cs *callState, result holdResult) {
	r.retryAccountOf(cs.pool.Name).settle(time.Now(), r.budget, result)
}
