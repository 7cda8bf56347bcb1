package relay

import (
	"sync"
	"time"
)

const (
	// timeoutQuantile is the quantile of the timeouts of a route's callers that
	// counts as typical. Retries are few and have shorter timeouts, and a few
	// callers with unusual timeouts do not move it.
	timeoutQuantile = 0.6
	// quantileStep is the fraction of itself by which the quantile is corrected.
	quantileStep = 0.01
	// spreadQuantile is the quantile of how far timeouts lie above the typical one
	// that counts as their spread, and spreadStep the fraction of the typical one by
	// which it is corrected.
	spreadQuantile = 0.75
	spreadStep     = 0.004
	// minTolerance is the relative difference up to which a timeout counts as the
	// typical one at least, and spreadTolerance the same as a multiple of the spread.
	minTolerance    = 0.05
	spreadTolerance = 4
	// maxTrackedRoutes bounds the number of routes kept; beyond it, all are
	// discarded.
	maxTrackedRoutes = 4096
)

// retryDetector tells calls that their callers retry from new ones: the timeout
// that a caller declares shrinks each time that it sends the call. It follows a
// quantile of the timeouts of each route by stochastic approximation, and how far
// they lie above it, where no retries are. The zero value knows no route. It is safe
// for concurrent use.
type retryDetector struct {
	mu sync.Mutex
	// routes is keyed by route.
	routes map[string]*timeouts
}

// timeouts are the statistics of the timeouts of one route.
type timeouts struct {
	// typical is the moving quantile, and spread that of the differences of those that
	// are not much below it; none is negative.
	typical time.Duration
	spread  time.Duration
}

// sinceFirstArrival returns the estimated time since a call with a timeout first
// arrived; zero for a new call, and for one without a timeout. It also adds the
// timeout to the statistics of the route.
func (d *retryDetector) sinceFirstArrival(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.routes[route]
	if t == nil {
		d.add(route, timeout)
		return 0
	}
	since := time.Duration(0)
	if timeout < t.typical-t.tolerance() {
		since = t.typical - timeout
	}
	t.observe(timeout)
	return since
}

// tolerance returns how far below the typical timeout that of a new call may be.
func (t *timeouts) tolerance() time.Duration {
	return max(time.Duration(minTolerance*float64(t.typical)), spreadTolerance*t.spread)
}

func (t *timeouts) observe(timeout time.Duration) {
	if above := timeout - t.typical; above > -time.Duration(minTolerance*float64(t.typical)) {
		step := spreadStep * float64(t.typical)
		if above > t.spread {
			t.spread += time.Duration(step * spreadQuantile)
		} else {
			t.spread = max(t.spread-time.Duration(step*(1-spreadQuantile)), 0)
		}
	}
	step := quantileStep * float64(t.typical)
	switch {
	case timeout > t.typical:
		t.typical = min(t.typical+time.Duration(step*timeoutQuantile), timeout)
	case timeout < t.typical:
		t.typical = max(t.typical-time.Duration(step*(1-timeoutQuantile)), timeout)
	}
}

func (d *retryDetector) add(route string, timeout time.Duration) {
	if d.routes == nil || len(d.routes) >= maxTrackedRoutes {
		d.routes = map[string]*timeouts{}
	}
	d.routes[route] = &timeouts{typical: timeout}
}
