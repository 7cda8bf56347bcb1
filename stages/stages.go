// Package stages decides how many engines of a pool prefill and how many decode.
// An engine's stage is its role, prefill or decode. Package control uses it to
// balance the pools. It has no clock and does no I/O.
package stages

import (
	"math"
	"slices"
)

const (
	// minEnginesPerStage is the number of engines that stay in each stage, so that
	// the stage survives the loss of one.
	minEnginesPerStage = 2
	// minTotalUse is the total use, in engines, below which the use says nothing
	// about the right proportion of the stages.
	minTotalUse = 0.5
	// prefillReserve is added to the size of the prefill stage, in engines, as
	// prompts arrive in bursts.
	prefillReserve = 0.5
	// prefillGrowUse is the use per prefill engine above which the prefill stage
	// may grow.
	prefillGrowUse = 0.8
	// prefillShrinkUse is the use per remaining prefill engine below which the
	// prefill stage may shrink. The margin avoids moving an engine back, which
	// takes seconds.
	prefillShrinkUse = 0.75
	// minChanging is the number of engines that may change from decode to prefill at
	// the same time even while the decode stage has none to spare, and
	// changingFraction the same as a fraction of the pool.
	minChanging      = 2
	changingFraction = 1.0 / 16
)

// Stage is the kind of work that an engine does.
type Stage int

// The stages.
const (
	Prefill Stage = iota
	Decode
)

// Engine is an engine that takes work.
type Engine struct {
	Stage Stage
	// Wanted is the stage that the engine was last ordered to take. It differs
	// from Stage only while the engine changes its stage.
	Wanted Stage
}

// Use is the work in each stage of a pool, in engines that it keeps busy. It may
// exceed the number of engines.
type Use struct {
	Prefill float64
	Decode  float64
	// Unsettled is true while little is known of the work, so that the use is likely
	// to change soon.
	Unsettled bool
}

// Plan returns the indices of the engines that should change to the other stage, in
// order, and none where the division is right. It divides the engines between the
// stages in proportion to their use, so that both stages reach their capacity at the
// same load. All engines that are to decode change at once, as the prefill engines
// that remain do its work. No more engines leave the decode stage at the same time
// than its use leaves idle, or a small fraction of the pool. While the use is unsettled,
// half of the engines change: each change takes one away for seconds, and is lost if
// the engine has to change back.
func Plan(engines []Engine, u Use) []int {
	var out []int
	engines = slices.Clone(engines)
	for {
		i, ok := next(engines, u)
		if !ok {
			break
		}
		engines[i].Wanted = otherStage(engines[i].Stage)
		out = append(out, i)
	}
	if u.Unsettled {
		out = out[:(len(out)+1)/2]
	}
	return out
}

func otherStage(s Stage) Stage {
	if s == Prefill {
		return Decode
	}
	return Prefill
}

// next returns the index of one engine that should change to the other stage, or
// false if none should.
func next(engines []Engine, u Use) (int, bool) {
	prefillEngines, decoding, leavingDecode := 0, 0, 0
	for _, e := range engines {
		if e.Wanted == Prefill {
			prefillEngines++
		}
		switch {
		case e.Stage == Decode && e.Wanted == Decode:
			decoding++
		case e.Stage == Decode:
			leavingDecode++
		}
	}
	if u.Prefill+u.Decode < minTotalUse || len(engines) < 2*minEnginesPerStage+1 {
		return 0, false
	}
	share := u.Prefill / (u.Prefill + u.Decode)
	target := int(math.Ceil(share*float64(len(engines)) + prefillReserve))
	target = min(max(target, minEnginesPerStage), len(engines)-minEnginesPerStage)
	switch {
	case prefillEngines > target && math.Min(u.Prefill, share*float64(len(engines))) < prefillShrinkUse*float64(prefillEngines-1):
		return lastEngineIn(engines, Prefill)
	case prefillEngines < target && u.Prefill > prefillGrowUse*float64(prefillEngines) && leavingDecode < maxLeavingDecode(len(engines), decoding+leavingDecode, u):
		return lastEngineIn(engines, Decode)
	}
	return 0, false
}

// maxLeavingDecode returns the number of engines that may leave the decode stage at
// the same time. decoding counts the engines of the stage, and those that leave it.
func maxLeavingDecode(engines, decoding int, u Use) int {
	spare := float64(decoding) - u.Decode
	return int(max(minChanging, changingFraction*float64(engines), spare))
}

// lastEngineIn returns the index of the last engine that is in a stage and was
// not ordered to leave it, or false if there is none.
func lastEngineIn(engines []Engine, s Stage) (int, bool) {
	for i := len(engines) - 1; i >= 0; i-- {
		if engines[i].Stage == s && engines[i].Wanted == s {
			return i, true
		}
	}
	return 0, false
}
