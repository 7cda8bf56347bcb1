package agents

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
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
	// releaseQueueSize bounds the releases that wait to be sent. A release that
	// does not fit is dropped, and the lease of its attempt expires.
	releaseQueueSize = 4096
	// releaseTimeout bounds one release.
	releaseTimeout = time.Second
	// maxConcurrentReleases bounds the releases in flight. There are several,
	// so that an agent that does not answer does not block the others.
	maxConcurrentReleases = 128
	// idlePeerRetention is how long an unused peer is kept.
	idlePeerRetention = 5 * time.Minute
)

// Load is the newest load that an agent has reported with a response.
type Load struct {
	PiecesFree  int
	PiecesTotal int
	Running     int
	Queued      int
	Wait        time.Duration
	Leaving     bool
	// At is when the report arrived; it is zero if there is none.
	At time.Time
}

// Peers has one peer for each agent in use. It is safe for concurrent use.
type Peers struct {
	// entry is the name of this process, which owns the leases.
	entry string
	// newClient returns the client of a new connection.
	newClient func() *http.Client
	options   []connect.ClientOption
	log       *logrus.Entry
	// releases is the queue that RunReleases reads.
	releases chan release

	mu sync.Mutex
	// peers is keyed by name and address, as the address of a name may change.
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
	// attempts are the attempts whose leases are renewed.
	attempts map[attemptKey]*trackedAttempt
	// lastUsed is when Peers.Peer last returned this peer.
	lastUsed time.Time
}

type attemptKey struct {
	request string
	number  uint32
}

// trackedAttempt is an attempt and the number of calls to Track that have not
// ended. It is never zero.
type trackedAttempt struct {
	attempt *agentv1.Attempt
	tracks  int
}

// NewPeers returns an empty set of peers. Each peer has HTTP clients of its own from
// newClient, as Redial replaces a client whose connection may be dead.
func NewPeers(entry string, newClient func() *http.Client, log *logrus.Entry, options ...connect.ClientOption) *Peers {
	return &Peers{
		newClient: newClient,
		entry:     entry,
		options:   options,
		log:       log,
		releases:  make(chan release, releaseQueueSize),
		peers:     map[peerKey]*Peer{},
	}
}

// Peer returns the peer of a member's agent, and creates it if necessary. The
// error reports an address that cannot be parsed.
func (p *Peers) Peer(m *controlv1.Member) (*Peer, error) {
	addr, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, err
	}
	key := peerKey{name: m.GetName(), address: m.GetAddress()}
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[key]
	if !ok {
		c := newConnection(p.newClient)
		peer = &Peer{
			Name:       m.GetName(),
			Client:     agentv1connect.NewAgentServiceClient(c, transport.URL(addr), p.options...),
			connection: c,
			attempts:   map[attemptKey]*trackedAttempt{},
		}
		p.peers[key] = peer
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.lastUsed = time.Now()
	return peer, nil
}

// Load returns the newest load of a member's agent, or zero if none is known.
func (p *Peers) Load(m *controlv1.Member) Load {
	p.mu.Lock()
	peer := p.peers[peerKey{name: m.GetName(), address: m.GetAddress()}]
	p.mu.Unlock()
	if peer == nil {
		return Load{}
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	return peer.load
}

// RecordLoad records a load report; nil is ignored.
func (p *Peer) RecordLoad(l *agentv1.LoadReport) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = Load{
		PiecesFree:  int(l.GetPiecesFree()),
		PiecesTotal: int(l.GetPiecesTotal()),
		Running:     int(l.GetRunning()),
		Queued:      int(l.GetQueued()),
		Wait:        l.GetExpectedWait().AsDuration(),
		Leaving:     l.GetLeaving(),
		At:          time.Now(),
	}
}

// Redial makes later calls use a new connection, for the case that the current
// one no longer answers.
func (p *Peer) Redial() {
	p.connection.redial()
}

// Track renews the lease of an attempt until the returned function is called, which
// must be once. An attempt that is tracked more than once is renewed until the last
// of these calls.
func (p *Peer) Track(a *agentv1.Attempt) func() {
	key := attemptKey{request: a.GetRequest(), number: a.GetNumber()}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.attempts[key]
	if t == nil {
		t = &trackedAttempt{attempt: a}
		p.attempts[key] = t
	}
	t.tracks++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if t.tracks--; t.tracks == 0 {
			delete(p.attempts, key)
		}
	}
}

// Release asks an agent to release an attempt, and does not wait for it.
func (p *Peers) Release(peer *Peer, a *agentv1.Attempt) {
	select {
	case p.releases <- release{peer: peer, attempt: a}:
	default:
		p.log.WithField("Request", a.GetRequest()).Warn("release ring is full, the lease will lapse")
	}
}

// ReleaseNow asks an agent to release an attempt, and returns when it has
// answered or releaseTimeout has passed. It reports whether the agent has answered;
// otherwise the release may still reach it.
func (p *Peers) ReleaseNow(peer *Peer, a *agentv1.Attempt) bool {
	return p.sendRelease(context.Background(), release{peer: peer, attempt: a})
}

// RunReleases sends releases until the context ends, up to
// maxConcurrentReleases at a time.
func (p *Peers) RunReleases(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentReleases)
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

func (p *Peers) sendRelease(ctx context.Context, r release) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := r.peer.Client.Release(ctx, connect.NewRequest(&agentv1.ReleaseRequest{Attempt: r.attempt})); err != nil {
		p.log.WithError(err).WithField("Agent", r.peer.Name).Warn("release failed, the lease will lapse")
		return false
	}
	return true
}

// RunRenewals renews all leases every renewInterval, with one call to each
// agent, until the context ends.
func (p *Peers) RunRenewals(ctx context.Context) {
	clock.Every(ctx, renewInterval, func(now time.Time) {
		for _, r := range p.peersWithAttempts(now) {
			go p.renew(ctx, r)
		}
	})
}

// peersWithAttempts returns the peers that have attempts, and removes those that
// have been unused for longer than idlePeerRetention.
func (p *Peers) peersWithAttempts(now time.Time) []*Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Peer
	for k, r := range p.peers {
		r.mu.Lock()
		switch {
		case len(r.attempts) > 0:
			out = append(out, r)
		case now.Sub(r.lastUsed) > idlePeerRetention:
			r.connection.close()
			delete(p.peers, k)
		}
		r.mu.Unlock()
	}
	return out
}

func (p *Peers) renew(ctx context.Context, peer *Peer) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	req := &agentv1.RenewRequest{Entry: p.entry}
	peer.mu.Lock()
	for _, t := range peer.attempts {
		req.Attempts = append(req.Attempts, t.attempt)
	}
	peer.mu.Unlock()
	res, err := peer.Client.Renew(ctx, connect.NewRequest(req))
	if err != nil {
		p.log.WithError(err).WithField("Agent", peer.Name).Warn("renewal failed")
		return
	}
	peer.RecordLoad(res.Msg.GetLoad())
}
