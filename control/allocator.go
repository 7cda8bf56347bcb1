package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"ebonyreel/allocation"
	"ebonyreel/clock"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
	"ebonyreel/workload"
)

const (
	// maxAcquireWait is how long a request waits in one call. Its entry then calls
	// again, so that neither side waits for long on a broken connection.
	maxAcquireWait = 500 * time.Millisecond
	// ticketLifetime is how long a request stays in the queue between two calls.
	ticketLifetime = 500 * time.Millisecond
	// decideInterval is the time between decisions while requests wait, and the least
	// time between two of a pool: a burst of requests costs no more decisions than
	// that.
	decideInterval = 10 * time.Millisecond
	// refreshInterval is how long the engines and speeds of a pool are used, and the
	// time between looks at the members' reports.
	refreshInterval = 100 * time.Millisecond
	// learnTime is how long a new leader learns the runs of all entries, which report
	// them once a second, before it grants memory.
	learnTime = 1500 * time.Millisecond
)

// NotLearnedError reports a leader that does not know the runs or the speeds of a
// pool yet.
type NotLearnedError struct {
	Pool string
}

func (e *NotLearnedError) Error() string {
	return "the runs or the speeds of pool " + e.Pool + " are not known yet"
}

// Allocator serves the allocation service while its host leads. The engines' own
// reservations decide; what the Allocator keeps is only in memory, and a new leader
// learns it from the entries' reports.
type Allocator struct {
	store       *Store
	environment string
	log         *logrus.Entry
	// learnPaces is true where engines are placed by their paces.
	learnPaces bool
	document   *loadedDocument
	quotas     quotas

	mu sync.Mutex
	// pools is keyed by the name of the pool.
	pools map[string]*allocationPool
	// leadsSince is when this host began to lead, as the time since boot with
	// suspensions included; zero while it does not lead.
	leadsSince time.Duration
	// reconciled is when each member's newest report was received that is reconciled,
	// keyed by member key.
	reconciled map[string]time.Time
	// reconciledAt is when reports were last looked through.
	reconciledAt time.Time
}

// allocationPool is a pool with the requests of which entries await decisions.
type allocationPool struct {
	allocation.Pool
	// tickets is keyed by the ID of the run.
	tickets   map[string]*ticket
	lengths   *controlv1.LengthStatistics
	refreshed time.Time
	// decidedAt is when decisions were last made.
	decidedAt time.Time
}

// ticket is one request that waits for a decision.
type ticket struct {
	// decided is closed once response or err is set.
	decided  chan struct{}
	response *controlv1.AcquireResponse
	err      error
	// waiters is the number of calls that wait, and lastCall when one last ended.
	waiters  int
	lastCall time.Time
}

// NewAllocator returns the allocation service of an environment. learnPaces makes it place
// streams by the paces of engines.
func NewAllocator(s *Store, environment string, learnPaces bool, log *logrus.Entry) *Allocator {
	d := &loadedDocument{store: s, environment: environment, log: log}
	return &Allocator{
		store: s, environment: environment, learnPaces: learnPaces, log: log, pools: map[string]*allocationPool{}, reconciled: map[string]time.Time{},
		document: d, quotas: quotas{store: s, environment: environment, log: log, document: d},
	}
}

// Run keeps the pools current until the context ends.
func (a *Allocator) Run(ctx context.Context) {
	clock.Every(ctx, decideInterval, func(time.Time) { a.update(time.Now()) })
}

func (a *Allocator) update(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.checkLeads() {
		return
	}
	if now.Sub(a.reconciledAt) >= refreshInterval {
		a.reconciledAt = now
		a.reconcile(now)
	}
	for name, p := range a.pools {
		for id, t := range p.tickets {
			if t.waiters == 0 && now.Sub(t.lastCall) > ticketLifetime {
				p.Withdraw(id)
				delete(p.tickets, id)
			}
		}
		if p.Waiting() > 0 {
			a.decide(name, p, now)
		}
	}
}

// checkLeads reports whether this host leads, and forgets everything once it does
// not.
func (a *Allocator) checkLeads() bool {
	st := a.store.Status()
	if st.Leads {
		if a.leadsSince == 0 {
			a.leadsSince = clock.SinceBoot()
		}
		return true
	}
	a.leadsSince = 0
	clear(a.reconciled)
	for name, p := range a.pools {
		for _, t := range p.tickets {
			t.end(nil, &NotLeaderError{Address: st.Address})
		}
		delete(a.pools, name)
	}
	return false
}

