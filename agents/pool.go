package agents

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/proto/agent/v1/agentv1connect"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// renewInterval is the time between renewals of an agent's leases.
	renewInterval = time.Second
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// releaseRing bounds the releases that wait to be sent; what does not fit
	// is left to the lease.
	releaseRing    = 4096
	releaseTimeout = time.Second
	// releasesAtOnce bounds the releases under way, so that an agent without
	// an answer does not hold up the others.
	releasesAtOnce = 128
	// idleKept is how long an agent that nothing asks for is remembered.
	idleKept = 5 * time.Minute
)

// Load is the newest load that an agent reported with an answer.
type Load struct {
	PiecesFree  int
	PiecesTotal int
	Running     int
	Queued      int
	Wait        time.Duration
	Leaving     bool
	// At is when the report arrived; it is zero where there is none.
	At time.Time
}

// Pool has one peer for each agent in use. It is safe for concurrent use.
type Pool struct {
	// entry is the name of this process, as leases know it.
	entry string
	// fresh makes the client of a new connection.
	fresh func() *http.Client
	opts  []connect.ClientOption
	log   *logrus.Entry
	// releases are taken up by one goroutine.
	releases chan release

	mu sync.Mutex
	// peers is keyed by name and address, as a name may move.
	peers map[peerKey]*Peer
}

type peerKey struct {
	name    string
	address string
}

type release struct {
	peer    *Peer
	attempt *agentv1.Attempt
}

// Peer is one agent as an entry knows it. It is safe for concurrent use.
type Peer struct {
	// Name is the agent's name.
	Name string
	// Client calls the agent.
	Client     agentv1connect.AgentServiceClient
	connection *connection

	mu   sync.Mutex
	load Load
	// attempts are those whose leases are renewed here.
	attempts map[attemptKey]*agentv1.Attempt
	// used is when a call last wanted this peer.
	used time.Time
}

type attemptKey struct {
	request string
	number  uint32
}

// NewPool returns a pool without peers. Each peer has an HTTP client of its own
// from fresh, as a suspect connection is replaced and not reused.
func NewPool(entry string, fresh func() *http.Client, log *logrus.Entry, opts ...connect.ClientOption) *Pool {
	return &Pool{
		fresh:    fresh,
		entry:    entry,
		opts:     opts,
		log:      log,
		releases: make(chan release, releaseRing),
		peers:    map[peerKey]*Peer{},
	}
}

// Peer returns the peer of a member.
func (p *Pool) Peer(m *controlv1.Member) (*Peer, error) {
	a, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, err
	}
	k := peerKey{name: m.GetName(), address: m.GetAddress()}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.peers[k]
	if !ok {
		n := newConnection(p.fresh)
		r = &Peer{
			Name:       m.GetName(),
			Client:     agentv1connect.NewAgentServiceClient(n, transport.URL(a), p.opts...),
			connection: n,
			attempts:   map[attemptKey]*agentv1.Attempt{},
		}
		p.peers[k] = r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used = time.Now()
	return r, nil
}

// Load returns the newest load of a member's agent; it is zero where none is
// known.
func (p *Pool) Load(m *controlv1.Member) Load {
	p.mu.Lock()
	r := p.peers[peerKey{name: m.GetName(), address: m.GetAddress()}]
	p.mu.Unlock()
	if r == nil {
		return Load{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}

// Observe takes in a load report.
func (r *Peer) Observe(l *agentv1.LoadReport) {
	if l == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = Load{
		PiecesFree:  int(l.GetPiecesFree()),
		PiecesTotal: int(l.GetPiecesTotal()),
		Running:     int(l.GetRunning()),
		Queued:      int(l.GetQueued()),
		Wait:        l.GetExpectedWait().AsDuration(),
		Leaving:     l.GetLeaving(),
		At:          time.Now(),
	}
}

// Redial makes later calls go over a new connection, as the one in use may be
// silent.
func (r *Peer) Redial() {
	r.connection.redial()
}

// Track renews the lease of an attempt until the returned function is called.
func (r *Peer) Track(a *agentv1.Attempt) func() {
	k := attemptKey{request: a.GetRequest(), number: a.GetNumber()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[k] = a
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.attempts, k)
	}
}

// Release asks an agent to forget an attempt, without waiting for it.
func (p *Pool) Release(r *Peer, a *agentv1.Attempt) {
	select {
	case p.releases <- release{peer: r, attempt: a}:
	default:
		p.log.WithField("Request", a.GetRequest()).Warn("release ring is full, the lease will lapse")
	}
}

// ReleaseNow asks an agent to forget an attempt, and returns once it has or its
// answer is late.
func (p *Pool) ReleaseNow(r *Peer, a *agentv1.Attempt) {
	p.sendRelease(context.Background(), release{peer: r, attempt: a})
}

// RunReleases sends releases until the context ends, a few at once.
func (p *Pool) RunReleases(ctx context.Context) {
	slots := make(chan struct{}, releasesAtOnce)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-p.releases:
			slots <- struct{}{}
			go func() {
				p.sendRelease(ctx, r)
				<-slots
			}()
		}
	}
}

func (p *Pool) sendRelease(ctx context.Context, r release) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := r.peer.Client.Release(ctx, connect.NewRequest(&agentv1.ReleaseRequest{Attempt: r.attempt})); err != nil {
		p.log.WithError(err).WithField("Agent", r.peer.Name).Warn("release failed, the lease will lapse")
	}
}

// RunRenewals renews all leases once each interval, with one call for each
// agent, until the context ends.
func (p *Pool) RunRenewals(ctx context.Context) {
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, r := range p.busy(now) {
				go p.renew(ctx, r)
			}
		}
	}
}

// busy returns the peers that hold attempts, and forgets those that have been
// idle for long.
func (p *Pool) busy(now time.Time) []*Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Peer
	for k, r := range p.peers {
		r.mu.Lock()
		switch {
		case len(r.attempts) > 0:
			out = append(out, r)
		case now.Sub(r.used) > idleKept:
			r.connection.close()
			delete(p.peers, k)
		}
		r.mu.Unlock()
	}
	return out
}

func (p *Pool) renew(ctx context.Context, r *Peer) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	req := &agentv1.RenewRequest{Entry: p.entry}
	r.mu.Lock()
	for _, a := range r.attempts {
		req.Attempts = append(req.Attempts, a)
	}
	r.mu.Unlock()
	res, err := r.Client.Renew(ctx, connect.NewRequest(req))
	if err != nil {
		p.log.WithError(err).WithField("Agent", r.Name).Warn("renewal failed")
		return
	}
	r.Observe(res.Msg.GetLoad())
}
