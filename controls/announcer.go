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
	// announceInterval is the time between renewals.
	announceInterval = time.Second
	// catchUp is how long a process may lag behind the newest document before
	// it stops taking new work.
	catchUp = time.Second
)

// BackwardsError reports a list that is older than what was seen before.
type BackwardsError struct {
	Seen uint64
	Got  uint64
}

// Error names both revisions.
func (e *BackwardsError) Error() string {
	return fmt.Sprintf("control answered with revision %d after %d", e.Got, e.Seen)
}

// Announcer keeps a process a member and holds its lease.
type Announcer struct {
	client *Client
	view   *View
	log    *logrus.Entry

	mu sync.Mutex
	// member is what is announced; its incarnation is zero before joining.
	member *controlv1.Member
	// until is the end of the lease, counted from before it was asked for.
	until time.Time
	// uses returns what the process used of pools; it may be nil.
	uses func() []*controlv1.PoolUse
	// behindSince is when the view was first seen behind the newest document;
	// it is zero while the view is current.
	behindSince time.Time
	// wake asks for a renewal at once.
	wake chan struct{}

	// sending is held while an announcement or the last leave is on its way,
	// so that no announcement follows the leave.
	sending sync.Mutex
	// gone is guarded by sending; nothing is announced once it is true.
	gone bool
}

// NewAnnouncer returns an announcer for a member that has not joined.
func NewAnnouncer(c *Client, v *View, m *controlv1.Member, log *logrus.Entry) *Announcer {
	return &Announcer{client: c, view: v, member: m, log: log, wake: make(chan struct{}, 1)}
}

// ReportUses makes renewals report what the process used of pools. It is called
// before Run.
func (a *Announcer) ReportUses(uses func() []*controlv1.PoolUse) {
	a.uses = uses
}

// Run renews the lease until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(announceInterval)
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
	a.sending.Lock()
	defer a.sending.Unlock()
	if a.gone {
		return
	}
	m := a.Member()
	var number uint64
	if d := a.view.Document(); d != nil {
		number = d.Number
	}
	r := &controlv1.AnnounceRequest{Member: m, DocumentNumber: number}
	if a.uses != nil {
		r.Uses = a.uses()
	}
	asked := time.Now()
	res, err := a.client.Announce(ctx, r)
	if err != nil {
		a.failed(err)
		return
	}
	a.client.Learn(addresses(res.GetControls()))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.Incarnation = res.GetIncarnation()
	a.until = asked.Add(res.GetLease().AsDuration())
	if d := a.view.Document(); d != nil {
		number = d.Number
	}
	switch {
	case number >= res.GetDocumentNumber():
		a.behindSince = time.Time{}
	case a.behindSince.IsZero():
		a.behindSince = time.Now()
	default:
		a.view.Behind()
	}
}

// addresses reads a list of addresses, and leaves out what is none.
func addresses(all []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range all {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// failed logs a failed renewal. A stale incarnation asks for a new one.
func (a *Announcer) failed(err error) {
	a.log.WithError(err).Warn("announce failed")
	if Reason(err).GetCode() != controlv1.Refusal_CODE_STALE {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.Incarnation = 0
	a.until = time.Time{}
}

// Member returns a copy of what is announced.
func (a *Announcer) Member() *controlv1.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return proto.CloneOf(a.member)
}

// Update changes what is announced, and announces it at once.
func (a *Announcer) Update(change func(m *controlv1.Member)) {
	a.mu.Lock()
	change(a.member)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Incarnation returns the allotted incarnation; zero before joining.
func (a *Announcer) Incarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.GetIncarnation()
}

// Current reports whether the process may take new work: its lease runs and
// the document that it serves is the newest one.
func (a *Announcer) Current(now time.Time) bool {
	if a.view.Document() == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	behind := !a.behindSince.IsZero() && now.Sub(a.behindSince) > catchUp
	return now.Before(a.until) && !behind
}

// Leave marks the member as leaving, or removes it once it is gone.
func (a *Announcer) Leave(ctx context.Context, gone bool) error {
	if gone {
		a.sending.Lock()
		defer a.sending.Unlock()
		a.gone = true
	}
	m := a.Member()
	return a.client.Leave(ctx, &controlv1.LeaveRequest{
		Environment: m.GetEnvironment(), Name: m.GetName(), Incarnation: m.GetIncarnation(), Gone: gone,
	})
}
