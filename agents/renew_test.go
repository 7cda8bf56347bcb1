package agents

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/proto/agent/v1/agentv1connect"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

// fakeAgent answers renewals.
type fakeAgent struct {
	agentv1connect.UnimplementedAgentServiceHandler
}

func (fakeAgent) Renew(context.Context, *connect.Request[agentv1.RenewRequest]) (*connect.Response[agentv1.RenewResponse], error) {
	return connect.NewResponse(&agentv1.RenewResponse{AgentIncarnation: 1, EndpointUp: true, Load: &agentv1.LoadReport{PiecesFree: 40, PiecesTotal: 80, Running: 20}}), nil
}

// countingConn counts the bytes of one connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRenew measures one renewal of a number of attempts between an entry
// and an agent that both run in this process.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, handler := agentv1connect.NewAgentServiceHandler(fakeAgent{})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := transport.NewServer(handler)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			var bytes atomic.Int64
			client := transport.NewClient()
			httpTransport := client.Transport.(*http.Transport)
			dial := httpTransport.DialContext
			httpTransport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				return &countingConn{Conn: c, bytes: &bytes}, err
			}
			p := NewPeers("entry-000", func() *http.Client { return client }, logrus.NewEntry(logrus.New()))
			addr := listener.Addr().(*net.TCPAddr).AddrPort()
			peer, err := p.Peer(&controlv1.Member{Name: "agent", Address: netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()).String()})
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				peer.Track(&agentv1.Attempt{Request: fmt.Sprintf("%026d", i), Number: 1, Entry: "entry-000"})
			}
			p.renew(context.Background(), peer)
			bytes.Store(0)
			before := processorTime(b)
			for b.Loop() {
				p.renew(context.Background(), peer)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/float64(time.Microsecond), "cpu-us/op")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// processorTime returns the processor time that this process has used, which
// includes both ends of the renewal.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
