package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	"ebonyreel/controls"
)

// healthCheckDelay is the time within which a load balancer that checks once a
// second sees two failed checks, after which it sends no new connections.
const healthCheckDelay = 2500 * time.Millisecond

// Gate reports whether an entry accepts calls for routes. Such an entry goes on
// serving with its current document while control is unreachable.
type Gate struct {
	view *controls.View
	log  *logrus.Entry
	// draining is true from the start of a planned stop.
	draining atomic.Bool
}

// NewGate returns a gate that is ready once the view has a document.
func NewGate(v *controls.View, log *logrus.Entry) *Gate {
	return &Gate{view: v, log: log}
}

// Ready reports whether the entry accepts new connections: it has a document and no
// planned stop has begun.
func (g *Gate) Ready() bool {
	return !g.draining.Load() && g.view.Document() != nil
}

// ServeReady answers the health check of a load balancer: 200 if the entry is
// ready, 503 otherwise.
func (g *Gate) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "unready", http.StatusServiceUnavailable)
	}
}

// Draining reports whether a planned stop has begun, so that callers are
// asked to open new connections.
func (g *Gate) Draining() bool {
	return g.draining.Load()
}

// Stop makes the entry unready and returns once the load balancer has noticed, or
// when the context ends.
func (g *Gate) Stop(ctx context.Context) {
	g.draining.Store(true)
	g.log.Info("unready")
	clock.Sleep(ctx, healthCheckDelay)
}
