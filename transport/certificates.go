package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// certificateLook is the time between looks whether the files have changed.
const certificateLook = time.Second

// CertificateFiles names PEM files. Certificate and PrivateKey are needed to
// serve; Authority is needed to call.
type CertificateFiles struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// Certificates is what TLS needs, read again from its files when they change,
// so that a renewal needs no restart. It is safe for concurrent use.
type Certificates struct {
	files CertificateFiles

	mu sync.Mutex
	// certificate and authority are the newest that could be read.
	certificate *tls.Certificate
	authority   *x509.CertPool
	changed     time.Time
	looked      time.Time
}

// AuthorityError reports a file without a certificate of an authority.
type AuthorityError struct {
	File string
}

// Error names the file.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s holds no certificate in PEM", e.File)
}

// OpenCertificates reads the files. It returns nil, which stands for no TLS,
// where none is named.
func OpenCertificates(f CertificateFiles) (*Certificates, error) {
	if f == (CertificateFiles{}) {
		return nil, nil
	}
	c := &Certificates{files: f}
	if err := c.read(); err != nil {
		return nil, errorx.Decorate(err, "read certificates")
	}
	return c, nil
}

// look reads the files again if they have changed. A renewal that can't be
// read leaves the old certificate in use.
func (c *Certificates) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.looked) >= certificateLook {
		_ = c.read()
	}
}

func (c *Certificates) read() error {
	c.looked = time.Now()
	newest, err := c.newest()
	if err != nil || newest.Equal(c.changed) {
		return err
	}
	if c.files.Certificate != "" {
		p, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.PrivateKey)
		if err != nil {
			return err
		}
		c.certificate = &p
	}
	if c.files.Authority != "" {
		b, err := os.ReadFile(c.files.Authority)
		if err != nil {
			return err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(b) {
			return &AuthorityError{File: c.files.Authority}
		}
		c.authority = pool
	}
	c.changed = newest
	return nil
}

// newest returns when the last of the files changed.
func (c *Certificates) newest() (time.Time, error) {
	var newest time.Time
	for _, f := range []string{c.files.Certificate, c.files.PrivateKey, c.files.Authority} {
		if f == "" {
			continue
		}
		i, err := os.Stat(f)
		if err != nil {
			return newest, err
		}
		if i.ModTime().After(newest) {
			newest = i.ModTime()
		}
	}
	return newest, nil
}

// listener wraps a listener with TLS.
func (c *Certificates) listener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c.look()
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.certificate, nil
		},
	})
}

// dial makes a connection with TLS: the server's certificate must be signed by
// the authority and name the IP number that was dialled. The error is a
// *DialError.
func (c *Certificates) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.look()
	c.mu.Lock()
	config := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}, RootCAs: c.authority}
	c.mu.Unlock()
	d := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: config}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	return conn, nil
}
