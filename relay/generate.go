package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"ebonyreel/clock"
	"ebonyreel/decision"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// defaultOutputTokens is the output expected of a request that declares none.
	defaultOutputTokens = 512
	// maxReservationAttempts bounds the number of engines asked for memory each
	// time the queue admits a request.
	maxReservationAttempts = 3
	// fullRetryInterval is the time until memory is asked for again while all
	// engines are full: a batch frees memory every few tens of milliseconds.
	fullRetryInterval = 25 * time.Millisecond
	// minAbandonWait, abandonTargets and abandonGaps give the time after which
	// callers abandon a stream whose next event has not come: the longest of a
	// minimum and of multiples of the route's two latency targets.
	minAbandonWait = 2 * time.Second
	abandonTargets = 4
	abandonGaps    = 8
	// reserveTimeout bounds a call that reserves memory, and releaseTimeout the
	// calls that release a failed attempt's reservation and prefill result.
	reserveTimeout = 300 * time.Millisecond
	releaseTimeout = time.Second
)

// Handle identifies the result of a prefill.
type Handle struct {
	// At is the engine that keeps the result.
	At Endpoint
	ID string
}

// Engines makes the calls to model engines other than Send. The errors are those
// of Send, and a *NotRunError where an engine has no capacity left.
type Engines interface {
	// Prefill computes the prompt of a call.
	Prefill(ctx context.Context, c *Call, t Attempt) (Handle, error)
	// FreePrefill discards the result of a prefill.
	FreePrefill(ctx context.Context, h Handle) error
	// Reserve reserves a slot and memory for tokens. The reservation expires after ttl
	// unless a call uses it. Reserve returns its ID.
	Reserve(ctx context.Context, e Endpoint, tokens int, ttl time.Duration) (string, error)
	// CheckLifetime asks an engine whether it still runs in the lifetime of its record.
	CheckLifetime(ctx context.Context, e Endpoint) Lifetime
	// CheckListener checks whether anything accepts connections at an endpoint's address.
	CheckListener(ctx context.Context, e Endpoint) Lifetime
	// ReleaseReservation releases a reservation.
	ReleaseReservation(ctx context.Context, e Endpoint, id string) error
}

// reservation is a slot and memory reserved at an engine for one request.
type reservation struct {
	endpoint *controlv1.Endpoint
	// id is the ID that the engine gave the reservation.
	id string
	// tokens is the reserved memory.
	tokens int
	// run is the ID of the run that uses it, and prefillEngine the name of the engine
	// that should compute the prompt; empty for any.
	run           string
	prefillEngine string
}

// reservesMemory reports whether engine memory is reserved for a call before it
// is sent.
func (cs *callState) reservesMemory() bool {
	return cs.route.Generates && cs.pool.Engine.Slots > 0 && cs.call.Prompt.Tokens > 0
}

// memoryTokens returns the engine memory to reserve for a request, in tokens: the
// prompt, and an output that nine of ten answers keep within.
func (r *Relay) memoryTokens(cs *callState) int {
	p := cs.call.Prompt
	output := r.workload.LengthBound(cs.pool.Name, cs.expectedOutput())
	if p.MaxOutput > 0 {
		output = min(output, p.MaxOutput)
	}
	return p.Tokens + output
}

// recordLength records the length of a completed answer, for later estimates. A
// stream that its caller resumed is skipped, as only its end was seen.
func (r *Relay) recordLength(cs *callState) {
	if cs.call.LastEvent == "" {
		r.workload.Answered(cs.pool.Name, cs.expectedOutput(), cs.eventCount*cs.eventTokens())
	}
}

// eventTokens returns the number of tokens in one event of the call's stream.
func (cs *callState) eventTokens() int {
	return max(cs.pool.Engine.EventTokens, 1)
}

// expectedOutput returns the number of tokens that a request is expected to
// generate.
func (cs *callState) expectedOutput() int {
	p := cs.call.Prompt
	tokens := p.ExpectedOutput
	if tokens == 0 {
		tokens = defaultOutputTokens
	}
	if p.MaxOutput > 0 {
		tokens = min(tokens, p.MaxOutput)
	}
	return tokens
}

