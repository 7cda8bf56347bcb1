package workload

import (
	"math"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// lengthWindow is the number of answers over which the statistics extend.
	lengthWindow = 256
	// minLengths is the number of answers needed before the statistics are used.
	// Until then estimates are defaultLengthFactor times what callers expect, as half
	// of them expect too little.
	minLengths          = 10
	defaultLengthFactor = 1.5
	// coverDeviations is how far above the median a bound is, in standard
	// deviations: nine of ten answers keep within it.
	coverDeviations = 1.3
	// maxLogLength bounds the logarithm of an estimated length, so that the length
	// fits an int32.
	maxLogLength = 16
)

// observe adds the expected and actual length of an answer to the statistics, by a
// linear regression of logarithms with exponential forgetting: expectations err by
// a factor, and extreme ones err more. Answers without either are ignored.
func observe(s *controlv1.LengthStatistics, expected, actual int) {
	if expected <= 0 || actual <= 0 {
		return
	}
	s.Observed++
	weight := 1 / float64(min(s.GetObserved(), lengthWindow))
	dx, dy := math.Log(float64(expected))-s.GetMeanExpected(), math.Log(float64(actual))-s.GetMeanActual()
	s.MeanExpected += weight * dx
	s.MeanActual += weight * dy
	s.VarExpected = (1 - weight) * (s.GetVarExpected() + weight*dx*dx)
	s.Covariance = (1 - weight) * (s.GetCovariance() + weight*dx*dy)
	s.VarActual = (1 - weight) * (s.GetVarActual() + weight*dy*dy)
}

// lengthAt returns the length that an answer keeps within, in tokens, for a number
// of standard deviations above the median.
func lengthAt(s *controlv1.LengthStatistics, expected int, deviations float64) int {
	median, deviation := logLength(s, expected)
	return int(math.Exp(min(median+deviations*deviation, maxLogLength)))
}

// meanLength returns the mean length of answers of which callers expect a length, in
// tokens.
func meanLength(s *controlv1.LengthStatistics, expected int) float64 {
	if s.GetObserved() < minLengths {
		return float64(expected)
	}
	median, deviation := logLength(s, expected)
	return math.Exp(min(median+deviation*deviation/2, maxLogLength))
}

// LogLength returns the median of the logarithm of the length of answers of which
// callers expect a length, in tokens, and its standard deviation. While too few
// answers are known, the length counts as certain.
func LogLength(s *controlv1.LengthStatistics, expected int) (median, deviation float64) {
	if s.GetObserved() < minLengths {
		return math.Log(defaultLengthFactor * float64(max(expected, 1))), 0
	}
	return logLength(s, expected)
}

// TypicalLength returns the median length of answers, in tokens; zero where it is
// unknown.
func TypicalLength(s *controlv1.LengthStatistics) float64 {
	if s.GetObserved() == 0 {
		return 0
	}
	return math.Exp(min(s.GetMeanActual(), maxLogLength))
}

// logLength returns the median of the logarithm of the actual length, and its
// standard deviation.
func logLength(s *controlv1.LengthStatistics, expected int) (median, deviation float64) {
	slope := 0.0
	if s.GetVarExpected() > 0 {
		slope = s.GetCovariance() / s.GetVarExpected()
	}
	median = s.GetMeanActual() + slope*(math.Log(float64(max(expected, 1)))-s.GetMeanExpected())
	return median, math.Sqrt(max(s.GetVarActual()-slope*s.GetCovariance(), 0))
}
