// Package workload measures the work that pools of model engines get and how fast
// they do it. Each entry records its own calls in a Recorder and reports them to
// control, which merges the reports of all entries and returns the merged estimate,
// so that all entries know what the fleet has measured. No estimate starts from an
// assumed speed: a measure without samples is unknown.
package workload

import (
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// fasterWeight and slowerWeight are the weights of a prefill whose time per
	// token is below or above the moving mean. Slower ones count less, as they have
	// waited at the engine.
	fasterWeight = 0.3
	slowerWeight = 0.02
	// startWeight is the weight of one request in the moving mean of the time to the
	// first event.
	startWeight = 0.1
	// decodeWindow is the number of events over which the time per output token
	// extends.
	decodeWindow = 512
	// demandWindow is the time constant of the moving rate of arrivals.
	demandWindow = 4 * time.Second
	// mergedLifetime is how long a merged estimate is preferred to the entry's own
	// after it was received.
	mergedLifetime = 10 * time.Second
)

// Recorder records the work of the calls of one entry. The zero value is empty. It
// is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// pools is keyed by the name of the pool.
	pools map[string]*poolRecord
}

// poolRecord is what a Recorder keeps of one pool.
type poolRecord struct {
	// demand holds arrivals, each decayed by its age, as of demandAt; since is when
	// the record began.
	demand   controlv1.PoolDemand
	demandAt time.Time
	since    time.Time
	// own is the entry's own estimate, and decodeSeconds and decodeTokens the sums
	// behind its decode time.
	own           *controlv1.PoolEstimate
	decodeSeconds float64
	decodeTokens  float64
	// merged is the newest estimate of the fleet, or nil, received at mergedAt.
	merged   *controlv1.PoolEstimate
	mergedAt time.Time
}

func (r *Recorder) pool(name string) *poolRecord {
	if r.pools == nil {
		r.pools = map[string]*poolRecord{}
	}
	p := r.pools[name]
	if p == nil {
		now := time.Now()
		p = &poolRecord{own: &controlv1.PoolEstimate{Pool: name, Lengths: &controlv1.LengthStatistics{}}, since: now, demandAt: now}
		r.pools[name] = p
	}
	return p
}

// Arrived records a call that asks for engine memory: the tokens of its prompt, the
// fraction of an engine's memory that it reserves, and the length of the answer that
// its caller expects, in tokens.
func (r *Recorder) Arrived(pool string, promptTokens int, memory float64, expected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(pool)
	p.decayDemand(time.Now())
	p.demand.PromptTokens += float64(promptTokens)
	p.demand.Memory += memory
	p.demand.MemoryTokens += memory * meanLength(p.estimate().GetLengths(), expected)
}

// decayDemand ages the demand to now.
func (p *poolRecord) decayDemand(now time.Time) {
	f := math.Exp(-now.Sub(p.demandAt).Seconds() / demandWindow.Seconds())
	p.demand.PromptTokens *= f
	p.demand.Memory *= f
	p.demand.MemoryTokens *= f
	p.demandAt = now
}

// Prefilled records the time that an engine took to prefill a prompt.
func (r *Recorder) Prefilled(pool string, promptTokens int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.pool(pool).own
	e.PrefillWeight++
	perToken := took.Seconds() / float64(max(promptTokens, 1))
	switch old := e.GetPrefillSecondsPerToken(); {
	case old == 0:
		e.PrefillSecondsPerToken = perToken
	case perToken < old:
		e.PrefillSecondsPerToken += fasterWeight * (perToken - old)
	default:
		e.PrefillSecondsPerToken += slowerWeight * (perToken - old)
	}
}

// Decoded records the time between two events of a stream, the later of which holds
// some tokens.
func (r *Recorder) Decoded(pool string, tokens int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(pool)
	p.own.DecodeWeight++
	keep := 1 - 1/min(p.own.GetDecodeWeight(), decodeWindow)
	p.decodeSeconds = p.decodeSeconds*keep + took.Seconds()
	p.decodeTokens = p.decodeTokens*keep + float64(tokens)
	p.own.DecodeSecondsPerToken = p.decodeSeconds / p.decodeTokens
}

// Started records the time from the reservation of memory to the first event of a
// stream.
func (r *Recorder) Started(pool string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.pool(pool).own
	e.StartWeight++
	e.StartSeconds += (took.Seconds() - e.GetStartSeconds()) * max(startWeight, 1/e.GetStartWeight())
}

// Answered records the length of a complete answer and the length that its caller
// expected, in tokens.
func (r *Recorder) Answered(pool string, expected, actual int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observe(r.pool(pool).own.GetLengths(), expected, actual)
}

// Reports returns the report of each pool.
func (r *Recorder) Reports() []*controlv1.PoolReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []*controlv1.PoolReport
	for name, p := range r.pools {
		p.decayDemand(now)
		// While the record is younger than the window, the sum covers less time.
		covered := demandWindow.Seconds() * (1 - math.Exp(-now.Sub(p.since).Seconds()/demandWindow.Seconds()))
		if covered <= 0 {
			continue
		}
		out = append(out, &controlv1.PoolReport{
			Pool: name, Estimate: proto.CloneOf(p.own),
			Demand: &controlv1.PoolDemand{
				PromptTokens: p.demand.GetPromptTokens() / covered, Memory: p.demand.GetMemory() / covered, MemoryTokens: p.demand.GetMemoryTokens() / covered,
			},
		})
	}
	return out
}

// Adopt replaces the merged estimates of the pools that it is given.
func (r *Recorder) Adopt(estimates []*controlv1.PoolEstimate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range estimates {
		p := r.pool(e.GetPool())
		p.merged, p.mergedAt = e, time.Now()
	}
}

// estimate returns the estimate to use: that of the fleet, or the entry's own where
// control has not sent one lately.
func (p *poolRecord) estimate() *controlv1.PoolEstimate {
	if p.merged != nil && (time.Since(p.mergedAt) < mergedLifetime || p.own.GetDecodeWeight() == 0) {
		return p.merged
	}
	return p.own
}

// StartLatency returns the expected time from the reservation of memory to the first
// event of a stream; zero where it is unknown.
func (r *Recorder) StartLatency(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Seconds(r.pool(pool).estimate().GetStartSeconds())
}

// LengthBound returns the length that nine of ten answers keep within of which
// callers expect a length, in tokens.
func (r *Recorder) LengthBound(pool string, expected int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.pool(pool).estimate().GetLengths()
	if s.GetObserved() < minLengths {
		return int(defaultLengthFactor * float64(expected))
	}
	return lengthAt(s, expected, coverDeviations)
}

// Seconds converts a number of seconds, as estimates hold it.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
