package workload

import (
	"cmp"
	"math"
	"slices"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// maxSampleWeight bounds the weight of one entry's measure, in samples.
	maxSampleWeight = 64
	// maxDemandRatio bounds the demand that one entry reports, in multiples of the
	// mean of the others, where at least minCappedReports entries report.
	maxDemandRatio   = 4
	minCappedReports = 4
)

// Merge merges the newest reports of all entries on one pool. Each measure is the
// weighted median of the entries' measures, so that entries with less than half of
// the weight can't move it beyond what another entry measured. The demand is the
// sum, in which one entry counts at most maxDemandRatio times the mean of the others.
func Merge(pool string, reports []*controlv1.PoolReport) (*controlv1.PoolDemand, *controlv1.PoolEstimate) {
	e := &controlv1.PoolEstimate{Pool: pool}
	e.PrefillSecondsPerToken, e.PrefillWeight = weightedMedian(reports, func(e *controlv1.PoolEstimate) (float64, float64) {
		return e.GetPrefillSecondsPerToken(), e.GetPrefillWeight()
	})
	e.DecodeSecondsPerToken, e.DecodeWeight = weightedMedian(reports, func(e *controlv1.PoolEstimate) (float64, float64) {
		return e.GetDecodeSecondsPerToken(), e.GetDecodeWeight()
	})
	e.StartSeconds, e.StartWeight = weightedMedian(reports, func(e *controlv1.PoolEstimate) (float64, float64) {
		return e.GetStartSeconds(), e.GetStartWeight()
	})
	e.Lengths = mergeLengths(reports)
	return &controlv1.PoolDemand{
		PromptTokens: cappedSum(reports, (*controlv1.PoolDemand).GetPromptTokens),
		Memory:       cappedSum(reports, (*controlv1.PoolDemand).GetMemory),
		MemoryTokens: cappedSum(reports, (*controlv1.PoolDemand).GetMemoryTokens),
	}, e
}

func mergeLengths(reports []*controlv1.PoolReport) *controlv1.LengthStatistics {
	out := &controlv1.LengthStatistics{}
	for _, r := range reports {
		out.Observed += r.GetEstimate().GetLengths().GetObserved()
	}
	moment := func(get func(*controlv1.LengthStatistics) float64) float64 {
		m, _ := weightedMedian(reports, func(e *controlv1.PoolEstimate) (float64, float64) {
			return get(e.GetLengths()), float64(e.GetLengths().GetObserved())
		})
		return m
	}
	out.MeanExpected = moment((*controlv1.LengthStatistics).GetMeanExpected)
	out.MeanActual = moment((*controlv1.LengthStatistics).GetMeanActual)
	out.VarExpected = moment((*controlv1.LengthStatistics).GetVarExpected)
	out.Covariance = moment((*controlv1.LengthStatistics).GetCovariance)
	out.VarActual = moment((*controlv1.LengthStatistics).GetVarActual)
	return out
}

// weightedMedian returns the weighted median of one measure and the sum of its
// weights, each at most maxSampleWeight. Both are zero where it is unknown.
func weightedMedian(reports []*controlv1.PoolReport, get func(*controlv1.PoolEstimate) (value, weight float64)) (median, total float64) {
	type sample struct{ value, weight float64 }
	var samples []sample
	for _, r := range reports {
		value, weight := get(r.GetEstimate())
		if weight > 0 && finite(value) {
			weight = min(weight, maxSampleWeight)
			samples, total = append(samples, sample{value, weight}), total+weight
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	below := 0.0
	for _, s := range samples {
		if below += s.weight; below >= total/2 {
			return s.value, total
		}
	}
	return 0, 0
}

// cappedSum returns the sum of one component of the demand.
func cappedSum(reports []*controlv1.PoolReport, get func(*controlv1.PoolDemand) float64) float64 {
	sum := 0.0
	var values []float64
	for _, r := range reports {
		v := get(r.GetDemand())
		if !finite(v) || v < 0 {
			v = 0
		}
		values, sum = append(values, v), sum+v
	}
	if len(values) < minCappedReports {
		return sum
	}
	capped := 0.0
	for _, v := range values {
		others := (sum - v) / float64(len(values)-1)
		if others > 0 {
			v = min(v, maxDemandRatio*others)
		}
		capped += v
	}
	return capped
}

// Settled reports whether as many answers have ended as runs are in flight. Before
// that the known lengths are mostly those of short answers.
func Settled(e *controlv1.PoolEstimate, reports []*controlv1.PoolReport) bool {
	inFlight := 0
	for _, r := range reports {
		inFlight += len(r.GetRuns())
	}
	return e.GetLengths().GetObserved() >= uint64(inFlight)
}

func finite(v float64) bool {
	return !math.IsNaN(v) && !math.IsInf(v, 0)
}

// Engines returns the number of engines that a demand keeps busy in each stage, and
// whether the estimate is known.
func Engines(d *controlv1.PoolDemand, e *controlv1.PoolEstimate) (prefill, decode float64, ok bool) {
	prefill = d.GetPromptTokens() * e.GetPrefillSecondsPerToken()
	decode = d.GetMemoryTokens()*e.GetDecodeSecondsPerToken() + d.GetMemory()*e.GetStartSeconds()
	return prefill, decode, e.GetPrefillWeight() > 0 && e.GetDecodeWeight() > 0
}
