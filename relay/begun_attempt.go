package relay

import (
	"context"
	"errors"
)

// begunAttempt is an attempt whose engine has begun to answer, while the attempt that it
// replaces is still open.
type begunAttempt struct {
	attempt Attempt
	reply   *Reply
	// cancel ends the attempt.
	cancel context.CancelFunc
}

// beginRetry sends a call to the engine where memory is prepared for it, and waits until
// the engine begins or the context ends. It reports whether the engine did. The call's
// own context bounds the attempt.
func (r *Relay) beginRetry(ctx, callContext context.Context, cs *callState) bool {
	s := *cs.prepared
	t, err := r.prepareAttempt(ctx, cs, s)
	var reply *Reply
	sendContext, cancel := context.WithCancel(callContext)
	sent := err == nil
	if sent {
		keep := context.AfterFunc(ctx, cancel)
		r.tracker.take(t.Endpoint.key(), r.fleet.Entries)
		reply, err = r.sendRetry(sendContext, cs, t)
		if !keep() && err == nil {
			_ = reply.Body.Close()
			err = ctx.Err()
		}
	}
	if err == nil {
		cs.begun = &begunAttempt{attempt: t, reply: reply, cancel: cancel}
		return true
	}
	cancel()
	r.endAttempt(ctx, cs, s, t, 0, err)
	if sent {
		r.reportFailed(cs, t.Endpoint, err, errors.Is(ctx.Err(), context.Canceled))
	}
	cs.prepared = nil
	return false
}

// sendRetry sends an attempt and returns its answer where that is a stream.
func (r *Relay) sendRetry(ctx context.Context, cs *callState, t Attempt) (*Reply, error) {
	cs.attempted[t.Endpoint.Name] = true
	reply, err := r.dispatch(ctx, cs, t)
	if err != nil || reply.Events {
		return reply, err
	}
	_ = reply.Body.Close()
	return nil, &StatusError{Status: reply.Status}
}
