// Package transport makes the HTTP servers and clients that join the
// processes: HTTP/2 without TLS between them, with pings in both directions so
// that a silent connection is noticed and dialled anew.
package transport

import (
	"context"
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
	// pingAfter is the silence after which a ping is sent, and pingTimeout
	// how long its answer may take.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// dialTimeout is many round trips between failure domains: a host that has
	// no power answers nothing, and another one can.
	dialTimeout = 300 * time.Millisecond
	// endpointDialTimeout is shorter: another endpoint can take the request, and
	// a lost packet is sent again only after a second.
	endpointDialTimeout = 250 * time.Millisecond
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	maxStreams    = 10_000
)

func pings() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingAfter,
		PingTimeout:          pingTimeout,
	}
}

// DialError reports a call that was never sent, as no connection was made.
type DialError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *DialError) Error() string {
	return "connect to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	return c, nil
}

// DialEndpoint connects to an endpoint. The error is a *DialError.
func DialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, endpointDialTimeout)
	defer cancel()
	return dial(ctx, network, address)
}

// NewClient returns a client for the RPCs between processes, without TLS.
func NewClient() *http.Client {
	return NewSecureClient(nil)
}

// NewSecureClient returns a client for the RPCs between processes. Its
// connections use TLS unless the certificates are nil; URLs are the same.
func NewSecureClient(c *Certificates) *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	t := &http.Transport{Protocols: p, HTTP2: pings(), DialContext: dial}
	if c != nil {
		t.DialContext = c.dial
	}
	return &http.Client{Transport: t}
}

// NewServer returns a server for RPCs and plain HTTP on one address.
func NewServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		HTTP2:             pings(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(counter{}, "", 0),
	}
}

// NewCallersServer returns a server of HTTP/1.1 for callers, whose connections
// may be idle for any time.
func NewCallersServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return &http.Server{Handler: h, Protocols: p, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(counter{}, "", 0)}
}

// connectionErrors counts what servers say of connections that failed, such as
// TLS handshakes.
var connectionErrors = expvar.NewInt("ConnectionErrors")

// counter counts lines of a server's log in place of writing them: anybody who
// reaches the address can bring them on.
type counter struct{}

// Write counts one line.
func (counter) Write(b []byte) (int, error) {
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

// Serve runs a server on an address until it is shut down, without TLS.
func Serve(ctx context.Context, s *http.Server, a netip.AddrPort) error {
	return ServeSecure(ctx, s, a, nil)
}

// ServeSecure runs a server on an address until it is shut down, with TLS
// unless the certificates are nil.
func ServeSecure(ctx context.Context, s *http.Server, a netip.AddrPort, c *Certificates) error {
	l, err := Listen(ctx, a)
	if err != nil {
		return err
	}
	if c != nil {
		l = c.listener(l)
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errorx.Decorate(err, "serve on %s", a)
	}
	return nil
}

// URL returns the base URL of an address.
func URL(a netip.AddrPort) string {
	return "http://" + a.String()
}
