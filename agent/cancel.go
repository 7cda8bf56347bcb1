package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/engines"
)

const (
	// cancelRing bounds the cancellations that wait to be sent.
	cancelRing = 4096
	// cancelTimeout bounds one try.
	cancelTimeout = time.Second
	// cancelPause is the time before a failed try is repeated.
	cancelPause = 200 * time.Millisecond
)

// canceller makes an engine forget requests. A cancel that is not confirmed is
// repeated until it is, or until the engine itself is gone.
type canceller struct {
	engine *engines.Client
	ring   chan string
	log    *logrus.Entry
}

func newCanceller(e *engines.Client, log *logrus.Entry) *canceller {
	return &canceller{engine: e, ring: make(chan string, cancelRing), log: log}
}

// cancel queues a request to be forgotten. A full ring is logged: the next
// reconciliation finds what was missed.
func (c *canceller) cancel(request string) {
	select {
	case c.ring <- request:
	default:
		c.log.WithField("Request", request).Error("cancel ring is full")
	}
}

// run sends cancels until the context ends. It starts with all that the engine
// still runs or holds from before this agent's time.
func (c *canceller) run(ctx context.Context) {
	c.reconcile(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.ring:
			c.until(ctx, r)
		}
	}
}

// reconcile cancels what the engine holds and the agent cannot account for.
// It is called before the agent has given any work to the engine.
func (c *canceller) reconcile(ctx context.Context) {
	running, err := c.engine.Running(ctx)
	if err != nil {
		c.log.WithError(err).Warn("reconcile failed")
		return
	}
	for _, r := range append(running.Requests, running.Exports...) {
		c.log.WithField("Request", r).Info("cancel a request of an earlier agent")
		c.until(ctx, r)
	}
}

// until repeats a cancel until the engine confirms it.
func (c *canceller) until(ctx context.Context, request string) {
	for ctx.Err() == nil {
		if c.try(ctx, request) {
			return
		}
		time.Sleep(cancelPause)
	}
}

func (c *canceller) try(ctx context.Context, request string) bool {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	err := c.engine.Cancel(ctx, request)
	if err != nil {
		c.log.WithError(err).WithField("Request", request).Warn("cancel not confirmed")
	}
	return err == nil
}
