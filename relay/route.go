package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"ebonyreel/document"
)

// document returns the document in force, or nil where none is known, and when it came
// into force. A process that has just started waits for it during a part of its caller's
// time.
func (r *Relay) document(ctx context.Context, c *Call) (*document.Document, time.Time) {
	if d, since := r.fleet.DocumentInForce(); d != nil {
		return d, since
	}
	wait := documentWait
	if c.Timeout > 0 {
		wait = min(wait, c.Timeout/documentWaitDivisor)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		changed := r.fleet.Changed()
		if d, since := r.fleet.DocumentInForce(); d != nil {
			return d, since
		}
		select {
		case <-ctx.Done():
			return nil, time.Time{}
		case <-t.C:
			return nil, time.Time{}
		case <-changed:
		}
	}
}

// pickShare returns the name of a pool, drawn at random by the weights of a route.
func pickShare(shares []document.Share) string {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	n := rand.IntN(max(total, 1))
	for _, s := range shares {
		if n -= s.Weight; n < 0 {
			return s.Name
		}
	}
	return ""
}
