package control

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

const (
	// messageRing is the number of messages that may wait for one host; more
	// are dropped, and the replica sends again.
	messageRing = 1024
	// deliverTimeout bounds one delivery.
	deliverTimeout = time.Second
)

// peers are the other control hosts, as the settings list them or as the
// configuration of the log names them. It is safe for concurrent use, but for
// names, which only the loop uses.
type peers struct {
	// id is that of this host's server, and own its name and address.
	id  string
	own settings.ControlHost
	// fixed lists all hosts where the settings do so.
	fixed []settings.ControlHost
	http  *http.Client
	opts  []connect.ClientOption
	// names maps a server to the name of its host.
	names map[string]string

	mu sync.Mutex
	// seeds are the addresses where other hosts are looked for.
	seeds []netip.AddrPort
	// hosts is keyed by name and does not have this host.
	hosts map[string]*host
	// base is set while messages are delivered.
	base context.Context
}

// host is one other control host.
type host struct {
	name    string
	address netip.AddrPort
	client  replicav1connect.ReplicaServiceClient
	ring    chan *replicav1.Message
	// end stops the delivery.
	end context.CancelFunc
}

func newPeers(id string, s settings.Control, h *http.Client, opts ...connect.ClientOption) *peers {
	p := &peers{
		id: id, own: settings.ControlHost{Name: s.Name, Address: s.Peers}, fixed: s.Cluster, seeds: s.Seeds,
		http: h, opts: opts, names: map[string]string{id: s.Name}, hosts: map[string]*host{},
	}
	for _, o := range s.Cluster {
		p.meet(o.Name, o.Address)
	}
	return p
}

// start begins the deliveries, which end with the context.
func (p *peers) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.base = ctx
	for _, h := range p.hosts {
		p.startHost(h)
	}
}

func (p *peers) startHost(h *host) {
	ctx, cancel := context.WithCancel(p.base)
	h.end = cancel
	go p.deliver(ctx, h)
}

// meet takes in the name and address of a host. A host that has moved gets a
// new connection.
func (p *peers) meet(name string, address netip.AddrPort) {
	if name == p.own.Name || !address.IsValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.hosts[name]
	if old != nil && old.address == address {
		return
	}
	h := &host{name: name, address: address, client: p.dial(address), ring: make(chan *replicav1.Message, messageRing)}
	p.hosts[name] = h
	if old != nil && old.end != nil {
		old.end()
	}
	if p.base != nil {
		p.startHost(h)
	}
}

func (p *peers) dial(address netip.AddrPort) replicav1connect.ReplicaServiceClient {
	return replicav1connect.NewReplicaServiceClient(p.http, transport.URL(address), p.opts...)
}

// seed replaces the addresses where other hosts are looked for.
func (p *peers) seed(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// others returns the addresses of all other hosts that are known.
func (p *peers) others() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for _, h := range p.hosts {
		out = append(out, h.address)
	}
	for _, a := range p.seeds {
		if a != p.own.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// first reports whether this host begins the log: the first one listed, or the
// first seed.
func (p *peers) first() bool {
	if len(p.fixed) > 0 {
		return p.fixed[0].Name == p.own.Name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.seeds) > 0 && p.seeds[0] == p.own.Address
}

// listed reports whether a host may be a member.
func (p *peers) listed(name string) bool {
	return len(p.fixed) == 0 || slices.ContainsFunc(p.fixed, func(h settings.ControlHost) bool { return h.Name == name })
}

// address returns where a host is reached, or the zero value.
func (p *peers) address(name string) netip.AddrPort {
	if name == p.own.Name {
		return p.own.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[name]; h != nil {
		return h.address
	}
	return netip.AddrPort{}
}

// learn notes which host a server is on, and where the host is. Addresses in the
// settings go before what a host says of itself.
func (p *peers) learn(id, name, address string) {
	p.names[id] = name
	if len(p.fixed) > 0 {
		return
	}
	if a, err := netip.ParseAddrPort(address); err == nil {
		p.meet(name, a)
	}
}

func (p *peers) name(id string) string {
	return p.names[id]
}

// send puts messages in the rings of their hosts.
func (p *peers) send(l *loop, all []*replicav1.Message) {
	for _, m := range all {
		h := p.host(m.GetTo())
		if h == nil {
			p.resolve(l)
			h = p.host(m.GetTo())
		}
		if h == nil {
			l.store.dropped.Add(1)
			continue
		}
		select {
		case h.ring <- m:
		default:
			l.store.dropped.Add(1)
		}
	}
}

func (p *peers) host(id string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[p.names[id]]
}

// resolve learns the hosts of the servers in the configuration.
func (p *peers) resolve(l *loop) {
	for _, s := range l.node.Status(time.Now()).Configuration.GetServers() {
		p.learn(s.GetId(), s.GetName(), s.GetAddress())
	}
}

// deliver sends the messages of one host until the context ends: all that
// wait go in one call, and the next call waits for its answer.
func (p *peers) deliver(ctx context.Context, h *host) {
	for {
		r := &replicav1.DeliverRequest{Id: p.id, Name: p.own.Name, Address: p.own.Address.String()}
		select {
		case <-ctx.Done():
			return
		case m := <-h.ring:
			r.Messages = append(r.Messages, m)
		}
		for len(h.ring) > 0 && len(r.Messages) < messageRing {
			r.Messages = append(r.Messages, <-h.ring)
		}
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		// What is lost is sent again by the replica.
		_, _ = h.client.Deliver(call, connect.NewRequest(r))
		cancel()
	}
}
