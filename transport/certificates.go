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

// certificateCheckInterval is the shortest time between two checks for changed
// certificate files.
const certificateCheckInterval = time.Second

// CertificateFiles holds the paths of PEM files. Servers need Certificate and
// PrivateKey, clients need Authority.
type CertificateFiles struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// Certificates holds the certificates for TLS. They are read again when their
// files change, so that a renewal needs no restart. It is safe for concurrent use.
type Certificates struct {
	files CertificateFiles

	mu sync.Mutex
	// certificate and authority are the last ones that were read successfully.
	certificate *tls.Certificate
	authority   *x509.CertPool
	// modified is the latest modification time of the files when all were read.
	modified time.Time
	// checked is when the files were last checked for changes.
	checked time.Time
}

// AuthorityError reports an authority file without a certificate.
type AuthorityError struct {
	File string
}

// Error returns the path of the file.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s holds no certificate in PEM", e.File)
}

// OpenCertificates reads the files. It returns nil, which means no TLS, if no file
// is named.
func OpenCertificates(f CertificateFiles) (*Certificates, error) {
	if f == (CertificateFiles{}) {
		return nil, nil
	}
	c := &Certificates{files: f}
	if err := c.load(); err != nil {
		return nil, errorx.Decorate(err, "read certificates")
	}
	return c, nil
}

// reloadIfChanged reads the files again if they have changed. If that fails, the
// previous certificates stay in use.
func (c *Certificates) reloadIfChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= certificateCheckInterval {
		_ = c.load()
	}
}

// load reads the files if they have changed since they were last read.
func (c *Certificates) load() error {
	c.checked = time.Now()
	latest, err := c.lastModified()
	if err != nil || latest.Equal(c.modified) {
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
	c.modified = latest
	return nil
}

// lastModified returns the latest modification time of the files.
func (c *Certificates) lastModified() (time.Time, error) {
	var latest time.Time
	for _, f := range []string{c.files.Certificate, c.files.PrivateKey, c.files.Authority} {
		if f == "" {
			continue
		}
		i, err := os.Stat(f)
		if err != nil {
			return latest, err
		}
		if i.ModTime().After(latest) {
			latest = i.ModTime()
		}
	}
	return latest, nil
}

// wrapListener returns a listener that adds TLS to the connections of l.
func (c *Certificates) wrapListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c.reloadIfChanged()
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.certificate, nil
		},
	})
}

// dial connects to an address with TLS. The certificate of the server must be
// signed by the authority and name the dialled IP address. The error is a
// *DialError.
func (c *Certificates) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.reloadIfChanged()
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