// generate makes one attempt at a model engine: it reserves memory at a decode
// engine, has a prefill engine compute the prompt, and then decodes the answer
// where the memory is reserved.
func (r *Relay) generate(ctx context.Context, cs *callState) error {
	r.recordDemand(cs)
	s, err := r.nextReservation(ctx, cs)
	if err != nil {
		return err
	}
	cs.run = s.run
	reserved := time.Now()
	defer r.metrics.memoryReserved(cs.pool.Name, s.tokens)()
	var t Attempt
	if b := cs.begun; b != nil {
		t = b.attempt
	} else if t, err = r.prepareAttempt(ctx, cs, s); err == nil {
		r.tracker.take(t.Endpoint.key(), r.fleet.Entries)
	}
	start := time.Now()
	var latency time.Duration
	if err == nil {
		latency, err = r.send(ctx, cs, t, start)
	}
	if latency > 0 {
		r.workload.Started(cs.pool.Name, start.Sub(reserved)+latency)
	}
	if err == nil {
		r.recordLength(cs)
	}
	if t.Source.ID != "" {
		r.metrics.promptPrefilled(cs.call.Prompt.Tokens, latency > 0)
	}
	r.endAttempt(ctx, cs, s, t, latency, err)
	return err
}

// endAttempt ends an attempt with reserved memory, which it releases after a failure.
func (r *Relay) endAttempt(ctx context.Context, cs *callState, s reservation, t Attempt, latency time.Duration, err error) {
	result := resultOf(ctx, err)
	r.tracker.end(s.endpoint, result, latency, float64(s.tokens))
	r.endRun(cs, s, result == resultFailed || result == resultUnreachable)
	if err != nil {
		r.recordFailure(cs, s.endpoint, err)
		go r.releaseMemory(t)
	}
}

// prepareAttempt returns an attempt with reserved memory, after the prompt was computed
// by a prefill engine where one is used. The error is a *CrashingPartError or a *KeyError.
func (r *Relay) prepareAttempt(ctx context.Context, cs *callState, s reservation) (Attempt, error) {
	var h Handle
	err := r.checkKey(cs)
	if err == nil {
		err = r.recheckParts(cs)
	}
	// A trial uses one engine only.
	if err == nil && cs.trial == nil && r.usesPrefillEngine(ctx, cs) {
		h = r.prefill(ctx, cs, s)
		r.endPrefill(cs, s, h.At.Name != s.prefillEngine)
		if err = r.checkKey(cs); err == nil {
			err = r.recheckParts(cs)
		}
	}
	t := r.newAttempt(cs, s.endpoint)
	t.Source, t.ReservationID = h, s.id
	return t, err
}

// recordDemand records a call as demand of its pool, once.
func (r *Relay) recordDemand(cs *callState) {
	if cs.demandRecorded {
		return
	}
	cs.demandRecorded = true
	memory := float64(r.memoryTokens(cs)) / float64(max(cs.pool.Engine.MemoryTokens, 1))
	r.workload.Arrived(cs.pool.Name, cs.call.Prompt.Tokens, memory, cs.expectedOutput())
}

// releaseMemory releases the reservation and the prefill result of a failed or
// cancelled attempt, as the endpoint may not have used them.
func (r *Relay) releaseMemory(t Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if t.ReservationID != "" {
		r.tracker.take(t.Endpoint.key(), r.fleet.Entries)
		if err := r.engines.ReleaseReservation(ctx, t.Endpoint, t.ReservationID); err != nil {
			r.log.WithError(err).WithField("Endpoint", t.Endpoint.Name).Debug("reservation not released, it will expire")
		}
	}
	if t.Source.ID != "" {
		r.tracker.take(t.Source.At.key(), r.fleet.Entries)
		if err := r.engines.FreePrefill(ctx, t.Source); err != nil {
			r.log.WithError(err).WithField("Endpoint", t.Source.At.Name).Debug("prefill result not freed, it will expire")
		}
	}
}

// nextReservation returns the reservation prepared for this attempt, or makes one.
func (r *Relay) nextReservation(ctx context.Context, cs *callState) (reservation, error) {
	if s := cs.prepared; s != nil {
		cs.prepared = nil
		return *s, nil
	}
	return r.reserve(ctx, cs, cs.memoryRequest())
}

// memoryRequest says how soon a request needs engine memory.
type memoryRequest struct {
	// lastSent is when the caller was last sent an event, or when its request
	// arrived.
	lastSent time.Time
	// dueBy is when the next event must be sent to meet the route's target.
	dueBy time.Time
}

// memoryRequest returns the request for the memory of the next attempt.
func (cs *callState) memoryRequest() memoryRequest {
	target := time.Duration(cs.route.Target)
	if cs.lastSent.IsZero() {
		return memoryRequest{lastSent: cs.call.Arrived, dueBy: cs.firstArrived.Add(target)}
	}
	return memoryRequest{lastSent: cs.lastSent, dueBy: cs.lastSent.Add(target)}
}

