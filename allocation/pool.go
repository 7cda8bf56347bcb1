// Package allocation decides which waiting request gets the memory of which model
// engine, for all entries together. A Pool knows the engines of one pool, the runs
// that were granted memory there and the requests that wait. It has no clock and
// does no I/O. Its grants are advice: an engine's own reservation decides, and an
// engine that refuses one is avoided for a while.
package allocation

import (
	"math"
	"slices"
	"time"

	"ebonyreel/effort"
	"ebonyreel/stages"
)

const (
	// refusedBackoff is how long an engine that refused a reservation is avoided. An
	// engine frees memory every few tens of milliseconds.
	refusedBackoff = 100 * time.Millisecond
	// failedBackoff is how long an engine is avoided that a run could not reach or
	// that broke it. The time doubles with each failure in a row, up to
	// maxFailedBackoff.
	failedBackoff    = 250 * time.Millisecond
	maxFailedBackoff = 4 * time.Second
	// maxPrefillWait is the longest backlog of a prefill engine with which requests
	// are granted memory. Longer ones would hold memory that others can use.
	maxPrefillWait = 300 * time.Millisecond
	// sampleSize bounds the engines compared for one request.
	sampleSize = 48
	// earmarkedFraction bounds the engines kept for large requests that fit nowhere,
	// as a fraction of the decode engines.
	earmarkedFraction = 0.125
	// otherDomainCost is added to the load of an engine in another failure domain, as
	// a fraction of its memory, and otherDomainDelay to the backlog of a prefill
	// engine there.
	otherDomainCost  = 0.03
	otherDomainDelay = 10 * time.Millisecond
	// noPrefillCost is added to the load of an engine that has to compute the prompt
	// itself, between the tokens of its runs, while engines of other versions do not.
	noPrefillCost = 0.25
	// slownessCost is added to the load of an engine for each time of the usual that it
	// takes longer for a token, as a fraction of its memory.
	slownessCost = 0.5
	// maxBlocked bounds the requests that are tried without success in one round.
	maxBlocked = 32
)

// Engine is a model engine that takes new work.
type Engine struct {
	Name          string
	FailureDomain string
	Stage         stages.Stage
	// Version is that of the engine's software.
	Version string
}

// Speeds are the measured speeds of a pool's engines.
type Speeds struct {
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// Start is the time from the grant of memory to the first event.
	Start time.Duration
}

// Request is a request for the memory of an engine.
type Request struct {
	ID string
	// Owner is the entry that serves the request.
	Owner         string
	FailureDomain string
	PromptTokens  int
	Output        Length
	// Arrived is when the request first asked for memory, OnTimeUntil the latest
	// grant that meets its latency target, and AbandonAt the latest one before its
	// caller gives up.
	Arrived     time.Time
	OnTimeUntil time.Time
	AbandonAt   time.Time
	// Priority is 0 for the most urgent.
	Priority int
	// Started is true for a stream whose caller has received events. It goes on only at
	// engines of Version.
	Started bool
	Version string
	// Prefill is true where a prefill engine computes the prompt.
	Prefill bool
	// Excluded are engines that must not decode the request.
	Excluded []string
	// Account is the name of the client account; empty for none. Accounts share the grants
	// by their weights; zero counts as one.
	Account string
	Weight  float64
	// work is what the request is likely to cost.
	work effort.Work
}

// Grant is the memory of an engine that a request may reserve.
type Grant struct {
	Request *Request
	Decode  string
	// Prefill is the engine that should compute the prompt; empty for none.
	Prefill string
	// Tokens is the memory to reserve: that of the prompt. The forecast leaves room
	// for the answer, and engines keep what is reserved from other runs.
	Tokens int
}

// Pool holds the engines, runs and waiting requests of one pool. The zero value is
// empty. It is not safe for concurrent use.
type Pool struct {
	// Memory is the memory of an engine in tokens, and Slots the number of requests
	// that it runs at once.
	Memory int
	Slots  int
	// TypicalOutput is the length of a typical answer, in tokens.
	TypicalOutput float64
	Speeds        Speeds
	// LearnPaces is true where engines are chosen by their paces too.
	LearnPaces bool

	engines map[string]*engineState
	// decoding and prefilling are the names of the engines of each stage, sorted.
	decoding   []string
	prefilling []string
	// runs is keyed by the ID of the request.
	runs    map[string]*run
	waiting Queue
	// scan is where the next sample of decode engines starts.
	scan int
	// paces are those of the decode engines.
	paces effort.Paces
}

type engineState struct {
	Engine
	// avoidUntil is until when the engine gets no new run, and failures how often it
	// failed in a row.
	avoidUntil time.Time
	failures   int
	// runs is keyed by the ID of the request.
	runs map[string]*run
	// forecast is that of the runs as of forecastAt; the zero time means that it is
	// outdated.
	forecast   forecast
	forecastAt time.Time
	// backlog is the work of the engine in the prefill stage.
	backlog backlog
}

