package proof

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// direction is a direction of a connection, under toxiproxy's name for it.
type direction string

const (
	// toServer is from the dialing side to the dialed side, toClient the reverse.
	toServer direction = "upstream"
	toClient direction = "downstream"
)

// link is a fault-injecting proxy in front of an address. Its own listener can
// blackhole only the connections that are open, which toxiproxy cannot, and close
// them. Toxiproxy, behind that listener, provides the other faults.
type link struct {
	t testing.TB
	// address is the address of the link for the dialing side.
	address  netip.AddrPort
	listener net.Listener
	proxy    *toxiproxy.Proxy

	mu          sync.Mutex
	connections map[*proxiedConnection]bool
}

// proxiedConnection is one connection through a link's own listener.
type proxiedConnection struct {
	client net.Conn
	server net.Conn
	// dropToServer and dropToClient are true if the bytes of that direction are
	// discarded.
	dropToServer atomic.Bool
	dropToClient atomic.Bool
}

// toxic is toxiproxy's JSON for one fault.
type toxic struct {
	Name       string          `json:"name"`
	Type       string          `json:"type"`
	Stream     direction       `json:"stream"`
	Attributes toxicAttributes `json:"attributes"`
}

type toxicAttributes struct {
	// Timeout and Latency are in milliseconds, Rate in KB/s.
	Timeout int `json:"timeout"`
	Latency int `json:"latency,omitempty"`
	Rate    int `json:"rate,omitempty"`
}

// newLink starts a link in front of an upstream address.
func newLink(t testing.TB, name string, upstream netip.AddrPort) *link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream.String())
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{t: t, address: listener.Addr().(*net.TCPAddr).AddrPort(), listener: listener, proxy: p, connections: map[*proxiedConnection]bool{}}
	go l.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		l.closeOpen()
		p.Stop()
	})
	return l
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.proxy.Listen)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &proxiedConnection{client: client, server: server}
		l.mu.Lock()
		l.connections[p] = true
		l.mu.Unlock()
		go l.forward(p, p.server, p.client, &p.dropToServer)
		go l.forward(p, p.client, p.server, &p.dropToClient)
	}
}

// forward copies the bytes of one direction. A dropped direction discards bytes
// and also does not pass on a close, as if a NAT or firewall had lost the
// connection from its table.
func (l *link) forward(p *proxiedConnection, to, from net.Conn, drop *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			l.closeConnection(p)
			return
		}
	}
}

func (l *link) closeConnection(p *proxiedConnection) {
	_ = p.client.Close()
	_ = p.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, p)
}

func (l *link) openConnections() []*proxiedConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*proxiedConnection
	for p := range l.connections {
		out = append(out, p)
	}
	return out
}

// blackholeOpen discards the bytes of the open connections in the given directions
// for good. New connections work.
func (l *link) blackholeOpen(directions ...direction) {
	for _, p := range l.openConnections() {
		for _, d := range directions {
			if d == toServer {
				p.dropToServer.Store(true)
			} else {
				p.dropToClient.Store(true)
			}
		}
	}
}

// closeOpen closes the open connections.
func (l *link) closeOpen() {
	for _, p := range l.openConnections() {
		l.closeConnection(p)
	}
}

// cut discards the bytes of open and new connections in the given directions until
// heal.
func (l *link) cut(directions ...direction) {
	l.t.Helper()
	for _, d := range directions {
		l.addToxic(toxic{Name: "cut-" + string(d), Type: "timeout", Stream: d})
	}
}

// delay adds latency to a direction until heal.
func (l *link) delay(d direction, latency time.Duration) {
	l.t.Helper()
	l.addToxic(toxic{Name: "delay-" + string(d), Type: "latency", Stream: d, Attributes: toxicAttributes{Latency: int(latency.Milliseconds())}})
}

// throttle limits the rate of a direction, in KB/s, until heal.
func (l *link) throttle(d direction, kilobytesPerSecond int) {
	l.t.Helper()
	l.addToxic(toxic{Name: "throttle-" + string(d), Type: "bandwidth", Stream: d, Attributes: toxicAttributes{Rate: kilobytesPerSecond}})
}

func (l *link) addToxic(x toxic) {
	l.t.Helper()
	b, err := json.Marshal(x)
	if err != nil {
		l.t.Fatal(err)
	}
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(string(b))); err != nil {
		l.t.Fatal(err)
	}
}

// heal removes all faults but those of blackholeOpen, which are permanent.
// Connections that were cut are closed.
func (l *link) heal() {
	l.proxy.Toxics.ResetToxics(l.t.Context())
}

// TestLink checks the faults that a link injects.
func TestLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go serveEcho(listener)
	l := newLink(t, "echo", listener.Addr().(*net.TCPAddr).AddrPort())
	old := dialLink(t, l)
	if !echoes(old) {
		t.Fatal("an open connection does not echo")
	}
	l.blackholeOpen(toClient)
	if echoes(old) {
		t.Error("a blackholed connection echoes")
	}
	if !echoes(dialLink(t, l)) {
		t.Error("a new connection after blackholeOpen does not echo")
	}
	l.cut(toServer)
	if echoes(dialLink(t, l)) {
		t.Error("a cut link echoes")
	}
	l.heal()
	l.delay(toClient, 50*time.Millisecond)
	l.throttle(toServer, 100)
	start := time.Now()
	if !echoes(dialLink(t, l)) || time.Since(start) < 50*time.Millisecond {
		t.Error("a delayed link does not echo, or echoes too early")
	}
	l.heal()
	again := dialLink(t, l)
	if !echoes(again) {
		t.Error("a healed link does not echo")
	}
	l.closeOpen()
	if echoes(again) {
		t.Error("a closed connection echoes")
	}
}

func serveEcho(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

func dialLink(t *testing.T, l *link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether a byte sent on a connection comes back within 200 ms.
func echoes(c net.Conn) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}
