package entry

import (
	"context"
	"net/http"
	"time"

	"ebonyreel/clock"
)

const (
	// balancerDelay is how long the platform's load balancer takes to notice
	// that an entry is unready.
	balancerDelay     = 2 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

// Ready answers the health check of the load balancer: 200 while the entry accepts
// calls, 503 otherwise.
func (s *Server) Ready(w http.ResponseWriter, _ *http.Request) {
	if s.unready.Load() || !s.announcer.MayAcceptWork(time.Now()) {
		http.Error(w, "unready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop performs a planned stop. It makes the entry unready, waits until the load
// balancer has noticed, refuses new calls, and returns when no call is in flight
// or the context ends. Calls in flight have no time limit.
func (s *Server) Stop(ctx context.Context) {
	s.unready.Store(true)
	s.log.Info("unready")
	clock.Sleep(ctx, balancerDelay)
	s.closed.Store(true)
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollInterval)
	}
	s.log.Info("drained")
}

// InFlight returns the number of calls in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}
