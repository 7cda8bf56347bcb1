package allocation

import (
	"math"
	"time"
)

const (
	// horizons is the number of points in time at which the use of an engine's memory
	// is forecast, and horizonsPerRun how many of them an ordinary run lasts.
	horizons       = 10
	horizonsPerRun = 5
	// riskDeviations is how far above its mean the forecast use must stay within the
	// memory, in standard deviations: 2.3 is a chance of 1 in 100 at each point that
	// the engine has to preempt a run.
	riskDeviations = 2.3
	// forecastLifetime is how long a forecast is used while an engine's runs are the
	// same.
	forecastLifetime = 50 * time.Millisecond
)

// forecast is the expected use of memory at each horizon, in tokens.
type forecast struct {
	mean     [horizons]float64
	variance [horizons]float64
}

// add adds the use of one run. made is the number of tokens that it has generated,
// and step the tokens that it generates between two horizons.
func (f *forecast) add(promptTokens int, l Length, made, step float64) {
	alive := max(l.exceeds(made), math.SmallestNonzeroFloat64)
	if l.Max > 0 {
		made = min(made, float64(l.Max))
	}
	for k := range horizons {
		size := max(made+float64(k)*step, 0)
		p := 1.0
		if k > 0 {
			p = min(l.exceeds(size)/alive, 1)
		}
		total := float64(promptTokens) + size
		f.mean[k] += p * total
		f.variance[k] += p * (1 - p) * total * total
	}
}

// peak returns the largest use of two forecasts together that the risk allows, in
// tokens.
func (f *forecast) peak(g *forecast) float64 {
	out := 0.0
	for k := range horizons {
		out = max(out, f.mean[k]+g.mean[k]+riskDeviations*math.Sqrt(f.variance[k]+g.variance[k]))
	}
	return out
}
