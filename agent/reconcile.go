package agent

import (
	"context"
	"time"
)

const (
	// reconcileInterval is the time between looks at what the engine holds.
	reconcileInterval = 500 * time.Millisecond
	// reconcileTimeout bounds one look.
	reconcileTimeout = time.Second
)

// reconcile cancels whatever the engine holds and the agent cannot account
// for: work of an earlier agent, exports without a lease, and calls that an
// engine took in after their cancel. The endpoint takes work once a look has
// found nothing.
func (a *Agent) reconcile(ctx context.Context, e *endpoint) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		a.pins.lapse(time.Now())
		orphans, err := e.orphans(ctx)
		if err != nil {
			a.log.WithError(err).Warn("reconcile failed")
			if a.crashed(e) {
				a.crash(e)
			}
		}
		for _, r := range orphans {
			a.log.WithField("Request", r).Info("cancel a request that is not accounted for")
			e.canceller.cancel(r, nil)
		}
		if err == nil && len(orphans) == 0 {
			a.ready(e)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// orphans lists what the engine holds and what was accounted for neither
// before nor after the engine was asked.
func (e *endpoint) orphans(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	e.inflight.lapse(time.Now())
	before := e.inflight.snapshot()
	held, err := e.engine.Running(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range append(held.Requests, held.Exports...) {
		if _, ran := before[r]; !ran && !e.inflight.accounts(r, time.Now()) {
			out = append(out, r)
		}
	}
	return out, nil
}

// ready lets an endpoint take work, and the agent join with its first one.
func (a *Agent) ready(e *endpoint) {
	if e.ready.Swap(true) {
		return
	}
	a.joined.Do(func() { close(a.first) })
}
