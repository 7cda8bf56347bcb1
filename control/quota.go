package control

import (
	"context"
	"expvar"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/clock"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/quota"
	"ebonyreel/state"
)

const (
	// entryCountInterval is how long the number of entries is used.
	entryCountInterval = 100 * time.Millisecond
	// overInterval is the least time between two log lines on one account that is over
	// its quota.
	overInterval = 2 * time.Second
)

// quotas keeps the quotas of client accounts while its host leads, in memory only: a new
// leader begins with empty buckets.
type quotas struct {
	store       *Store
	environment string
	log         *logrus.Entry
	document    *loadedDocument

	mu sync.Mutex
	// ledger is nil while the host does not lead.
	ledger *quota.Ledger
	// entries is the number of entries as of countedAt.
	entries   int
	countedAt time.Duration
	// overLogged are the accounts that were logged as over their quota since
	// overClearedAt.
	overLogged    map[string]bool
	overClearedAt time.Duration
}

// loadedDocument is the document in force of an environment in its decoded form. It is safe
// for concurrent use.
type loadedDocument struct {
	store       *Store
	environment string
	log         *logrus.Entry

	mu       sync.Mutex
	document *document.Document
	// weighted is true where all accounts have quotas in the same unit, so that these
	// compare.
	weighted bool
}

// current returns the document in force, or nil, and whether its quotas compare.
func (l *loadedDocument) current() (*document.Document, bool) {
	d := l.store.CurrentDocument(l.environment)
	if d == nil {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.document == nil || l.document.Number != d.GetNumber() {
		loaded, err := document.Load(d.GetResolved())
		if err != nil {
			l.log.WithError(err).WithField("Number", d.GetNumber()).Error("document not loaded")
			return nil, false
		}
		l.document, l.weighted = loaded, comparableQuotas(loaded)
	}
	return l.document, l.weighted
}

// comparableQuotas reports whether all accounts have quotas in the same unit.
func comparableQuotas(d *document.Document) bool {
	for _, c := range d.Callers {
		if !c.Quota.Bounds() || c.Quota.Unit != d.Callers[0].Quota.Unit {
			return false
		}
	}
	return true
}

// claim answers a claim. The error is a *NotLeaderError or a *NotLearnedError.
func (q *quotas) claim(r *controlv1.ClaimQuotaRequest) (quota.Answer, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.SinceBoot()
	if err := q.checkLeads(now); err != nil {
		return quota.Answer{}, err
	}
	d, _ := q.document.current()
	if d == nil {
		return quota.Answer{}, &NotLearnedError{}
	}
	if now-q.countedAt >= entryCountInterval {
		q.entries, q.countedAt = q.store.entryCount(q.environment), now
	}
	c := quota.Claim{Entry: r.GetEntry(), Entries: int(r.GetEntries()), OnShare: r.GetOnShare()}
	for _, a := range r.GetAccounts() {
		c.Accounts = append(c.Accounts, quota.AccountClaim{
			Account: a.GetAccount(), Returned: a.GetReturned(), Costs: a.GetCosts(), Held: a.GetHeld(), Ahead: a.GetAhead(),
		})
	}
	out := q.ledger.Claim(now, c, q.entries, func(account string) (quota.Limit, bool) {
		c, ok := d.CallerByName(account)
		return quota.Limit{PerSecond: c.Quota.PerSecond, Burst: c.Quota.Burst}, ok
	})
	q.logOver(now, out)
	return out, nil
}

// logOver logs the accounts that are over their quota, each at most once in overInterval.
func (q *quotas) logOver(now time.Duration, a quota.Answer) {
	if now-q.overClearedAt >= overInterval {
		q.overLogged, q.overClearedAt = map[string]bool{}, now
	}
	for _, g := range a.Accounts {
		if g.EmptyFor == 0 || q.overLogged[g.Account] {
			continue
		}
		q.overLogged[g.Account] = true
		u := q.ledger.Use(g.Account)
		q.log.WithFields(logrus.Fields{"Account": g.Account, "Admitted": u.Admitted, "Refused": u.Refused, "Tokens": u.Tokens, "Entries": a.Entries, "InTouch": q.ledger.InTouch()}).
			Info("account has used up its quota")
	}
}

// checkLeads drops the ledger of a host that does not lead, and makes one for a host that
// has begun to.
func (q *quotas) checkLeads(now time.Duration) error {
	switch st := q.store.Status(); {
	case !st.Leads:
		q.ledger = nil
		return &NotLeaderError{Address: st.Address}
	case q.ledger == nil:
		q.ledger = quota.NewLedger(now)
		q.log.Info("quotas of client accounts begin with empty buckets")
	}
	return nil
}

// used returns what the accounts have used since this host began to lead.
func (q *quotas) used() map[string]quota.Use {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ledger == nil {
		return nil
	}
	return q.ledger.Used()
}

// entryCount returns the number of entries that take calls.
func (s *Store) entryCount(environment string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	items, _ := s.state.List(state.Range{Prefix: state.MemberPrefix(environment)})
	for _, it := range items {
		if it.GetMember().GetRole() == controlv1.Role_ROLE_ENTRY {
			n++
		}
	}
	return n
}

// ClaimQuota answers what an entry claims of the quotas of client accounts.
func (a *Allocator) ClaimQuota(_ context.Context, r *connect.Request[controlv1.ClaimQuotaRequest]) (*connect.Response[controlv1.ClaimQuotaResponse], error) {
	answer, err := a.quotas.claim(r.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	out := &controlv1.ClaimQuotaResponse{Lease: durationpb.New(answer.Lease), Entries: uint32(answer.Entries)}
	for _, g := range answer.Accounts {
		grant := &controlv1.QuotaGrant{Account: g.Account, Ahead: g.Ahead, EmptySeconds: g.EmptyFor.Seconds()}
		for _, t := range g.RetryAfter {
			grant.RetryAfterSeconds = append(grant.RetryAfterSeconds, t.Seconds())
		}
		out.Accounts = append(out.Accounts, grant)
	}
	return connect.NewResponse(out), nil
}

// QuotaMetrics returns what the largest accounts have used, for expvar.
func (a *Allocator) QuotaMetrics() expvar.Var {
	return expvar.Func(func() any { return quota.Largest(a.quotas.used()) })
}