// reserve reserves memory that the allocator grants or, where it is not available,
// that an engine grants when it is asked. The error is a *QueueTimeoutError where no
// engine has memory before the caller gives up.
func (r *Relay) reserve(ctx context.Context, cs *callState, m memoryRequest) (reservation, error) {
	startLatency := r.workload.StartLatency(cs.pool.Name)
	onTimeUntil, abandonAt := m.dueBy.Add(-startLatency), cs.abandonTime(m.lastSent).Add(-startLatency)
	ctx, cancel := context.WithDeadline(ctx, abandonAt)
	defer cancel()
	if err := r.admissionError(cs, controlv1.Role_ROLE_DECODE); err != nil {
		return reservation{}, err
	}
	if r.allocator != nil && r.knowsAnotherEngine(cs) {
		s, err := r.allocate(ctx, cs, onTimeUntil, abandonAt)
		var queueTimeout *QueueTimeoutError
		if err == nil || errors.As(err, &queueTimeout) {
			return s, err
		}
	}
	return r.reserveDirectly(ctx, cs, onTimeUntil, abandonAt)
}

// knowsAnotherEngine reports whether an engine that was not attempted takes a request to
// decode. Control grants no other: without one, the request tries an attempted engine again
// or, where there is none at all, is refused at once.
func (r *Relay) knowsAnotherEngine(cs *callState) bool {
	return slices.ContainsFunc(r.members(cs), func(e *controlv1.Endpoint) bool {
		return takesRole(e, controlv1.Role_ROLE_DECODE) && !cs.attempted[e.GetName()]
	})
}

// reserveDirectly waits in this entry's queue of the pool until one of its engines
// grants memory. The error is a *QueueTimeoutError where the queue refuses the
// request, or none grants memory before the caller gives up.
func (r *Relay) reserveDirectly(ctx context.Context, cs *callState, onTimeUntil, abandonAt time.Time) (reservation, error) {
	q, start := r.queueOf(cs.pool.Name), time.Now()
	for {
		w := newWaiter(onTimeUntil, abandonAt, cs.route.Priority)
		w.Started, w.Account, w.PromptTokens = cs.origin != nil, cs.account.Name, cs.call.Prompt.Tokens
		if !q.acquire(ctx, w) {
			return reservation{}, &QueueTimeoutError{Waited: time.Since(start)}
		}
		s, err := r.tryReserve(ctx, cs)
		if err == nil {
			r.metrics.Queue.observe(cs.pool.Name, time.Since(start))
		}
		var notRun *NotRunError
		if errors.As(err, &notRun) {
			clock.Sleep(ctx, fullRetryInterval)
		}
		q.release(err == nil)
		if !errors.As(err, &notRun) {
			return s, err
		}
	}
}

// abandonTime returns when the caller gives up unless another event comes.
func (cs *callState) abandonTime(lastSent time.Time) time.Time {
	return lastSent.Add(max(minAbandonWait, abandonTargets*time.Duration(cs.route.Target), abandonGaps*time.Duration(cs.route.Gap)))
}

// tryReserve asks a few engines for memory, the least loaded first.
func (r *Relay) tryReserve(ctx context.Context, cs *callState) (reservation, error) {
	s := reservation{tokens: r.memoryTokens(cs)}
	asked := map[string]bool{}
	for name := range cs.attempted {
		asked[name] = true
	}
	var lastErr error
	members := r.members(cs)
	for range maxReservationAttempts {
		c := criteria{
			now: time.Now(), domain: r.domain, role: controlv1.Role_ROLE_DECODE, attempted: asked, weight: float64(s.tokens), entries: r.fleet.Entries,
		}
		e, inFlight := r.tracker.pick(members, c)
		if e == nil {
			return reservation{}, r.noEndpointError(cs.pool.Name, members, c)
		}
		id, err := r.reserveAt(ctx, cs, e, s.tokens)
		if err == nil {
			cs.recordChoice(controlv1.Role_ROLE_DECODE, len(members), e, inFlight)
			run := r.newRun(cs)
			run.Engine = e.GetName()
			r.runs.add(cs.pool.Name, run)
			s.endpoint, s.id, s.run = e, id, run.GetId()
			return s, nil
		}
		cs.record.Update(func(d *decision.Record) { d.Full++ })
		r.tracker.end(e, resultOf(ctx, err), 0, float64(s.tokens))
		asked[e.GetName()], lastErr = true, err
		if ctx.Err() != nil {
			break
		}
	}
	var notRun *NotRunError
	if !errors.As(lastErr, &notRun) {
		// An engine that can't be reached is no reason to give up: others may
		// free memory soon.
		lastErr = &NotRunError{}
	}
	return reservation{}, lastErr
}

func (r *Relay) reserveAt(ctx context.Context, cs *callState, e *controlv1.Endpoint, tokens int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.engines.Reserve(ctx, endpointOf(e), tokens, time.Duration(cs.pool.Engine.HoldLives))
}

func (r *Relay) queueOf(pool string) *queue {
	q, _ := r.queues.LoadOrStore(pool, &queue{})
	return q.(*queue)
}
