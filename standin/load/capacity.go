package main

import (
	"context"
	"time"

	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// Capacity is the size and speed of the stand-in engines.
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
	// evictionWait is the time after which every result that was not used has
	// been thrown away and reported.
	evictionWait = 2 * time.Second
	// counterTimeout bounds the reading of one engine's counters.
	counterTimeout = 2 * time.Second
)

// bound is the highest rate of a stream's requests that the engines could
// serve, were they never idle: the lower one of the prefill engines' speed and
// the decode engines' speed with full memory. Memory counts as held during the
// transfer and the decode only.
func (c Capacity) bound(s Stream) float64 {
	if s.Model == "" || c.PieceTokens == 0 {
		return 0
	}
	return min(c.prefillBound(s), c.decodeBound(s))
}

func (c Capacity) prefillBound(s Stream) float64 {
	return float64(c.PrefillEngines) * c.PrefillTokensPerSecond / s.meanPrompt()
}

func (c Capacity) decodeBound(s Stream) float64 {
	running := float64(c.MemoryPieces) / c.meanPieces(s)
	step := (c.StepMicroseconds + running*c.StepPerRequestMicroseconds) / microsecondsPerSecond
	transfer := s.meanPrompt() * c.BytesPerToken / c.LinkBytesPerSecond
	return float64(c.DecodeEngines) * running / (transfer + tokens.MeanSteps(s.MaxTokens)*step)
}

func (s Stream) meanPrompt() float64 {
	return float64(s.PromptTokens[0]+s.PromptTokens[1]) / 2
}

// meanPieces is the mean memory of a request with its longest answer.
func (c Capacity) meanPieces(s Stream) float64 {
	sum, n := 0, 0
	for p := s.PromptTokens[0]; p <= s.PromptTokens[1]; p++ {
		sum += (p + s.MaxTokens + c.PieceTokens - 1) / c.PieceTokens
		n++
	}
	return float64(sum) / float64(n)
}

// rate is the calls per second of a stream.
func (p Plan) rate(s Stream) float64 {
	if s.RatePerSecond > 0 {
		return s.RatePerSecond
	}
	return s.CapacityShare * p.Capacity.bound(s)
}

// end is when the last call of a stream may be sent, in seconds.
func (p Plan) end(s Stream) float64 {
	if s.ToSeconds > 0 {
		return min(s.ToSeconds, p.Seconds)
	}
	return p.Seconds
}

// counts reports whether a call sent at this time counts.
func (p Plan) counts(at time.Duration) bool {
	return at.Seconds() >= p.WarmupSeconds && at.Seconds() <= p.Seconds-p.CooldownSeconds
}

// counted is the length of the time whose calls count, in seconds.
func (p Plan) counted() float64 {
	return p.Seconds - p.WarmupSeconds - p.CooldownSeconds
}

// wastedPrefill reads the engines' counters and returns the share of prefill
// work whose result was thrown away, or -1 when one of them does not answer.
func (p Plan) wastedPrefill() float64 {
	if len(p.PrefillEngines) == 0 {
		return 0
	}
	time.Sleep(evictionWait)
	var all, wasted float64
	for _, a := range p.PrefillEngines {
		ctx, cancel := context.WithTimeout(context.Background(), counterTimeout)
		l, err := engines.NewClient(a).Load(ctx)
		cancel()
		if err != nil {
			return -1
		}
		all += float64(l.PrefillTokens)
		wasted += float64(l.WastedTokens)
	}
	return quotient(wasted, all)
}
