// Package effort estimates what requests are likely to cost the model engines that serve
// them, and how slow each engine is at its work, from what the system sees. It has no clock
// and does no I/O. A wrong estimate costs somebody a turn or a faster engine, never a
// promise.
package effort

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Work is what a request is likely to cost.
type Work struct {
	// Tokens is what the request reads and makes.
	Tokens float64
	// Memory is the engine memory that it takes, in tokens, over the tokens that it makes:
	// an engine does others' work in the rest of it.
	Memory float64
}

// Output is the distribution of the length of an answer, log-normal and cut off at Max.
type Output struct {
	LogMedian float64
	Deviation float64
	// Max is zero for no limit.
	Max int
}

// mean returns the mean length, in tokens. It is well above the median where lengths vary
// much: the long answers are what engines are busy with.
func (o Output) mean() float64 {
	out := math.Exp(o.LogMedian + o.Deviation*o.Deviation/2)
	if o.Max > 0 {
		out = min(out, float64(o.Max))
	}
	return out
}

// Estimate returns the work of a request with a prompt of some tokens.
func Estimate(promptTokens int, o Output) Work {
	prompt, output := float64(max(promptTokens, 0)), o.mean()
	return Work{Tokens: prompt + output, Memory: (prompt + output/2) * output}
}

const (
	// paceWeight is the weight of one report in the moving mean of an engine's pace.
	paceWeight = 0.4
	// paceMemory is the time constant with which an engine's pace is forgotten, so that one
	// that has got no work for being slow is tried again.
	paceMemory = 5 * time.Second
	// minPaces is the number of engines that must be known before one counts as slow.
	minPaces = 3
	// noticeable is the slowness that is told from a busy batch.
	noticeable = 1.2
)

// Paces are the paces at which engines make tokens, in time a token, learned from their
// streams. The zero value knows none.
type Paces struct {
	// engines is keyed by the name of the engine.
	engines map[string]pace
	// median is that of all engines as of medianAt.
	median   time.Duration
	medianAt time.Time
}

type pace struct {
	mean time.Duration
	at   time.Time
}

// Observe takes the time a token of one stream at an engine.
func (p *Paces) Observe(engine string, perToken time.Duration, now time.Time) {
	if perToken <= 0 {
		return
	}
	if p.engines == nil {
		p.engines = map[string]pace{}
	}
	old, known := p.engines[engine]
	if !known {
		p.engines[engine] = pace{mean: perToken, at: now}
		return
	}
	p.engines[engine] = pace{mean: old.mean + time.Duration(paceWeight*float64(perToken-old.mean)), at: now}
}

// Forget drops the engines that are not among those named.
func (p *Paces) Forget(known map[string]bool) {
	for name := range p.engines {
		if !known[name] {
			delete(p.engines, name)
		}
	}
}

// Slowness returns how many times as long an engine takes for a token as half of the others
// do at most; 1 where it is not known to be slow. It approaches 1 with the time since the
// engine was last observed.
func (p *Paces) Slowness(engine string, now time.Time) float64 {
	e, known := p.engines[engine]
	if !known || len(p.engines) < minPaces {
		return 1
	}
	if now.Sub(p.medianAt) > paceMemory/50 {
		p.median, p.medianAt = p.medianOf(), now
	}
	ratio := float64(e.mean) / float64(max(p.median, 1))
	if ratio < noticeable {
		return 1
	}
	return 1 + (ratio-1)*math.Exp(-float64(max(now.Sub(e.at), 0))/float64(paceMemory))
}

func (p *Paces) medianOf() time.Duration {
	all := make([]time.Duration, 0, len(p.engines))
	for _, e := range p.engines {
		all = append(all, e.mean)
	}
	slices.SortFunc(all, cmp.Compare[time.Duration])
	return all[len(all)/2]
}
