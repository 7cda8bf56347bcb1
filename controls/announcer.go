package controls

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// renewInterval is the time between renewals of the lease.
	renewInterval = time.Second
	// maxDocumentLag is how long a process may serve an older document than the
	// newest one before it stops taking new work.
	maxDocumentLag = time.Second
)

// OutdatedListError reports a list that is older than the view.
type OutdatedListError struct {
	// Seen is the revision of the view, and Got the lower one of the list.
	Seen uint64
	Got  uint64
}

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("control returned revision %d, which is older than the revision %d seen before", e.Got, e.Seen)
}

// Announcer announces a process as a member and renews its lease. It is safe for
// concurrent use.
type Announcer struct {
	client *Client
	view   *View
	log    *logrus.Entry

	mu sync.Mutex
	// member is the announced record; its incarnation is zero before joining.
	member *controlv1.Member
	// leaseEnd is when the lease ends, counted from before the request for it was
	// sent; zero without a lease.
	leaseEnd time.Time
	// pools observes the pools that the process uses; it may be nil.
	pools PoolObserver
	// behindSince is when a renewal first found the view behind the newest
	// document; zero while the view is current.
	behindSince time.Time
	// wake triggers an immediate renewal.
	wake chan struct{}

	// sendMutex is held while an announcement or the final leave is in flight, so
	// that no announcement follows the leave.
	sendMutex sync.Mutex
	// gone is guarded by sendMutex; nothing is announced once it is true.
	gone bool
}

// NewAnnouncer returns an announcer for a member that has not joined yet.
func NewAnnouncer(c *Client, v *View, m *controlv1.Member, log *logrus.Entry) *Announcer {
	return &Announcer{client: c, view: v, member: m, log: log, wake: make(chan struct{}, 1)}
}

// PoolObserver measures the pools of model engines that a process uses.
type PoolObserver interface {
	// Reports returns what the process has measured.
	Reports() []*controlv1.PoolReport
	// Adopt takes the estimates that control merged from the reports of all entries.
	Adopt(estimates []*controlv1.PoolEstimate)
	// Statements returns what endpoints said of themselves to this process lately.
	Statements() []*controlv1.EndpointStatement
	// AdoptStatements takes what they said to all entries.
	AdoptStatements(statements []*controlv1.EndpointStatement)
}

// SetPoolObserver makes renewals exchange measurements of pools with control. It
// must be called before Run.
func (a *Announcer) SetPoolObserver(o PoolObserver) {
	a.pools = o
}

// Run joins and then renews the lease until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		a.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.wake:
		}
	}
}

func (a *Announcer) renew(ctx context.Context) {
	a.sendMutex.Lock()
	defer a.sendMutex.Unlock()
	if a.gone {
		return
	}
	m := a.Member()
	var documentNumber uint64
	if d := a.view.Document(); d != nil {
		documentNumber = d.Number
	}
	r := &controlv1.AnnounceRequest{Member: m, DocumentNumber: documentNumber}
	if a.pools != nil {
		r.Pools, r.Statements = a.pools.Reports(), a.pools.Statements()
	}
	requestedAt := time.Now()
	res, err := a.client.Announce(ctx, r)
	if err != nil {
		a.handleFailure(err)
		return
	}
	a.client.SetReportedHosts(parseAddresses(res.GetControls()))
	if a.pools != nil {
		a.pools.Adopt(res.GetEstimates())
		a.pools.AdoptStatements(res.GetStatements())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.Incarnation = res.GetIncarnation()
	a.leaseEnd = requestedAt.Add(res.GetLease().AsDuration())
	if d := a.view.Document(); d != nil {
		documentNumber = d.Number
	}
	switch {
	case documentNumber >= res.GetDocumentNumber():
		a.behindSince = time.Time{}
	case a.behindSince.IsZero():
		a.behindSince = time.Now()
	default:
		a.view.WatchAnotherHost()
	}
}

// parseAddresses parses a list of addresses and skips invalid ones.
func parseAddresses(texts []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range texts {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// handleFailure logs a failed renewal. If the incarnation is stale, the lease is
// lost and the next renewal asks for a new incarnation.
func (a *Announcer) handleFailure(err error) {
	a.log.WithError(err).Warn("announce failed")
	if RefusalFrom(err).GetCode() != controlv1.Refusal_CODE_STALE {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.Incarnation = 0
	a.leaseEnd = time.Time{}
}

// Member returns a copy of the announced record.
func (a *Announcer) Member() *controlv1.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return proto.CloneOf(a.member)
}

// Update changes the announced record and triggers an immediate renewal.
func (a *Announcer) Update(change func(m *controlv1.Member)) {
	a.mu.Lock()
	change(a.member)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Incarnation returns the allotted incarnation, or zero before joining.
func (a *Announcer) Incarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.GetIncarnation()
}

// MayAcceptWork reports whether the process may take new work: it has a
// document, its lease is valid, and it has not served an older document than the
// newest for longer than maxDocumentLag.
func (a *Announcer) MayAcceptWork(now time.Time) bool {
	if a.view.Document() == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	behind := !a.behindSince.IsZero() && now.Sub(a.behindSince) > maxDocumentLag
	return now.Before(a.leaseEnd) && !behind
}

// Leave marks the member as leaving or, if gone is true, removes it. No
// announcement follows a removal, even if the call fails.
func (a *Announcer) Leave(ctx context.Context, gone bool) error {
	if gone {
		a.sendMutex.Lock()
		defer a.sendMutex.Unlock()
		a.gone = true
	}
	m := a.Member()
	return a.client.Leave(ctx, &controlv1.LeaveRequest{
		Environment: m.GetEnvironment(), Name: m.GetName(), Incarnation: m.GetIncarnation(), Gone: gone,
	})
}