// reconcile takes over the runs of the members' reports that are new, and forgets
// the runs of members that no longer report.
func (a *Allocator) reconcile(now time.Time) {
	reports := a.store.reportsByMember(a.environment)
	for key, r := range reports {
		if !r.receivedAt.After(a.reconciled[key]) {
			continue
		}
		a.reconciled[key] = r.receivedAt
		for _, p := range r.pools {
			pool := a.pool(p.GetPool())
			var runs []allocation.Run
			for _, run := range p.GetRuns() {
				runs = append(runs, allocation.Run{
					ID: run.GetId(), Engine: run.GetEngine(), PromptTokens: int(run.GetPromptTokens()),
					Output: pool.outputOf(run), Age: run.GetAge().AsDuration(), PerToken: workload.Seconds(run.GetSecondsPerToken()),
				})
			}
			pool.Reconcile(key, runs, now)
		}
	}
	for key := range a.reconciled {
		if _, ok := reports[key]; !ok {
			delete(a.reconciled, key)
			for _, p := range a.pools {
				p.Forget(key)
			}
		}
	}
}

func (a *Allocator) pool(name string) *allocationPool {
	p := a.pools[name]
	if p == nil {
		p = &allocationPool{Pool: allocation.Pool{LearnPaces: a.learnPaces}, tickets: map[string]*ticket{}}
		a.pools[name] = p
	}
	return p
}

func (p *allocationPool) outputOf(r *controlv1.PoolRun) allocation.Length {
	median, deviation := workload.LogLength(p.lengths, int(r.GetExpectedOutput()))
	return allocation.Length{LogMedian: median, Deviation: deviation, Max: int(r.GetMaxOutput())}
}

// refresh updates the engines and speeds of a pool, and reports whether the speeds
// are known.
func (a *Allocator) refresh(name string, p *allocationPool, now time.Time) bool {
	if now.Sub(p.refreshed) < refreshInterval {
		return p.Speeds.DecodePerToken > 0
	}
	p.refreshed = now
	var engines []allocation.Engine
	for _, e := range a.store.engines(a.environment, name) {
		if wantedRole(e) != e.GetRole() {
			continue
		}
		engines = append(engines, allocation.Engine{Name: e.GetName(), FailureDomain: e.GetFailureDomain(), Stage: stageOf(e.GetRole()), Version: e.GetVersion()})
	}
	p.SetEngines(engines)
	estimate := a.store.estimate(a.environment, name)
	p.lengths = estimate.GetLengths()
	p.TypicalOutput = workload.TypicalLength(p.lengths)
	p.Speeds = allocation.Speeds{
		PrefillPerToken: workload.Seconds(estimate.GetPrefillSecondsPerToken()),
		DecodePerToken:  workload.Seconds(estimate.GetDecodeSecondsPerToken()),
		Start:           workload.Seconds(estimate.GetStartSeconds()),
	}
	if d, ok := a.documentPool(name); ok {
		p.Memory, p.Slots = d.Engine.MemoryTokens, d.Engine.Slots
	}
	return p.Speeds.DecodePerToken > 0 && p.Slots > 0
}

// documentPool returns a pool of the document in force.
func (a *Allocator) documentPool(name string) (document.Pool, bool) {
	d, _ := a.document.current()
	if d == nil {
		return document.Pool{}, false
	}
	return d.Pool(name)
}

// decide ends the tickets that are granted or refused, unless decisions were made just
// now: then Run makes the next ones.
func (a *Allocator) decide(name string, p *allocationPool, now time.Time) {
	if now.Sub(p.decidedAt) < decideInterval/2 || !a.refresh(name, p, now) {
		return
	}
	p.decidedAt = now
	grants, refused := p.Decide(now)
	for _, g := range grants {
		p.end(g.Request.ID, &controlv1.AcquireResponse{
			State: controlv1.AcquireState_ACQUIRE_STATE_GRANTED, DecodeEngine: g.Decode, PrefillEngine: g.Prefill, Tokens: uint32(g.Tokens),
		})
	}
	for _, r := range refused {
		p.end(r.ID, &controlv1.AcquireResponse{State: controlv1.AcquireState_ACQUIRE_STATE_REFUSED})
	}
}

func (p *allocationPool) end(id string, res *controlv1.AcquireResponse) {
	if t := p.tickets[id]; t != nil {
		t.end(res, nil)
	}
}

func (t *ticket) end(res *controlv1.AcquireResponse, err error) {
	select {
	case <-t.decided:
	default:
		t.response, t.err = res, err
		close(t.decided)
	}
}

