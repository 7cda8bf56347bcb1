package main

import (
	"context"
	"time"

	"ebonyreel/answers"
	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// Capacity is the number, size and speed of the stand-in engines: PrefillEngines
// and DecodeEngines count them, and the other fields are settings of each engine.
type Capacity struct {
	PrefillEngines             int
	DecodeEngines              int
	PrefillTokensPerSecond     float64
	MemoryPieces               int
	PieceTokens                int
	StepMicroseconds           float64
	StepPerRequestMicroseconds float64
	LinkBytesPerSecond         float64
	BytesPerToken              float64
}

const (
	microsecondsPerSecond = 1e6
	// evictionWait is the time until every unused prefill result has been evicted
	// and counted in a load report.
	evictionWait = 2 * time.Second
	// counterTimeout bounds the reading of one engine's counters.
	counterTimeout = 2 * time.Second
)

// bound returns the highest rate in requests per second of a stream that the
// engines could serve if they were never idle: the lower one of the rates of the
// prefill engines and of the decode engines with full memory. Memory counts as used
// during the transfer and the decode only. It is zero for a service.
func (c Capacity) bound(s Stream) float64 {
	if s.Model == "" || c.PieceTokens == 0 {
		return 0
	}
	return min(c.prefillBound(s), c.decodeBound(s))
}

func (c Capacity) prefillBound(s Stream) float64 {
	return float64(c.PrefillEngines) * c.PrefillTokensPerSecond / s.meanPromptTokens()
}

func (c Capacity) decodeBound(s Stream) float64 {
	running := float64(c.MemoryPieces) / c.meanPieces(s)
	stepSeconds := (c.StepMicroseconds + running*c.StepPerRequestMicroseconds) / microsecondsPerSecond
	transferSeconds := s.meanPromptTokens() * c.BytesPerToken / c.LinkBytesPerSecond
	return float64(c.DecodeEngines) * running / (transferSeconds + tokens.MeanSteps(s.MaxTokens)*stepSeconds)
}

func (s Stream) meanPromptTokens() float64 {
	return float64(s.PromptTokens[0]+s.PromptTokens[1]) / 2
}

// meanPieces returns the mean memory in pieces of a request whose answer has
// MaxTokens tokens.
func (c Capacity) meanPieces(s Stream) float64 {
	sum, n := 0, 0
	for p := s.PromptTokens[0]; p <= s.PromptTokens[1]; p++ {
		sum += (p + s.MaxTokens + c.PieceTokens - 1) / c.PieceTokens
		n++
	}
	return float64(sum) / float64(n)
}

// rate returns the calls per second of a stream.
func (p Plan) rate(s Stream) float64 {
	if s.RatePerSecond > 0 {
		return s.RatePerSecond
	}
	return s.CapacityShare * p.Capacity.bound(s)
}

// endSeconds returns the time in seconds until which calls of a stream are sent.
func (p Plan) endSeconds(s Stream) float64 {
	if s.ToSeconds > 0 {
		return min(s.ToSeconds, p.Seconds)
	}
	return p.Seconds
}

// isMeasured reports whether a call sent at this offset from the start is measured,
// being neither in the warm-up nor in the cool-down.
func (p Plan) isMeasured(offset time.Duration) bool {
	return offset.Seconds() >= p.WarmupSeconds && offset.Seconds() <= p.Seconds-p.CooldownSeconds
}

func (p Plan) measuredSeconds() float64 {
	return p.Seconds - p.WarmupSeconds - p.CooldownSeconds
}

// wastedPrefill reads the prefill engines' counters and returns the share of
// computed tokens whose result was discarded. It returns -1 when an engine does not
// answer.
func (p Plan) wastedPrefill() float64 {
	if len(p.PrefillEngines) == 0 {
		return 0
	}
	time.Sleep(evictionWait)
	var total, wasted float64
	for _, a := range p.PrefillEngines {
		ctx, cancel := context.WithTimeout(context.Background(), counterTimeout)
		l, err := engines.NewClient(a, &answers.Budget{}).Load(ctx)
		cancel()
		if err != nil {
			return -1
		}
		total += float64(l.PrefillTokens)
		wasted += float64(l.WastedTokens)
	}
	return quotient(wasted, total)
}
