package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

const (
	announceInterval = time.Second
	callTimeout      = 20 * time.Second
	// poll is the time between looks whether all members have got something.
	poll = 2 * time.Millisecond
)

// traffic counts the bytes of all members' connections.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read counts what is received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// newClient returns a client with a connection of its own.
func newClient(a netip.AddrPort, t *traffic) controlv1connect.ControlServiceClient {
	h := transport.NewClient()
	inner, ok := h.Transport.(*http.Transport)
	if ok {
		dial := inner.DialContext
		inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c, traffic: t}, nil
		}
	}
	return controlv1connect.NewControlServiceClient(h, transport.URL(a))
}

// member is one process that is stood for.
type member struct {
	client      controlv1connect.ControlServiceClient
	environment string
	// revision is the newest one that the watch brought.
	revision atomic.Uint64

	mu sync.Mutex
	// announced is guarded by mu.
	announced *controlv1.Member
}

func newMember(o *options, i int, t *traffic) *member {
	return &member{
		client:      newClient(o.leader, t),
		environment: o.environment,
		announced: &controlv1.Member{
			Environment: o.environment, Name: fmt.Sprintf("member-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:7200", i>>16, i>>8&255, i&255),
			FailureDomain: "a", Role: controlv1.Role_ROLE_DECODE, State: controlv1.MemberState_MEMBER_STATE_SERVING,
			Serves: "m", Version: "1", MemoryPieces: 80, PieceTokens: 2000, DocumentLevel: document.Level,
		},
	}
}

// announce joins or renews the lease.
func (m *member) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	res, err := m.client.Announce(ctx, connect.NewRequest(&controlv1.AnnounceRequest{Member: m.announced}))
	if err != nil {
		return err
	}
	m.announced.Incarnation = res.Msg.GetIncarnation()
	return nil
}

// list asks for the whole state and returns its revision.
func (m *member) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := m.client.List(ctx, connect.NewRequest(&controlv1.ListRequest{Prefix: m.environment + "/"}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetRevision(), nil
}

// join announces and lists, as a process that starts does.
func (m *member) join(ctx context.Context) error {
	if err := m.announce(ctx); err != nil {
		return err
	}
	r, err := m.list(ctx)
	m.revision.Store(r)
	return err
}

// restart leaves and joins with a new incarnation.
func (m *member) restart(ctx context.Context) error {
	m.mu.Lock()
	m.announced.Incarnation = 0
	m.mu.Unlock()
	return m.announce(ctx)
}

// renew keeps the lease until the context ends.
func (m *member) renew(ctx context.Context, phase time.Duration) {
	t := time.NewTimer(phase)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = m.announce(ctx)
			t.Reset(announceInterval)
		}
	}
}

// watch follows changes until the context ends.
func (m *member) watch(ctx context.Context) {
	for ctx.Err() == nil {
		s, err := m.client.Watch(ctx, connect.NewRequest(&controlv1.WatchRequest{
			Prefix: m.environment + "/", FromRevision: m.revision.Load() + 1,
		}))
		if err != nil {
			continue
		}
		for s.Receive() {
			m.revision.Store(s.Msg().GetRevision())
		}
		_ = s.Close()
	}
}

// electionPatience bounds the wait for a first leader.
const electionPatience = 10 * time.Second

// leader waits for the control host that answers lists.
func leader(controls []netip.AddrPort) (netip.AddrPort, error) {
	var last error
	for start := time.Now(); time.Since(start) < electionPatience; time.Sleep(poll) {
		for _, a := range controls {
			ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
			_, err := newClient(a, &traffic{}).List(ctx, connect.NewRequest(&controlv1.ListRequest{Prefix: "none/"}))
			cancel()
			if err == nil {
				return a, nil
			}
			last = err
		}
	}
	return netip.AddrPort{}, last
}
