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
	quantileStep = 0.02
	// timeoutTolerance is the relative difference up to which a timeout counts as
	// the typical one.
	timeoutTolerance = 0.05
	// maxTrackedRoutes bounds the number of routes kept; beyond it, all are
	// discarded.
	maxTrackedRoutes = 4096
)

// retryDetector tells calls that their callers retry from new ones: the timeout
// that a caller declares shrinks each time that it sends the call. It follows a
// quantile of the timeouts of each route by stochastic approximation. The zero value
// knows no route. It is safe for concurrent use.
type retryDetector struct {
	mu sync.Mutex
	// typicalTimeout is the moving quantile of timeouts, by route.
	typicalTimeout map[string]time.Duration
}

// sinceFirstArrival returns the estimated time since a call with a timeout first
// arrived; zero for a new call, and for one without a timeout. It also adds the
// timeout to the route's quantile.
func (d *retryDetector) sinceFirstArrival(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	typical, ok := d.typicalTimeout[route]
	if !ok {
		d.setTypical(route, timeout)
		return 0
	}
	step := quantileStep * float64(typical)
	tolerance := time.Duration(timeoutTolerance * float64(typical))
	switch {
	case timeout > typical+tolerance:
		d.typicalTimeout[route] = typical + time.Duration(step*timeoutQuantile)
	case timeout < typical-tolerance:
		d.typicalTimeout[route] = typical - time.Duration(step*(1-timeoutQuantile))
		return typical - timeout
	}
	return 0
}

func (d *retryDetector) setTypical(route string, timeout time.Duration) {
	if d.typicalTimeout == nil || len(d.typicalTimeout) >= maxTrackedRoutes {
		d.typicalTimeout = map[string]time.Duration{}
	}
	d.typicalTimeout[route] = timeout
}
