package relay

import (
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// fasterWeight and slowerWeight are the weights of a prefill whose time per
	// token is below or above the moving mean. Slower ones count less, as they have
	// waited at the engine.
	fasterWeight = 0.3
	slowerWeight = 0.02
	// defaultTimePerOutput is the time per output token assumed at first, and
	// outputWeight the weight of one request in the moving mean.
	defaultTimePerOutput = 5 * time.Millisecond
	outputWeight         = 0.05
)

// poolUse is the work that this entry's calls gave a pool of engines since the
// last report.
type poolUse struct {
	// prefillPerToken is the moving mean of the prefill time per prompt token.
	prefillPerToken time.Duration
	// timePerOutput is the moving mean of the time per expected output token.
	timePerOutput time.Duration
	// prefillBusy and decodeBusy are the engine time used, in engine-seconds.
	prefillBusy float64
	decodeBusy  float64
	since       time.Time
}

func (t *tracker) useOf(pool string) *poolUse {
	if t.uses == nil {
		t.uses = map[string]*poolUse{}
	}
	if t.uses[pool] == nil {
		t.uses[pool] = &poolUse{since: time.Now(), timePerOutput: defaultTimePerOutput}
	}
	return t.uses[pool]
}

// prefillEnded records a prefill.
func (t *tracker) prefillEnded(pool string, tokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.useOf(pool)
	perToken := took / time.Duration(max(tokens, 1))
	switch {
	case u.prefillPerToken == 0:
		u.prefillPerToken = perToken
	case perToken < u.prefillPerToken:
		u.prefillPerToken += time.Duration(fasterWeight * float64(perToken-u.prefillPerToken))
	default:
		u.prefillPerToken += time.Duration(slowerWeight * float64(perToken-u.prefillPerToken))
	}
	u.prefillBusy += u.prefillPerToken.Seconds() * float64(tokens)
}

// decodeStarted records a request that uses a fraction of an engine until its output
// is generated. output is the expected number of tokens. The whole expected time
// counts at the start, as that of a prefill counts at its end.
func (t *tracker) decodeStarted(pool string, fraction float64, output int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.useOf(pool)
	u.decodeBusy += fraction * u.timePerOutput.Seconds() * float64(output)
}

// decodeEnded records the time that a request took to generate its output. output is
// the expected number of tokens.
func (t *tracker) decodeEnded(pool string, output int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.useOf(pool)
	u.timePerOutput += time.Duration(outputWeight * float64(took/time.Duration(max(output, 1))-u.timePerOutput))
}

// PoolUses returns the mean number of engines that this entry's calls kept busy in
// each pool since the last call of PoolUses.
func (r *Relay) PoolUses() []*controlv1.PoolUse {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	var out []*controlv1.PoolUse
	now := time.Now()
	for pool, u := range r.tracker.uses {
		if elapsed := now.Sub(u.since).Seconds(); elapsed > 0 {
			out = append(out, &controlv1.PoolUse{Pool: pool, Prefill: u.prefillBusy / elapsed, Decode: u.decodeBusy / elapsed})
		}
		u.prefillBusy, u.decodeBusy, u.since = 0, 0, now
	}
	return out
}
