package entry

import (
	"sync"
	"time"
)

// estimateSmoothing is the weight of the newest measurement in the moving average.
const estimateSmoothing = 0.05

// prefillEstimator estimates prefill times from measured ones. The zero value
// estimates zero until the first measurement. It is safe for concurrent use.
type prefillEstimator struct {
	mu sync.Mutex
	// perToken is the exponential moving average of the prefill time of one
	// prompt token that was not cached.
	perToken time.Duration
}

// observe adds the measurement of a prefill that computed a number of tokens.
func (e *prefillEstimator) observe(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	t := took / time.Duration(tokens)
	if e.perToken == 0 {
		e.perToken = t
	}
	e.perToken += time.Duration(estimateSmoothing * float64(t-e.perToken))
}

// estimate returns the expected prefill time of a number of uncached tokens.
func (e *prefillEstimator) estimate(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(tokens) * e.perToken
}

// prefillEstimator returns the estimator of a model.
func (s *Server) prefillEstimator(model string) *prefillEstimator {
	e, _ := s.prefillEstimators.LoadOrStore(model, &prefillEstimator{})
	return e.(*prefillEstimator)
}
