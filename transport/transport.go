// Package transport makes the HTTP servers and clients for the traffic between
// processes: HTTP/2, with TLS if certificates are given. Both sides send pings, so
// that a dead connection is detected and replaced.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// pingIdleTime is how long a connection receives no frame before a ping is
	// sent, and pingTimeout is how long the response to the ping may take.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
	// dialTimeout is many round trips between failure domains. It is short since
	// a host without power never answers, and another host can take the call.
	dialTimeout = 300 * time.Millisecond
	// endpointDialTimeout is shorter than dialTimeout, as another endpoint can
	// take the request. Waiting longer does not help against a lost packet, which
	// TCP sends again only after a second.
	endpointDialTimeout = 250 * time.Millisecond
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// callerWriteBytes is the size of the system's buffer for what a caller has not read.
	callerWriteBytes = 64 << 10
	// maxStreams is the number of concurrent streams that a connection allows.
	maxStreams = 10_000
)

// http2Config returns the HTTP/2 settings of servers and clients.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingIdleTime,
		PingTimeout:          pingTimeout,
	}
}

// DialError reports that no connection was made, so that the call was never sent.
type DialError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *DialError) Error() string {
	return "connect to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// dial connects to an address without TLS. The error is a *DialError.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	return c, nil
}

// DialEndpoint connects to an endpoint without TLS. The error is a *DialError.
func DialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, endpointDialTimeout)
	defer cancel()
	return dial(ctx, network, address)
}

// NewClient returns a client for RPCs between processes, without TLS.
func NewClient() *http.Client {
	return NewSecureClient(nil)
}

// NewSecureClient returns a client for RPCs between processes. Its connections use
// TLS unless the certificates are nil. URLs begin with http:// in both cases.
func NewSecureClient(c *Certificates) *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	t := &http.Transport{Protocols: p, HTTP2: http2Config(), DialContext: dial}
	if c != nil {
		t.DialContext = c.dial
	}
	return &http.Client{Transport: t}
}

// CloneClient returns a client with the same settings, which shares no connection with
// the other one. It closes connections that are idle for a time, unless that is zero.
func CloneClient(c *http.Client, idleTimeout time.Duration) *http.Client {
	out := *c
	if t, ok := c.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.IdleConnTimeout = idleTimeout
		out.Transport = t
	}
	return &out
}

// NewServer returns a server for RPCs and plain HTTP on one address. It supports
// HTTP/1.1 and HTTP/2.
func NewServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(errorCounter{}, "", 0),
	}
}

// NewCallersServer returns an HTTP/1.1 server for callers. It does not close idle
// connections.
func NewCallersServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return &http.Server{
		Handler: h, Protocols: p, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(errorCounter{}, "", 0), ConnContext: limitWriteBuffer,
	}
}

// limitWriteBuffer bounds what waits in the system for a caller that reads slowly. The
// default grows to megabytes for each connection.
func limitWriteBuffer(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		// It fails where the connection is closed, which the first read reports.
		_ = t.SetWriteBuffer(callerWriteBytes)
	}
	return ctx
}

// connectionErrors counts the log lines of servers about connection errors, such
// as failed TLS handshakes.
var connectionErrors = expvar.NewInt("ConnectionErrors")

// errorCounter counts the log lines of a server instead of writing them, as anybody
// who can reach the address could flood the log.
type errorCounter struct{}

// Write counts one line.
func (errorCounter) Write(b []byte) (int, error) {
	connectionErrors.Add(1)
	return len(b), nil
}

// Listen opens a TCP listener on an address.
func Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, errorx.Decorate(err, "listen on %s", a)
	}
	return l, nil
}

// Serve runs a server on an address without TLS until it is shut down.
func Serve(ctx context.Context, s *http.Server, a netip.AddrPort) error {
	return ServeSecure(ctx, s, a, nil)
}

// ServeSecure runs a server on an address until it is shut down. It uses TLS
// unless the certificates are nil.
func ServeSecure(ctx context.Context, s *http.Server, a netip.AddrPort, c *Certificates) error {
	l, err := Listen(ctx, a)
	if err != nil {
		return err
	}
	if c != nil {
		l = c.wrapListener(l)
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errorx.Decorate(err, "serve on %s", a)
	}
	return nil
}

// URL returns the base URL of an address, for connections with and without TLS.
func URL(a netip.AddrPort) string {
	return "http://" + a.String()
}
