package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/engines"
)

const (
	// cancelRing bounds the cancellations that wait to be taken in.
	cancelRing = 4096
	// cancelTimeout bounds one try.
	cancelTimeout = time.Second
	// cancelPause is the time before a failed try is repeated.
	cancelPause = 200 * time.Millisecond
	// cancelsAtOnce bounds the tries under way, so that one without an answer
	// does not hold up the others.
	cancelsAtOnce = 32
)

// canceller makes an engine forget requests. A cancel that is not confirmed is
// repeated until it is, or until the engine itself is gone.
type canceller struct {
	engine *engines.Client
	ring   chan cancellation
	log    *logrus.Entry
}

// cancellation is a request to be forgotten.
type cancellation struct {
	request string
	// confirmed is called once nothing of the request is left; it may be nil.
	confirmed func()
	// trying is true while a try is under way.
	trying bool
	// due is when the next try may start.
	due time.Time
}

// attemptedCancel is how one try ended.
type attemptedCancel struct {
	request string
	err     error
}

func newCanceller(e *engines.Client, log *logrus.Entry) *canceller {
	return &canceller{engine: e, ring: make(chan cancellation, cancelRing), log: log}
}

// cancel queues a request to be forgotten. A full ring is logged: the next
// reconciliation finds what was missed.
func (c *canceller) cancel(request string, confirmed func()) {
	select {
	case c.ring <- cancellation{request: request, confirmed: confirmed}:
	default:
		c.log.WithField("Request", request).Error("cancel ring is full")
	}
}

// run sends cancels until the context ends.
func (c *canceller) run(ctx context.Context) {
	pending := map[string]*cancellation{}
	ended := make(chan attemptedCancel, cancelsAtOnce)
	t := time.NewTicker(cancelPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-c.ring:
			merge(pending, n)
		case e := <-ended:
			c.settle(pending, e)
		case <-t.C:
		}
		c.start(ctx, pending, ended)
	}
}

// merge adds a cancellation to those of the same request.
func merge(pending map[string]*cancellation, n cancellation) {
	old := pending[n.request]
	if old == nil {
		pending[n.request] = &n
		return
	}
	if first := old.confirmed; first != nil && n.confirmed != nil {
		old.confirmed = func() {
			first()
			n.confirmed()
		}
	} else if first == nil {
		old.confirmed = n.confirmed
	}
}

// start begins the tries that are due, up to cancelsAtOnce.
func (c *canceller) start(ctx context.Context, pending map[string]*cancellation, ended chan<- attemptedCancel) {
	trying := 0
	for _, p := range pending {
		if p.trying {
			trying++
		}
	}
	for _, p := range pending {
		if trying >= cancelsAtOnce {
			return
		}
		if p.trying || time.Now().Before(p.due) {
			continue
		}
		p.trying = true
		trying++
		go func() { ended <- attemptedCancel{request: p.request, err: c.try(ctx, p.request)} }()
	}
}

// settle takes in the end of a try.
func (c *canceller) settle(pending map[string]*cancellation, e attemptedCancel) {
	p := pending[e.request]
	if e.err != nil {
		c.log.WithError(e.err).WithField("Request", e.request).Warn("cancel not confirmed")
		p.trying, p.due = false, time.Now().Add(cancelPause)
		return
	}
	delete(pending, e.request)
	if p.confirmed != nil {
		p.confirmed()
	}
}

func (c *canceller) try(ctx context.Context, request string) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	return c.engine.Cancel(ctx, request)
}