// run is a request that was granted memory.
type run struct {
	id     string
	owner  string
	engine string
	// prefill is the engine that computes the prompt; empty for none, or once it has.
	prefill      string
	promptTokens int
	output       Length
	grantedAt    time.Time
}

// SetEngines replaces the engines that take new work. Runs at others stay known.
func (p *Pool) SetEngines(engines []Engine) {
	p.decoding, p.prefilling = nil, nil
	known := map[string]bool{}
	for _, e := range engines {
		s := p.engine(e.Name)
		if s.Stage != e.Stage {
			s.backlog, s.forecastAt = backlog{}, time.Time{}
		}
		s.Engine = e
		known[e.Name] = true
		if e.Stage == stages.Prefill {
			p.prefilling = append(p.prefilling, e.Name)
		} else {
			p.decoding = append(p.decoding, e.Name)
		}
	}
	slices.Sort(p.decoding)
	slices.Sort(p.prefilling)
	p.paces.Forget(known)
	for name, s := range p.engines {
		if !known[name] && len(s.runs) == 0 {
			delete(p.engines, name)
		}
	}
}

func (p *Pool) engine(name string) *engineState {
	if p.engines == nil {
		p.engines, p.runs = map[string]*engineState{}, map[string]*run{}
	}
	s := p.engines[name]
	if s == nil {
		s = &engineState{Engine: Engine{Name: name}, runs: map[string]*run{}}
		p.engines[name] = s
	}
	return s
}

// Enqueue adds a request that waits.
func (p *Pool) Enqueue(r *Request) {
	p.waiting.Add(r)
}

// Withdraw removes a request, whether it waits or runs.
func (p *Pool) Withdraw(id string) {
	p.waiting.Remove(id)
	p.removeRun(id)
}

// Refused tells that an engine refused the reservation of a granted request.
func (p *Pool) Refused(id, engine string, now time.Time) {
	p.removeRun(id)
	if s := p.engines[engine]; s != nil {
		s.avoidUntil = later(s.avoidUntil, now.Add(refusedBackoff))
	}
}

// Ended tells that a run has ended. failed means that its engine could not be
// reached or broke it.
func (p *Pool) Ended(id string, failed bool, now time.Time) {
	if r := p.runs[id]; r != nil {
		s := p.engines[r.engine]
		if failed {
			s.avoidUntil = later(s.avoidUntil, now.Add(min(failedBackoff<<min(s.failures, 8), maxFailedBackoff)))
			s.failures++
		} else {
			s.failures = 0
		}
	}
	p.Withdraw(id)
}

// Prefilled tells that the prefill of a run has ended.
func (p *Pool) Prefilled(id string, failed bool, now time.Time) {
	r := p.runs[id]
	if r == nil || r.prefill == "" {
		return
	}
	s := p.engine(r.prefill)
	s.backlog.done(id, !failed, now)
	if failed {
		s.avoidUntil = later(s.avoidUntil, now.Add(failedBackoff))
	}
	r.prefill = ""
}

// PrefillPerToken returns the mean time per prompt token that the prefill engines
// have shown, without the time that prompts waited; zero where it is unknown.
func (p *Pool) PrefillPerToken() time.Duration {
	sum, n := time.Duration(0), 0
	for _, name := range p.prefilling {
		if t := p.engines[name].backlog.perToken(); t > 0 {
			sum, n = sum+t, n+1
		}
	}
	return sum / time.Duration(max(n, 1))
}

