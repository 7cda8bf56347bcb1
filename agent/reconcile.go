package agent

import (
	"context"
	"time"
)

const (
	// reconcileInterval is the time between two comparisons with the engine.
	reconcileInterval = 500 * time.Millisecond
	// reconcileTimeout bounds the engine's answer.
	reconcileTimeout = time.Second
)

// reconcile cancels everything that the engine holds and the agent has no record
// of: work of an earlier agent, exports without a lease, and calls that the
// engine received after their cancel. The endpoint accepts work once a
// comparison finds nothing to cancel.
func (a *Agent) reconcile(ctx context.Context, e *endpoint) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		a.pins.expire(time.Now())
		orphans, err := e.orphans(ctx)
		if err != nil {
			a.log.WithError(err).Warn("reconcile failed")
			if a.engineCrashed(e) {
				a.handleCrash(e)
			}
		}
		for _, r := range orphans {
			a.log.WithField("Request", r).Info("cancel a request that is not accounted for")
			e.canceller.cancel(r, nil)
		}
		if err == nil && len(orphans) == 0 {
			a.markReady(e)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// orphans lists the requests that the engine holds and that the agent had no
// record of, neither before nor after it asked the engine.
func (e *endpoint) orphans(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	e.inflight.expireExports(time.Now())
	runningBefore := e.inflight.runningAttempts()
	held, err := e.engine.Running(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range append(held.Requests, held.Exports...) {
		if _, ran := runningBefore[r]; !ran && !e.inflight.accountsFor(r, time.Now()) {
			out = append(out, r)
		}
	}
	return out, nil
}

// markReady lets an endpoint accept work. The first one closes endpointReady,
// which lets the agent join the members.
func (a *Agent) markReady(e *endpoint) {
	if e.ready.Swap(true) {
		return
	}
	a.endpointReadyOnce.Do(func() { close(a.endpointReady) })
}
