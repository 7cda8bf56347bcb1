package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
)

// Allocator grants the memory of engines to the requests of all entries. Its grants
// are advice: the reservation at the engine decides.
type Allocator interface {
	// Acquire waits until a request is granted memory or refused. Any error but that of
	// the context means that the allocator is not available.
	Acquire(ctx context.Context, r *controlv1.AcquireRequest) (*controlv1.AcquireResponse, error)
	// Release tells that a run has ended. failed means that its engine could not be
	// reached or broke it.
	Release(pool, id string, failed bool)
	// Prefilled tells that the prefill of a run has ended.
	Prefilled(pool, id string, failed bool)
}

// runTable holds the runs for which memory is reserved. The zero value is empty. It
// is safe for concurrent use.
type runTable struct {
	mu sync.Mutex
	// runs is keyed by the ID of the run.
	runs map[string]poolRun
	// last is the number of the last run.
	last uint64
}

// poolRun is one run and its pool.
type poolRun struct {
	pool       string
	run        *controlv1.PoolRun
	reservedAt time.Time
	// perToken is the time that the engine took for a token lately.
	perToken time.Duration
}

// nextID returns an ID for a run of a call, unique among all entries.
func (t *runTable) nextID(call string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	return fmt.Sprint(call, "-", t.last)
}

func (t *runTable) add(pool string, run *controlv1.PoolRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = map[string]poolRun{}
	}
	t.runs[run.GetId()] = poolRun{pool: pool, run: run, reservedAt: time.Now()}
}

// flowed takes the time a token of the newest event of a run.
func (t *runTable) flowed(id string, perToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.runs[id]; ok {
		r.perToken = movingMean(r.perToken, perToken)
		t.runs[id] = r
	}
}

func (t *runTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, id)
}

// byPool returns the runs of each pool.
func (t *runTable) byPool() map[string][]*controlv1.PoolRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string][]*controlv1.PoolRun{}
	for _, r := range t.runs {
		out[r.pool] = append(out[r.pool], &controlv1.PoolRun{
			Id: r.run.GetId(), Engine: r.run.GetEngine(), PromptTokens: r.run.GetPromptTokens(),
			ExpectedOutput: r.run.GetExpectedOutput(), MaxOutput: r.run.GetMaxOutput(), Age: durationpb.New(time.Since(r.reservedAt)),
			SecondsPerToken: r.perToken.Seconds(),
		})
	}
	return out
}

// Reports returns what this entry has measured of each pool, and its runs there.
func (r *Relay) Reports() []*controlv1.PoolReport {
	out, runs := r.workload.Reports(), r.runs.byPool()
	for _, p := range out {
		p.Runs = runs[p.GetPool()]
	}
	return out
}

// Adopt takes the estimates that control merged from the reports of all entries.
func (r *Relay) Adopt(estimates []*controlv1.PoolEstimate) {
	r.workload.Adopt(estimates)
}

// newRun returns a run of a call without an engine.
func (r *Relay) newRun(cs *callState) *controlv1.PoolRun {
	return &controlv1.PoolRun{
		Id: r.runs.nextID(cs.call.ID), PromptTokens: uint32(cs.call.Prompt.Tokens),
		ExpectedOutput: uint32(cs.expectedOutput()), MaxOutput: uint32(cs.call.Prompt.MaxOutput),
	}
}

// allocate reserves the memory that the allocator grants. The error is a
// *QueueTimeoutError where it refuses the request, and any other where it is not
// available.
func (r *Relay) allocate(ctx context.Context, cs *callState, onTimeUntil, abandonAt time.Time) (reservation, error) {
	start, run := time.Now(), r.newRun(cs)
	in := &controlv1.AcquireRequest{
		Pool: cs.pool.Name, Run: run, Priority: int32(cs.route.Priority),
		Prefill: cs.prefills == 0 && r.retryAccountOf(cs.pool.Name).canHold(time.Now(), r.budget, r.fleet.Entries()),
		Account: cs.account.Name,
	}
	if cs.origin != nil {
		in.Started, in.Version = true, cs.origin.GetVersion()
	}
	for {
		members := r.members(cs)
		in.Excluded = r.tracker.closed(members, time.Now(), r.fleet.Entries)
		for name := range cs.attempted {
			in.Excluded = append(in.Excluded, name)
		}
		run.Age = durationpb.New(time.Since(start))
		in.OnTimeLeft = durationpb.New(time.Until(onTimeUntil))
		in.AbandonLeft = durationpb.New(time.Until(abandonAt))
		res, err := r.allocator.Acquire(ctx, in)
		switch {
		case ctx.Err() != nil:
			// A grant may have crossed the end of the context.
			r.allocator.Release(cs.pool.Name, run.GetId(), false)
			return reservation{}, &QueueTimeoutError{Waited: time.Since(start)}
		case err != nil:
			return reservation{}, err
		case res.GetState() != controlv1.AcquireState_ACQUIRE_STATE_GRANTED:
			return reservation{}, &QueueTimeoutError{Waited: time.Since(start)}
		}
		s, err := r.reserveGranted(ctx, cs, run, res)
		if err == nil {
			r.metrics.Queue.observe(cs.pool.Name, time.Since(start))
			return s, nil
		}
		in.RefusedBy = res.GetDecodeEngine()
	}
}

// reserveGranted reserves the granted memory at its engine.
func (r *Relay) reserveGranted(ctx context.Context, cs *callState, run *controlv1.PoolRun, res *controlv1.AcquireResponse) (reservation, error) {
	members := r.members(cs)
	i := slices.IndexFunc(members, func(e *controlv1.Endpoint) bool { return e.GetName() == res.GetDecodeEngine() })
	if i < 0 || !takesRole(members[i], controlv1.Role_ROLE_DECODE) {
		return reservation{}, &NoEndpointError{Pool: cs.pool.Name}
	}
	e, tokens := members[i], int(res.GetTokens())
	if len(r.tracker.closed(members[i:i+1], time.Now(), r.fleet.Entries)) > 0 {
		return reservation{}, &NotRunError{}
	}
	inFlight := r.tracker.begin(e, float64(tokens), r.fleet.Entries)
	id, err := r.reserveAt(ctx, cs, e, tokens)
	if err != nil {
		r.tracker.end(e, resultOf(ctx, err), 0, float64(tokens))
		return reservation{}, err
	}
	cs.recordChoice(controlv1.Role_ROLE_DECODE, len(members), e, inFlight)
	run.Engine = e.GetName()
	r.runs.add(cs.pool.Name, run)
	return reservation{endpoint: e, id: id, tokens: tokens, run: run.GetId(), prefillEngine: res.GetPrefillEngine()}, nil
}

// endPrefill ends the prefill of a reservation's run.
func (r *Relay) endPrefill(cs *callState, s reservation, failed bool) {
	if r.allocator != nil && s.prefillEngine != "" {
		r.allocator.Prefilled(cs.pool.Name, s.run, failed)
	}
}

// endRun ends the run of a reservation.
func (r *Relay) endRun(cs *callState, s reservation, failed bool) {
	r.runs.remove(s.run)
	if r.allocator != nil {
		r.allocator.Release(cs.pool.Name, s.run, failed)
	}
}
