package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// issue writes a certificate for 127.0.0.1 with a lifetime from now.
func (a *authority) issue(lifetime time.Duration) {
	k := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write("private.pem", "PRIVATE KEY", private)
	a.write("certificate.pem", "CERTIFICATE", der)
}

// write replaces a file atomically, as certificate tools do.
func (a *authority) write(name, kind string, der []byte) {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) files() CertificateFiles {
	return CertificateFiles{
		Certificate: filepath.Join(a.dir, "certificate.pem"),
		PrivateKey:  filepath.Join(a.dir, "private.pem"),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

func (a *authority) open() *Certificates {
	c, err := OpenCertificates(a.files())
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

// serve starts a server that answers with the protocol of the request, and returns
// its URL.
func serve(t *testing.T, c *Certificates) string {
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.Proto)) }))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	go func() { _ = ServeSecure(context.Background(), s, a, c) }()
	t.Cleanup(func() { _ = s.Close() })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", a.String()); err == nil {
			_ = conn.Close()
			break
		}
	}
	return URL(netip.AddrPortFrom(a.Addr(), a.Port()))
}

// get makes a request over a new connection and returns the body.
func get(url string, c *Certificates) (string, error) {
	h := NewSecureClient(c)
	defer h.CloseIdleConnections()
	res, err := h.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b := make([]byte, 16)
	n, _ := res.Body.Read(b)
	return string(b[:n]), nil
}

// TestRenewal checks that no call fails under load while the certificate is renewed
// shortly before it expires. An expired certificate, a certificate of another
// authority and a client without TLS are refused, and a renewal that cannot be read
// leaves the old certificate in use.
func TestRenewal(t *testing.T) {
	a := newAuthority(t)
	const lifetime = 3 * time.Second
	a.issue(lifetime)
	url := serve(t, a.open())
	if p, err := get(url, a.open()); err != nil || p != "HTTP/2.0" {
		t.Fatalf("protocol %q, error %v; expected HTTP/2.0", p, err)
	}
	var calls, failed atomic.Int64
	var lastError atomic.Value
	var done sync.WaitGroup
	end := time.Now().Add(lifetime + 1500*time.Millisecond)
	for range 4 {
		done.Go(func() {
			c := a.open()
			for time.Now().Before(end) {
				calls.Add(1)
				if _, err := get(url, c); err != nil {
					failed.Add(1)
					lastError.Store(err)
				}
			}
		})
	}
	time.Sleep(lifetime / 2)
	a.issue(time.Hour)
	done.Wait()
	if failed.Load() > 0 || calls.Load() < 100 {
		t.Errorf("%d of %d calls failed: %v", failed.Load(), calls.Load(), lastError.Load())
	}
	a.issue(-time.Minute)
	time.Sleep(certificateCheckInterval + 100*time.Millisecond)
	var expired x509.CertificateInvalidError
	if _, err := get(url, a.open()); !errors.As(err, &expired) || expired.Reason != x509.Expired {
		t.Errorf("expired certificate not refused: %v", err)
	}
	a.issue(time.Hour)
	time.Sleep(certificateCheckInterval + 100*time.Millisecond)
	if _, err := get(url, a.open()); err != nil {
		t.Errorf("renewed certificate refused: %v", err)
	}
	other := newAuthority(t)
	other.issue(time.Hour)
	var unknown x509.UnknownAuthorityError
	if _, err := get(url, other.open()); !errors.As(err, &unknown) {
		t.Errorf("certificate of another authority not refused: %v", err)
	}
	if _, err := get(url, nil); err == nil {
		t.Error("call without TLS was answered")
	}
	if connectionErrors.Value() == 0 {
		t.Error("failed connections were not counted")
	}
	// A renewal that cannot be read leaves the old certificate in use.
	if err := os.WriteFile(a.files().Certificate, []byte("not PEM"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(certificateCheckInterval + 100*time.Millisecond)
	if _, err := get(url, &Certificates{authority: a.pool()}); err != nil {
		t.Errorf("call failed after an unreadable renewal: %v", err)
	}
	if _, err := OpenCertificates(a.files()); err == nil {
		t.Error("opened an unreadable certificate")
	}
}

// pool returns a pool that holds only this authority.
func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}
