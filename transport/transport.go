// Package transport makes the HTTP servers and clients that join the
// processes: HTTP/2 without TLS between them, with pings in both directions so
// that a silent connection is noticed and dialled anew.
package transport

import (
	"context"
	"errors"
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
	dialTimeout = time.Second
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

// NewClient returns a client for the RPCs between processes.
func NewClient() *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   p,
		HTTP2:       pings(),
		DialContext: dial,
	}}
}

// NewServer returns a server for RPCs and plain HTTP on one address.
func NewServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		HTTP2:             pings(),
		ReadHeaderTimeout: headerTimeout,
	}
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

// Serve runs a server on an address until it is shut down.
func Serve(ctx context.Context, s *http.Server, a netip.AddrPort) error {
	l, err := Listen(ctx, a)
	if err != nil {
		return err
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
