package relay

import (
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// quicker and slower are the weights of a prefill that took less or more
	// time for a token than the running figure: what takes more has waited.
	quicker = 0.3
	slower  = 0.02
	// usualPerOutput is the time that an engine takes for an output token, until
	// some have been seen, and outputWeight the weight of one request in it.
	usualPerOutput = 5 * time.Millisecond
	outputWeight   = 0.05
)

// use is what this entry's calls took of a pool of engines since the last
// report.
type use struct {
	// perToken is the time that a prefill engine takes for a token.
	perToken time.Duration
	// perOutput is the time between two output tokens.
	perOutput time.Duration
	// prefill and decode are in engines times seconds.
	prefill float64
	decode  float64
	since   time.Time
}

func (t *tracker) use(pool string) *use {
	if t.uses == nil {
		t.uses = map[string]*use{}
	}
	if t.uses[pool] == nil {
		t.uses[pool] = &use{since: time.Now(), perOutput: usualPerOutput}
	}
	return t.uses[pool]
}

// prefilled notes a prefill.
func (t *tracker) prefilled(pool string, tokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.use(pool)
	each := took / time.Duration(max(tokens, 1))
	switch {
	case u.perToken == 0:
		u.perToken = each
	case each < u.perToken:
		u.perToken += time.Duration(quicker * float64(each-u.perToken))
	default:
		u.perToken += time.Duration(slower * float64(each-u.perToken))
	}
	u.prefill += u.perToken.Seconds() * float64(tokens)
}

// reserved notes that a request takes a part of an engine until it has made its
// output. It counts from the start, as prefills do.
func (t *tracker) reserved(pool string, part float64, output int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.use(pool)
	u.decode += part * u.perOutput.Seconds() * float64(output)
}

// decoded notes a request that made its output.
func (t *tracker) decoded(pool string, output int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.use(pool)
	u.perOutput += time.Duration(outputWeight * float64(took/time.Duration(max(output, 1))-u.perOutput))
}

// Uses returns what this entry's calls took of each pool of engines since the
// last call, in engines kept busy.
func (r *Relay) Uses() []*controlv1.PoolUse {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	var out []*controlv1.PoolUse
	now := time.Now()
	for pool, u := range r.tracker.uses {
		if passed := now.Sub(u.since).Seconds(); passed > 0 {
			out = append(out, &controlv1.PoolUse{Pool: pool, Prefill: u.prefill / passed, Decode: u.decode / passed})
		}
		u.prefill, u.decode, u.since = 0, 0, now
	}
	return out
}
