package relay

import (
	"math"
	"sync"
)

const (
	// lengthWindow is the number of answers over which the statistics extend.
	lengthWindow = 256
	// minLengths is the number of answers needed before the statistics are used.
	// Until then estimates are defaultLengthFactor times what callers expect, as half
	// of them expect too little.
	minLengths          = 10
	defaultLengthFactor = 1.5
	// coverDeviations is how far above the median an estimate is, in standard
	// deviations: nine of ten answers keep within it. One that does not may be
	// preempted, and its prompt is computed again.
	coverDeviations = 1.3
)

// lengthEstimator estimates the length of the answers of a pool from what callers
// expect, by a linear regression of logarithms with exponential forgetting:
// expectations err by a factor, and extreme ones err more. The zero value has
// no observations. It is safe for concurrent use.
type lengthEstimator struct {
	mu sync.Mutex
	// observed is the number of answers observed.
	observed int
	// meanExpected and meanActual are the means of the logarithms of the expected
	// and actual lengths. The other three are their variances and covariance.
	meanExpected, meanActual, varExpected, covariance, varActual float64
}

// observe adds the expected and actual length of an answer, in tokens. Answers
// without either are ignored.
func (e *lengthEstimator) observe(expected, actual int) {
	if expected <= 0 || actual <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed++
	weight := 1 / float64(min(e.observed, lengthWindow))
	dx, dy := math.Log(float64(expected))-e.meanExpected, math.Log(float64(actual))-e.meanActual
	e.meanExpected += weight * dx
	e.meanActual += weight * dy
	e.varExpected = (1 - weight) * (e.varExpected + weight*dx*dx)
	e.covariance = (1 - weight) * (e.covariance + weight*dx*dy)
	e.varActual = (1 - weight) * (e.varActual + weight*dy*dy)
}

// estimate returns the length that nine of ten answers keep within, in tokens.
func (e *lengthEstimator) estimate(expected int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.observed < minLengths {
		return int(defaultLengthFactor * float64(expected))
	}
	slope := 0.0
	if e.varExpected > 0 {
		slope = e.covariance / e.varExpected
	}
	median := e.meanActual + slope*(math.Log(float64(max(expected, 1)))-e.meanExpected)
	deviation := math.Sqrt(max(e.varActual-slope*e.covariance, 0))
	return int(math.Exp(median + coverDeviations*deviation))
}
