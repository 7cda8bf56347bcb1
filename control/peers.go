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

// peers holds the other control hosts, as the settings list them or as the
// configuration in the log names them. It is safe for concurrent use, except for
// hostNames, which only the loop uses.
type peers struct {
	// id is the server ID of this host, and self its name and address.
	id   string
	self settings.ControlHost
	// deliveries counts the Deliver calls to other hosts.
	deliveries deliveryMetrics
	// configured lists all hosts, this one included, if the settings do so;
	// otherwise it is empty.
	configured []settings.ControlHost
	// urgentClient and bulkClient share no connection with each other or with the calls
	// of this process that are forwarded.
	urgentClient *http.Client
	bulkClient   *http.Client
	options      []connect.ClientOption
	// partDelivered is called with the ID of a server that awaits a snapshot, when a part
	// has reached its host. It may be nil.
	partDelivered func(server string)
	// hostNames maps a server ID to the name of its host.
	hostNames map[string]string

	mu sync.Mutex
	// seeds are the addresses at which other hosts may be found.
	seeds []netip.AddrPort
	// hosts is keyed by name and does not contain this host.
	hosts map[string]*host
	// deliveryContext is the parent context of all deliveries; nil before start.
	deliveryContext context.Context
}

// host is one other control host.
type host struct {
	name    string
	address netip.AddrPort
	// urgent delivers small messages, and bulk appends and snapshots. They share no
	// connection, so that none of the former waits for the latter.
	urgent *lane
	bulk   *lane
	// cancel stops the delivery.
	cancel context.CancelFunc
	// lastCall is when the host last called this one; zero for never. It is guarded
	// by the mutex of peers.
	lastCall time.Time
}

func newPeers(id string, s settings.Control, h *http.Client, options ...connect.ClientOption) *peers {
	p := &peers{
		id: id, self: settings.ControlHost{Name: s.Name, Address: s.Peers}, configured: s.Cluster, seeds: s.Seeds,
		urgentClient: transport.CloneClient(h, 0), bulkClient: transport.CloneClient(h, bulkIdleTimeout), options: options,
		hostNames: map[string]string{id: s.Name}, hosts: map[string]*host{},
	}
	for _, o := range s.Cluster {
		p.setHost(o.Name, o.Address)
	}
	return p
}

// start starts delivering messages to all hosts until the context ends.
func (p *peers) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliveryContext = ctx
	for _, h := range p.hosts {
		p.startDelivery(h)
	}
}

func (p *peers) startDelivery(h *host) {
	ctx, cancel := context.WithCancel(p.deliveryContext)
	h.cancel = cancel
	go p.deliver(ctx, h.urgent)
	go p.deliver(ctx, h.bulk)
}

// setHost records the address of another host. A host whose address has changed
// gets new clients and empty queues.
func (p *peers) setHost(name string, address netip.AddrPort) {
	if name == p.self.Name || !address.IsValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.hosts[name]
	if old != nil && old.address == address {
		return
	}
	bulk := replicav1connect.NewReplicaServiceClient(p.bulkClient, transport.URL(address), p.options...)
	h := &host{name: name, address: address, urgent: newLane(p.dial(address)), bulk: newLane(bulk)}
	p.hosts[name] = h
	if old != nil && old.cancel != nil {
		old.cancel()
	}
	if p.deliveryContext != nil {
		p.startDelivery(h)
	}
}

func (p *peers) dial(address netip.AddrPort) replicav1connect.ReplicaServiceClient {
	return replicav1connect.NewReplicaServiceClient(p.urgentClient, transport.URL(address), p.options...)
}

// setSeeds replaces the addresses at which other hosts may be found.
func (p *peers) setSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// otherAddresses returns the addresses of all other hosts that are known.
func (p *peers) otherAddresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for _, h := range p.hosts {
		out = append(out, h.address)
	}
	for _, a := range p.seeds {
		if a != p.self.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// queuedBytes returns the size of the messages that wait for all hosts.
func (p *peers) queuedBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := int64(0)
	for _, h := range p.hosts {
		out += h.urgent.queuedBytes.Load() + h.bulk.queuedBytes.Load()
	}
	return out
}

