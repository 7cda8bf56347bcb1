package allocation

import "math"

// Length is the distribution of the length of an answer: log-normal, cut off at Max.
type Length struct {
	// LogMedian is the logarithm of the median, in tokens, and Deviation the standard
	// deviation of the logarithm; zero means that the length is certain.
	LogMedian float64
	Deviation float64
	// Max is the longest answer, in tokens; zero means that there is no limit.
	Max int
}

// exceeds returns the probability that an answer has more than some tokens.
func (l Length) exceeds(tokens float64) float64 {
	switch {
	case tokens <= 0:
		return 1
	case l.Max > 0 && tokens >= float64(l.Max):
		return 0
	case l.Deviation <= 0:
		if math.Log(tokens) < l.LogMedian {
			return 1
		}
		return 0
	}
	return math.Erfc((math.Log(tokens)-l.LogMedian)/(l.Deviation*math.Sqrt2)) / 2
}