// Acquire grants the memory of an engine to a request, refuses it, or answers after
// maxAcquireWait that it waits. A request whose call is cancelled leaves the queue.
func (a *Allocator) Acquire(ctx context.Context, r *connect.Request[controlv1.AcquireRequest]) (*connect.Response[controlv1.AcquireResponse], error) {
	t, err := a.enqueue(r.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	timer := time.NewTimer(maxAcquireWait)
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	res, err := a.leave(ctx, r.Msg, t)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res), nil
}

// enqueue adds a request to its pool, unless it waits there already, and makes the
// decisions that are due.
func (a *Allocator) enqueue(r *controlv1.AcquireRequest) (*ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.checkLeads() {
		return nil, &NotLeaderError{Address: a.store.Status().Address}
	}
	p, run := a.pool(r.GetPool()), r.GetRun()
	if !a.refresh(r.GetPool(), p, now) || clock.SinceBoot()-a.leadsSince < learnTime {
		return nil, &NotLearnedError{Pool: r.GetPool()}
	}
	if r.GetRefusedBy() != "" {
		p.Refused(run.GetId(), r.GetRefusedBy(), now)
	}
	t := p.tickets[run.GetId()]
	isNew := t == nil
	if isNew {
		t = &ticket{decided: make(chan struct{})}
		p.tickets[run.GetId()] = t
		p.Enqueue(&allocation.Request{
			ID: run.GetId(), Owner: state.MemberKey(a.environment, r.GetOwner()), FailureDomain: r.GetFailureDomain(),
			PromptTokens: int(run.GetPromptTokens()), Output: p.outputOf(run), Arrived: now.Add(-run.GetAge().AsDuration()),
			OnTimeUntil: now.Add(r.GetOnTimeLeft().AsDuration()), AbandonAt: now.Add(r.GetAbandonLeft().AsDuration()),
			Priority: int(r.GetPriority()), Started: r.GetStarted(), Version: r.GetVersion(), Prefill: r.GetPrefill(), Excluded: r.GetExcluded(),
			Account: r.GetAccount(), Weight: a.weight(r.GetAccount()),
		})
	}
	t.waiters++
	if isNew {
		a.decide(r.GetPool(), p, now)
	}
	return t, nil
}

// weight returns the share of an account in the grants while there is too little room: its
// quota, so that each is served in the same proportion. Where quotas do not compare, all
// have the same.
func (a *Allocator) weight(account string) float64 {
	if account == "" {
		return 0
	}
	d, weighted := a.document.current()
	if !weighted {
		return 0
	}
	c, _ := d.CallerByName(account)
	return c.Quota.PerSecond
}

// leave ends one call's wait and returns its response.
func (a *Allocator) leave(ctx context.Context, r *controlv1.AcquireRequest, t *ticket) (*controlv1.AcquireResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.waiters--
	t.lastCall = time.Now()
	p, id := a.pool(r.GetPool()), r.GetRun().GetId()
	if ctx.Err() != nil {
		if p.tickets[id] == t {
			p.Withdraw(id)
			delete(p.tickets, id)
		}
		return nil, ctx.Err()
	}
	select {
	case <-t.decided:
		if p.tickets[id] == t {
			delete(p.tickets, id)
		}
		return t.response, t.err
	default:
		return &controlv1.AcquireResponse{State: controlv1.AcquireState_ACQUIRE_STATE_WAITING}, nil
	}
}

// PrefillPerToken returns the prefill time per prompt token that the engines of a pool
// have shown, without the time that prompts waited; zero where it is unknown.
func (a *Allocator) PrefillPerToken(pool string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[pool]; p != nil {
		return p.PrefillPerToken()
	}
	return 0
}

// Release ends runs and prefills.
func (a *Allocator) Release(_ context.Context, r *connect.Request[controlv1.ReleaseRequest]) (*connect.Response[controlv1.ReleaseResponse], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.checkLeads() {
		return nil, toConnectError(&NotLeaderError{Address: a.store.Status().Address})
	}
	changed := map[string]bool{}
	for _, run := range r.Msg.GetPrefills() {
		a.pool(run.GetPool()).Prefilled(run.GetId(), run.GetFailed(), now)
		changed[run.GetPool()] = true
	}
	for _, run := range r.Msg.GetRuns() {
		a.pool(run.GetPool()).Ended(run.GetId(), run.GetFailed(), now)
		changed[run.GetPool()] = true
	}
	for name := range changed {
		if p := a.pool(name); p.Waiting() > 0 {
			a.decide(name, p, now)
		}
	}
	return connect.NewResponse(&controlv1.ReleaseResponse{}), nil
}