// isBootstrapHost reports whether this host is the one that bootstraps the log:
// the first one listed in the settings, or the first seed where none are listed.
func (p *peers) isBootstrapHost() bool {
	if len(p.configured) > 0 {
		return p.configured[0].Name == p.self.Name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.seeds) > 0 && p.seeds[0] == p.self.Address
}

// recordCall records that a host has called this one.
func (p *peers) recordCall(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[name]; h != nil {
		h.lastCall = now
	}
}

// sinceCall returns the time since a host last called this one. It is very long for one
// that never did.
func (p *peers) sinceCall(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	if h := p.hosts[name]; h != nil {
		last = h.lastCall
	}
	return now.Sub(last)
}

// update learns the hosts in the configuration, and drops those that are not in it and
// have not called for learnerTimeout, with the messages that wait for them. A host that
// is not in it yet, or no longer, and calls gets answers.
func (p *peers) update(now time.Time, c *replicav1.Configuration) {
	if len(p.configured) > 0 || len(c.GetServers()) == 0 {
		return
	}
	ids, names := map[string]bool{p.id: true}, map[string]bool{}
	for _, s := range c.GetServers() {
		ids[s.GetId()], names[s.GetName()] = true, true
		if p.hostOfServer(s.GetId()) == nil {
			p.learnServer(s.GetId(), s.GetName(), s.GetAddress())
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, h := range p.hosts {
		if names[name] || now.Sub(h.lastCall) < learnerTimeout {
			continue
		}
		delete(p.hosts, name)
		if h.cancel != nil {
			h.cancel()
		}
	}
	for id, name := range p.hostNames {
		if !ids[id] && p.hosts[name] == nil {
			delete(p.hostNames, id)
		}
	}
}

// mayJoin reports whether the settings permit a host in the configuration.
func (p *peers) mayJoin(name string) bool {
	return len(p.configured) == 0 || slices.ContainsFunc(p.configured, func(h settings.ControlHost) bool { return h.Name == name })
}

// address returns the address of a host, or the zero value if it is not known.
func (p *peers) address(name string) netip.AddrPort {
	if name == p.self.Name {
		return p.self.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[name]; h != nil {
		return h.address
	}
	return netip.AddrPort{}
}

// learnServer records the host of a server and the host's address. An address in
// the settings takes precedence over the one that a host reports.
func (p *peers) learnServer(id, name, address string) {
	p.hostNames[id] = name
	if len(p.configured) > 0 {
		return
	}
	if a, err := netip.ParseAddrPort(address); err == nil {
		p.setHost(name, a)
	}
}

func (p *peers) hostName(id string) string {
	return p.hostNames[id]
}

// send queues small messages for their hosts, and drops those for unknown hosts and
// full queues.
func (p *peers) send(l *loop, messages []*replicav1.Message) {
	p.enqueue(l, messages, func(h *host) *lane { return h.urgent })
}

// sendReplication queues appends and snapshots in the same way.
func (p *peers) sendReplication(l *loop, messages []*replicav1.Message) {
	p.enqueue(l, messages, func(h *host) *lane { return h.bulk })
}

func (p *peers) enqueue(l *loop, messages []*replicav1.Message, laneOf func(*host) *lane) {
	for _, m := range messages {
		h := p.hostOfServer(m.GetTo())
		if h == nil {
			p.learnConfiguration(l)
			h = p.hostOfServer(m.GetTo())
		}
		if h == nil || !laneOf(h).enqueue(m) {
			l.store.droppedMessages.Add(1)
		}
	}
}

func (p *peers) hostOfServer(id string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[p.hostNames[id]]
}

// learnConfiguration records the hosts of the servers in the configuration.
func (p *peers) learnConfiguration(l *loop) {
	for _, s := range l.node.Status(time.Now()).Configuration.GetServers() {
		p.learnServer(s.GetId(), s.GetName(), s.GetAddress())
	}
}
