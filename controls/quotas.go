package controls

import (
	"context"
	"expvar"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/quota"
)

const (
	// claimTimeout bounds one claim of quotas.
	claimTimeout = 500 * time.Millisecond
	// quotaTick is the time between looks at requests that wait, quotaHeartbeat that
	// between looks at the lease, and quotaIdleTick the same while the document has no
	// accounts.
	quotaTick      = 25 * time.Millisecond
	quotaHeartbeat = 200 * time.Millisecond
	quotaIdleTick  = time.Second
)

// Quotas asks control whether requests are within the quotas of their accounts, in
// batches. It is safe for concurrent use.
type Quotas struct {
	allocations *Allocations
	// accounts reports whether the document in force has accounts.
	accounts func() bool
	log      *logrus.Entry
	metrics  *expvar.Map

	mu    sync.Mutex
	stock *quota.Stock
	// lastID is the number of the last request, and waiters are those that wait, keyed by
	// their ID.
	lastID  uint64
	waiters map[uint64]chan quota.Decision
	wake    chan struct{}
}

// NewQuotas returns the quotas of one entry. It calls control as the allocations do.
func NewQuotas(a *Allocations, t quota.Tolerance, accounts func() bool, log *logrus.Entry) *Quotas {
	return &Quotas{
		allocations: a, accounts: accounts, log: log, metrics: new(expvar.Map).Init(),
		stock: quota.NewStock(a.owner, t, clock.SinceBoot()), waiters: map[uint64]chan quota.Decision{}, wake: make(chan struct{}, 1),
	}
}

// Metrics returns the metrics, for expvar.
func (q *Quotas) Metrics() expvar.Var {
	return q.metrics
}

// Take waits until a request is within the quota of its account. The error is a
// *quota.RefusedError, or that of the context.
func (q *Quotas) Take(ctx context.Context, c document.Caller, cost float64, priority int) error {
	now := clock.SinceBoot()
	q.mu.Lock()
	q.lastID++
	id := q.lastID
	d := q.stock.Ask(now, quota.Request{
		ID: id, Account: c.Name, Limit: quota.Limit{PerSecond: c.Quota.PerSecond, Burst: c.Quota.Burst}, Cost: cost, Priority: priority, Arrived: now,
	})
	if d.Verdict != quota.Waits {
		q.mu.Unlock()
		return q.result(c.Name, d)
	}
	decided := make(chan quota.Decision, 1)
	q.waiters[id] = decided
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case d := <-decided:
		return q.result(c.Name, d)
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, id)
	select {
	case d := <-decided:
		if d.Verdict == quota.Admitted {
			q.stock.GiveBack(c.Name, cost)
		}
	default:
		q.stock.Cancel(c.Name, id)
	}
	return ctx.Err()
}

// GiveBack returns the tokens of a request that was admitted and did not run.
func (q *Quotas) GiveBack(account string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.metrics.Add("GivenBack", 1)
	q.stock.GiveBack(account, cost)
}

func (q *Quotas) result(account string, d quota.Decision) error {
	switch d.Verdict {
	case quota.Over:
		q.metrics.Add("Over", 1)
	case quota.Unknown:
		q.metrics.Add("Unknown", 1)
	default:
		q.metrics.Add("Admitted", 1)
		return nil
	}
	return &quota.RefusedError{Account: account, RetryAfter: d.RetryAfter, Unknown: d.Verdict == quota.Unknown}
}

// Run claims quotas until the context ends.
func (q *Quotas) Run(ctx context.Context) {
	for ctx.Err() == nil {
		q.claim(ctx)
		t := time.NewTimer(q.interval())
		select {
		case <-ctx.Done():
		case <-q.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// interval returns how long Run waits unless a request wakes it.
func (q *Quotas) interval() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case len(q.waiters) > 0:
		return quotaTick
	case q.accounts():
		return quotaHeartbeat
	}
	return quotaIdleTick
}

// claim makes the claim that is due, if any. Requests that wait in vain are decided
// meanwhile.
func (q *Quotas) claim(ctx context.Context) {
	q.decide(q.stock.Tick)
	q.mu.Lock()
	var c *quota.Claim
	if q.accounts() {
		c = q.stock.NextClaim(clock.SinceBoot())
	}
	q.mu.Unlock()
	if c == nil {
		return
	}
	q.metrics.Add("Claims", 1)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		a, err := q.send(ctx, c)
		if err != nil {
			q.metrics.Add("Failed", 1)
			q.log.WithError(err).Debug("quotas not claimed")
		}
		q.decide(func(now time.Duration) []quota.Decision {
			if err != nil {
				q.stock.Failed()
				return nil
			}
			return q.stock.Answered(now, a)
		})
	}()
	t := time.NewTicker(quotaTick)
	defer t.Stop()
	for {
		select {
		case <-answered:
			return
		case <-t.C:
			q.decide(q.stock.Tick)
		}
	}
}

// decide makes decisions and tells them to the requests that wait.
func (q *Quotas) decide(f func(now time.Duration) []quota.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range f(clock.SinceBoot()) {
		if w := q.waiters[d.ID]; w != nil {
			w <- d
			delete(q.waiters, d.ID)
		}
	}
}

// send makes a claim at the leader.
func (q *Quotas) send(ctx context.Context, c *quota.Claim) (quota.Answer, error) {
	in := &controlv1.ClaimQuotaRequest{Environment: q.allocations.environment, Entry: c.Entry, Entries: uint32(c.Entries), OnShare: c.OnShare}
	for _, a := range c.Accounts {
		in.Accounts = append(in.Accounts, &controlv1.QuotaClaim{Account: a.Account, Returned: a.Returned, Costs: a.Costs, Held: a.Held, Ahead: a.Ahead})
	}
	var out quota.Answer
	h, _ := q.allocations.client.preferredHost()
	err := q.allocations.callLeader(ctx, claimTimeout, func(ctx context.Context, client controlv1connect.AllocationServiceClient) error {
		res, err := client.ClaimQuota(ctx, connect.NewRequest(in))
		if err != nil {
			return err
		}
		out = quota.Answer{Lease: res.Msg.GetLease().AsDuration(), Entries: int(res.Msg.GetEntries())}
		for _, g := range res.Msg.GetAccounts() {
			a := quota.AccountAnswer{Account: g.GetAccount(), Ahead: g.GetAhead(), EmptyFor: seconds(g.GetEmptySeconds())}
			for _, s := range g.GetRetryAfterSeconds() {
				a.RetryAfter = append(a.RetryAfter, seconds(s))
			}
			out.Accounts = append(out.Accounts, a)
		}
		return nil
	})
	if err != nil && RefusalFrom(err).GetLeaderAddress() == "" {
		// A host that does not answer names no leader; the next one may.
		q.allocations.client.nextHost(h, err)
	}
	return out, err
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
