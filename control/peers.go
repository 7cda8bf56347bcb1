package control

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

const (
	// maxQueuedMessages is the number of messages that may wait for one host, and
	// maxQueuedBytes their size, which one message may exceed. Further ones are
	// dropped, and the replica sends them again.
	maxQueuedMessages = 1024
	maxQueuedBytes    = 16 << 20
	// maxDeliverBytes is the size of the messages of one Deliver call above which no
	// more are added to it.
	maxDeliverBytes = 1 << 20
	// deliverTimeout bounds one Deliver call.
	deliverTimeout = time.Second
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
	httpClient *http.Client
	options    []connect.ClientOption
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
	client  replicav1connect.ReplicaServiceClient
	// queue holds the messages that wait for delivery.
	queue chan queuedMessage
	// queuedBytes is the size of the messages in queue.
	queuedBytes atomic.Int64
	// cancel stops the delivery.
	cancel context.CancelFunc
	// lastCall is when the host last called this one; zero for never. It is guarded
	// by the mutex of peers.
	lastCall time.Time
}

// queuedMessage is a message that waits for delivery.
type queuedMessage struct {
	message *replicav1.Message
	// bytes is the size of the message.
	bytes int64
}

// enqueue queues a message for delivery, and reports whether there was room.
func (h *host) enqueue(m *replicav1.Message) bool {
	if h.queuedBytes.Load() >= maxQueuedBytes {
		return false
	}
	q := queuedMessage{message: m, bytes: int64(proto.Size(m))}
	h.queuedBytes.Add(q.bytes)
	select {
	case h.queue <- q:
		return true
	default:
		h.queuedBytes.Add(-q.bytes)
		return false
	}
}

// next waits for the next messages for one Deliver call. It returns none once the
// context has ended.
func (h *host) next(ctx context.Context) []*replicav1.Message {
	var out []*replicav1.Message
	size := int64(0)
	add := func(q queuedMessage) {
		h.queuedBytes.Add(-q.bytes)
		out, size = append(out, q.message), size+q.bytes
	}
	select {
	case <-ctx.Done():
		return nil
	case q := <-h.queue:
		add(q)
	}
	for len(h.queue) > 0 && len(out) < maxQueuedMessages && size < maxDeliverBytes {
		add(<-h.queue)
	}
	return out
}

func newPeers(id string, s settings.Control, h *http.Client, options ...connect.ClientOption) *peers {
	p := &peers{
		id: id, self: settings.ControlHost{Name: s.Name, Address: s.Peers}, configured: s.Cluster, seeds: s.Seeds,
		httpClient: h, options: options, hostNames: map[string]string{id: s.Name}, hosts: map[string]*host{},
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
	go p.deliver(ctx, h)
}

// setHost records the address of another host. A host whose address has changed
// gets a new client and an empty queue.
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
	h := &host{name: name, address: address, client: p.dial(address), queue: make(chan queuedMessage, maxQueuedMessages)}
	p.hosts[name] = h
	if old != nil && old.cancel != nil {
		old.cancel()
	}
	if p.deliveryContext != nil {
		p.startDelivery(h)
	}
}

func (p *peers) dial(address netip.AddrPort) replicav1connect.ReplicaServiceClient {
	return replicav1connect.NewReplicaServiceClient(p.httpClient, transport.URL(address), p.options...)
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
		out += h.queuedBytes.Load()
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

// send queues messages for their hosts, and drops those for unknown hosts and
// full queues.
func (p *peers) send(l *loop, messages []*replicav1.Message) {
	for _, m := range messages {
		h := p.hostOfServer(m.GetTo())
		if h == nil {
			p.learnConfiguration(l)
			h = p.hostOfServer(m.GetTo())
		}
		if h == nil || !h.enqueue(m) {
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

// deliver sends the queued messages of one host until the context ends. Messages
// that are already queued share one call, and calls do not overlap.
func (p *peers) deliver(ctx context.Context, h *host) {
	for {
		r := &replicav1.DeliverRequest{Id: p.id, Name: p.self.Name, Address: p.self.Address.String(), Messages: h.next(ctx)}
		if len(r.Messages) == 0 {
			return
		}
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		// The replica sends lost messages again.
		start := time.Now()
		_, err := h.client.Deliver(call, connect.NewRequest(r))
		cancel()
		p.deliveries.observe(start, err)
	}
}