func (p *Pool) removeRun(id string) {
	if r := p.runs[id]; r != nil {
		if r.prefill != "" {
			p.engine(r.prefill).backlog.drop(id)
		}
		s := p.engines[r.engine]
		delete(s.runs, id)
		delete(p.runs, id)
		s.forecastAt = time.Time{}
	}
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int {
	return p.waiting.Len()
}

// Decide grants memory to waiting requests, in their order, and refuses those that
// would be granted none before their callers give up. Both leave the queue.
func (p *Pool) Decide(now time.Time) (grants []Grant, refused []*Request) {
	blocked := map[string]bool{}
	earmarked := map[string]bool{}
	maxEarmarked := int(math.Ceil(earmarkedFraction * float64(len(p.decoding))))
	for len(blocked) < maxBlocked {
		r := p.waiting.Next(now, blocked)
		if r == nil {
			break
		}
		g, best := p.place(r, earmarked, now)
		if g == nil {
			blocked[r.ID] = true
			if best != "" && len(earmarked) < maxEarmarked {
				earmarked[best] = true
			}
			continue
		}
		p.waiting.Admit(r, now)
		p.waiting.Granted(now)
		grants = append(grants, *g)
	}
	return grants, p.waiting.RefuseLate(now)
}

// place grants memory to a request, or returns the name of the engine that will
// first have room for it; empty where there is none.
func (p *Pool) place(r *Request, earmarked map[string]bool, now time.Time) (*Grant, string) {
	prefills := p.leastBacklogs(r, now)
	var own forecast
	own.add(r.PromptTokens, r.Output, -p.tokensIn(p.Speeds.Start), p.stepTokens())
	var best, blockedBest *engineState
	least, blockedLeast := math.Inf(1), math.Inf(1)
	n := len(p.decoding)
	for i := range min(n, sampleSize) {
		s := p.engines[p.decoding[(p.scan+i)%n]]
		prefill := prefills[s.Version]
		if earmarked[s.Name] || now.Before(s.avoidUntil) || !r.mayDecodeAt(s.Engine) || prefill.wait > maxPrefillWait {
			continue
		}
		load := p.forecastOf(s, now).peak(&own) / float64(max(p.Memory, 1))
		if s.FailureDomain != r.FailureDomain {
			load += otherDomainCost
		}
		if prefill.engine == "" && len(prefills) > 0 {
			load += noPrefillCost
		}
		fits := load <= 1 || len(s.runs) == 0
		if p.LearnPaces {
			// A slow engine is chosen last, and has as much room as the others.
			load += slownessCost * (p.paces.Slowness(s.Name, now) - 1)
		}
		switch {
		case (!fits || len(s.runs) >= p.Slots) && load < blockedLeast:
			blockedBest, blockedLeast = s, load
		case fits && len(s.runs) < p.Slots && load < least:
			best, least = s, load
		}
	}
	if n > sampleSize {
		p.scan = (p.scan + sampleSize) % n
	}
	if best == nil {
		if blockedBest == nil {
			return nil, ""
		}
		return nil, blockedBest.Name
	}
	prefill := prefills[best.Version].engine
	if prefill != "" {
		p.engines[prefill].backlog.add(r.ID, r.PromptTokens, now)
	}
	p.addRun(&run{id: r.ID, owner: r.Owner, engine: best.Name, prefill: prefill, promptTokens: r.PromptTokens, output: r.Output, grantedAt: now})
	return &Grant{Request: r, Decode: best.Name, Prefill: prefill, Tokens: r.PromptTokens}, ""
}

// mayDecodeAt reports whether an engine may decode a request.
func (r *Request) mayDecodeAt(e Engine) bool {
	return (!r.Started || e.Version == r.Version) && !slices.Contains(r.Excluded, e.Name)
}

// prefillChoice is the prefill engine that would compute a prompt first, and how long it
// would take to begin.
type prefillChoice struct {
	engine string
	wait   time.Duration
}

// leastBacklogs returns the choice among the prefill engines of each version, as an engine
// decodes only what one of its own version has computed. It is empty where no prefill
// engine computes the prompt of the request.
func (p *Pool) leastBacklogs(r *Request, now time.Time) map[string]prefillChoice {
	out := map[string]prefillChoice{}
	if !r.Prefill {
		return out
	}
	for _, name := range p.prefilling {
		s := p.engines[name]
		wait := s.backlog.wait(p.Speeds.PrefillPerToken, now)
		if now.Before(s.avoidUntil) {
			wait = max(wait, s.avoidUntil.Sub(now))
		}
		if s.FailureDomain != r.FailureDomain {
			wait += otherDomainDelay
		}
		if best, ok := out[s.Version]; !ok || wait < best.wait {
			out[s.Version] = prefillChoice{engine: name, wait: wait}
		}
	}
	return out
}

func (p *Pool) addRun(r *run) {
	s := p.engine(r.engine)
	p.runs[r.id], s.runs[r.id] = r, r
	s.forecastAt = time.Time{}
}

// forecastOf returns the forecast of an engine's runs.
func (p *Pool) forecastOf(s *engineState, now time.Time) *forecast {
	if !s.forecastAt.IsZero() && now.Sub(s.forecastAt) < forecastLifetime {
		return &s.forecast
	}
	s.forecast, s.forecastAt = forecast{}, now
	step := p.stepTokens()
	for _, r := range s.runs {
		s.forecast.add(r.promptTokens, r.output, p.tokensIn(now.Sub(r.grantedAt)-p.Speeds.Start), step)
	}
	return &s.forecast
}

// stepTokens returns the tokens that a run generates between two horizons.
func (p *Pool) stepTokens() float64 {
	return max(p.TypicalOutput, 1) / horizonsPerRun
}

// tokensIn returns the tokens that a run generates in some time.
func (p *Pool) tokensIn(d time.Duration) float64 {
	return d.Seconds() / max(p.Speeds.DecodePerToken.Seconds(), math.SmallestNonzeroFloat64)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
