package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/engines"
)

const (
	// cancelQueueSize bounds the cancellations that wait to be read by run.
	cancelQueueSize = 4096
	// cancelTimeout bounds one call to the engine.
	cancelTimeout = time.Second
	// cancelRetryDelay is the delay before a failed call is repeated.
	cancelRetryDelay = 200 * time.Millisecond
	// maxConcurrentCancels bounds the calls in flight. There are several, so
	// that a call without an answer does not block the others.
	maxConcurrentCancels = 32
)

// canceller cancels requests at an engine. A cancel that is not confirmed is
// repeated until it is, or until the engine instance is gone.
type canceller struct {
	engine *engines.Client
	queue  chan cancellation
	log    *logrus.Entry
}

// cancellation is a request to cancel at the engine.
type cancellation struct {
	request string
	// confirmed is called once the engine holds nothing of the request; it may
	// be nil.
	confirmed func()
	// inFlight is true while a call to the engine is in flight.
	inFlight bool
	// nextCall is the earliest time of the next call.
	nextCall time.Time
}

// cancelResult is the result of one call.
type cancelResult struct {
	request string
	err     error
}

func newCanceller(e *engines.Client, log *logrus.Entry) *canceller {
	return &canceller{engine: e, queue: make(chan cancellation, cancelQueueSize), log: log}
}

// cancel queues a cancellation. If the queue is full, it logs an error and drops
// the cancellation; the next reconciliation finds the request at the engine.
func (c *canceller) cancel(request string, confirmed func()) {
	select {
	case c.queue <- cancellation{request: request, confirmed: confirmed}:
	default:
		c.log.WithField("Request", request).Error("cancel ring is full")
	}
}

// run sends cancellations until the context ends.
func (c *canceller) run(ctx context.Context) {
	pending := map[string]*cancellation{}
	results := make(chan cancelResult, maxConcurrentCancels)
	t := time.NewTicker(cancelRetryDelay)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case added := <-c.queue:
			mergeCancellation(pending, added)
		case result := <-results:
			c.handleResult(pending, result)
		case <-t.C:
		}
		c.startDue(ctx, pending, results)
	}
}

// mergeCancellation adds a cancellation to the pending ones. Cancellations of
// the same request become one that calls the confirmed functions of both.
func mergeCancellation(pending map[string]*cancellation, added cancellation) {
	old := pending[added.request]
	if old == nil {
		pending[added.request] = &added
		return
	}
	if previous := old.confirmed; previous != nil && added.confirmed != nil {
		old.confirmed = func() {
			previous()
			added.confirmed()
		}
	} else if previous == nil {
		old.confirmed = added.confirmed
	}
}

// startDue starts the calls that are due, up to maxConcurrentCancels in flight.
func (c *canceller) startDue(ctx context.Context, pending map[string]*cancellation, results chan<- cancelResult) {
	inFlight := 0
	for _, p := range pending {
		if p.inFlight {
			inFlight++
		}
	}
	for _, p := range pending {
		if inFlight >= maxConcurrentCancels {
			return
		}
		if p.inFlight || time.Now().Before(p.nextCall) {
			continue
		}
		p.inFlight = true
		inFlight++
		go func() { results <- cancelResult{request: p.request, err: c.send(ctx, p.request)} }()
	}
}

// handleResult removes a confirmed cancellation, and schedules a retry of a
// failed one.
func (c *canceller) handleResult(pending map[string]*cancellation, result cancelResult) {
	p := pending[result.request]
	if result.err != nil {
		c.log.WithError(result.err).WithField("Request", result.request).Warn("cancel not confirmed")
		p.inFlight, p.nextCall = false, time.Now().Add(cancelRetryDelay)
		return
	}
	delete(pending, result.request)
	if p.confirmed != nil {
		p.confirmed()
	}
}

func (c *canceller) send(ctx context.Context, request string) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	return c.engine.Cancel(ctx, request)
}
