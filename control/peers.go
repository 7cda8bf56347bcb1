package control

import (
	"context"
	"net/http"
	"net/netip"
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

// peers are the other control hosts. Only the loop uses names.
type peers struct {
	own   string
	hosts []settings.ControlHost
	// clients and rings are keyed by the name of a host, and do not change.
	clients map[string]replicav1connect.ReplicaServiceClient
	rings   map[string]chan *replicav1.Message
	// names maps a server to the name of its host.
	names map[string]string
}

func newPeers(own string, hosts []settings.ControlHost, h *http.Client, opts ...connect.ClientOption) *peers {
	p := &peers{
		own: own, hosts: hosts,
		clients: map[string]replicav1connect.ReplicaServiceClient{},
		rings:   map[string]chan *replicav1.Message{},
		names:   map[string]string{},
	}
	for _, o := range hosts {
		if o.Name == own {
			continue
		}
		p.clients[o.Name] = replicav1connect.NewReplicaServiceClient(h, transport.URL(o.Address), opts...)
		p.rings[o.Name] = make(chan *replicav1.Message, messageRing)
	}
	return p
}

func (p *peers) listed(name string) bool {
	return p.address(name).IsValid()
}

// address returns where a host is reached, or the zero value.
func (p *peers) address(name string) netip.AddrPort {
	for _, h := range p.hosts {
		if h.Name == name {
			return h.Address
		}
	}
	return netip.AddrPort{}
}

// learn notes which host a server is on.
func (p *peers) learn(id, name string) {
	p.names[id] = name
}

func (p *peers) name(id string) string {
	return p.names[id]
}

// send puts messages in the rings of their hosts.
func (p *peers) send(l *loop, all []*replicav1.Message) {
	for _, m := range all {
		ring := p.rings[p.names[m.GetTo()]]
		if ring == nil {
			p.resolve(l)
			ring = p.rings[p.names[m.GetTo()]]
		}
		select {
		case ring <- m:
		default:
			l.store.dropped.Add(1)
		}
	}
}

// resolve learns the hosts of the servers in the configuration.
func (p *peers) resolve(l *loop) {
	for _, s := range l.node.Status(time.Now()).Configuration.GetServers() {
		p.learn(s.GetId(), s.GetName())
	}
}

// deliver sends the messages of one host until the context ends: all that
// wait go in one call, and the next call waits for its answer.
func (p *peers) deliver(ctx context.Context, name, id string) {
	ring := p.rings[name]
	for {
		r := &replicav1.DeliverRequest{Id: id, Name: p.own}
		select {
		case <-ctx.Done():
			return
		case m := <-ring:
			r.Messages = append(r.Messages, m)
		}
		for len(ring) > 0 && len(r.Messages) < messageRing {
			r.Messages = append(r.Messages, <-ring)
		}
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		// What is lost is sent again by the replica.
		_, _ = p.clients[name].Deliver(call, connect.NewRequest(r))
		cancel()
	}
}
