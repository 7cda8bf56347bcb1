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
	// pollInterval is the time between two checks of a condition that is awaited.
	pollInterval = 2 * time.Millisecond
)

// traffic counts the bytes on the connections of all members.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// newClient returns a client that doesn't share connections with other clients.
func newClient(a netip.AddrPort, t *traffic) controlv1connect.ControlServiceClient {
	h := transport.NewClient()
	httpTransport, ok := h.Transport.(*http.Transport)
	if ok {
		dial := httpTransport.DialContext
		httpTransport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, traffic: t}, nil
		}
	}
	return controlv1connect.NewControlServiceClient(h, transport.URL(a))
}

// member is one simulated process.
type member struct {
	client      controlv1connect.ControlServiceClient
	environment string
	// revision is the newest revision received from the list or the watch.
	revision atomic.Uint64

	mu sync.Mutex
	// record is what the member announces. It is guarded by mu.
	record *controlv1.Member
}

func newMember(o *options, i int, t *traffic) *member {
	return &member{
		client:      newClient(o.leader, t),
		environment: o.environment,
		record: &controlv1.Member{
			Environment: o.environment, Name: fmt.Sprintf("member-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:7200", i>>16, i>>8&255, i&255),
			FailureDomain: "a", Role: controlv1.Role_ROLE_DECODE, State: controlv1.MemberState_MEMBER_STATE_SERVING,
			Serves: "m", Version: "1", MemoryPieces: 80, PieceTokens: 2000, DocumentLevel: document.Level,
		},
	}
}

// announce joins the environment, or renews the lease. It stores the incarnation
// that control assigns.
func (m *member) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	res, err := m.client.Announce(ctx, connect.NewRequest(&controlv1.AnnounceRequest{Member: m.record}))
	if err != nil {
		return err
	}
	m.record.Incarnation = res.Msg.GetIncarnation()
	return nil
}

// list reads the whole state of the environment and returns its revision.
func (m *member) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := m.client.List(ctx, connect.NewRequest(&controlv1.ListRequest{Prefix: m.environment + "/"}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetRevision(), nil
}

// join announces the member and reads the state, as a process does at its start.
func (m *member) join(ctx context.Context) error {
	if err := m.announce(ctx); err != nil {
		return err
	}
	r, err := m.list(ctx)
	m.revision.Store(r)
	return err
}

// restart announces the member without its incarnation, as a restarted process
// does, and so gets a new one.
func (m *member) restart(ctx context.Context) error {
	m.mu.Lock()
	m.record.Incarnation = 0
	m.mu.Unlock()
	return m.announce(ctx)
}

// renew renews the lease every announceInterval, first after initialDelay, until
// the context ends. Errors are ignored, as the next renewal follows.
func (m *member) renew(ctx context.Context, initialDelay time.Duration) {
	t := time.NewTimer(initialDelay)
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

// watch receives changes until the context ends, and reopens a broken stream from
// the next revision.
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

// electionTimeout bounds the wait for the first leader.
const electionTimeout = 10 * time.Second

// findLeader returns the first control host that answers a list. It tries all of
// them in turn until electionTimeout, and then returns the last error.
func findLeader(controls []netip.AddrPort) (netip.AddrPort, error) {
	var lastErr error
	for start := time.Now(); time.Since(start) < electionTimeout; time.Sleep(pollInterval) {
		for _, a := range controls {
			ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
			_, err := newClient(a, &traffic{}).List(ctx, connect.NewRequest(&controlv1.ListRequest{Prefix: "none/"}))
			cancel()
			if err == nil {
				return a, nil
			}
			lastErr = err
		}
	}
	return netip.AddrPort{}, lastErr
}
