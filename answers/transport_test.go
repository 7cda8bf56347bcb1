package answers

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ebonyreel/standin/faulty"
)

const (
	// senderBuffer is the size of the sender's buffer, and maxUnread the most that it can
	// write while nobody reads. The system may double the size of each buffer.
	senderBuffer = 32 << 10
	maxUnread    = 4 * (readBufferBytes + senderBuffer)
	// readFast is the number of bytes that are read at first, and writeTime how long the
	// sender has for those that nobody reads.
	readFast  = 64 << 20
	writeTime = 500 * time.Millisecond
)

func newTestTransport(b *Budget) *Transport {
	return NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}, b)
}

// TestUnreadBytes guards against an endpoint that sends without end while the caller reads
// slowly, so that megabytes wait in the buffers of each connection.
func TestUnreadBytes(t *testing.T) {
	var written atomic.Int64
	address := faulty.Listen(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetWriteBuffer(senderBuffer)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for chunk := make([]byte, 64<<10); ; {
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := newTestTransport(&Budget{}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	// The system's buffer grows while its bytes are read fast.
	read, err := io.CopyN(io.Discard, res.Body, readFast)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(writeTime)
	if n := written.Load() - read; n > maxUnread {
		t.Errorf("%d bytes wait to be read, at most %d wanted", n, maxUnread)
	}
	_ = res.Body.Close()
}

// TestHeads checks that a head counts from its first byte until its answer is closed, and
// that one for which no memory is left is given up.
func TestHeads(t *testing.T) {
	address := faulty.Listen(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 1000)+"\r\nbody")
	})
	get := func(b *Budget) (*http.Response, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		return newTestTransport(b).RoundTrip(r)
	}
	b := &Budget{}
	res, err := get(b)
	if err != nil {
		t.Fatal(err)
	}
	if b.used < 1000*parsedLineCost {
		t.Errorf("a head of 1000 lines counts %d bytes", b.used)
	}
	_ = res.Body.Close()
	if b.used != 0 {
		t.Errorf("%d bytes count after the answer was closed", b.used)
	}
	small := &Budget{Limit: 1000 * parsedLineCost}
	res, err = get(small)
	var tooLong *TooLongError
	if !errors.As(err, &tooLong) || small.used != 0 {
		t.Errorf("a head beyond the limit: %v, %d bytes count after it", err, small.used)
	}
	if err == nil {
		_ = res.Body.Close()
	}
}

// TestUnreadRequest guards against a part of an answer that passes for the whole one. The
// endpoint answers without a length while the request is still being written, and resets
// the connection; the failed write takes the reset, so that the answer seems to end.
func TestUnreadRequest(t *testing.T) {
	datadriven.RunTest(t, "testdata/unread_requests", func(t *testing.T, d *datadriven.TestData) string {
		const calls = 30
		var bytes, pause int
		d.ScanArgs(t, "bytes", &bytes)
		d.MaybeScanArgs(t, "pause", &pause)
		read := d.HasArg("read")
		address := faulty.ListenRequests(t, func(c net.Conn, r *http.Request) {
			if read {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part of the answer")
			time.Sleep(time.Duration(pause) * time.Millisecond)
			if !read {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		whole := 0
		for range calls {
			if callUnread(t, address, bytes) == nil {
				whole++
			}
		}
		return fmt.Sprintf("%d of %d answers are whole\n", whole, calls)
	})
}

// callUnread sends a request with some bytes and reads the answer.
func callUnread(t *testing.T, to netip.AddrPort, bytes int) error {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+to.String(), strings.NewReader(strings.Repeat("x", bytes)))
	if err != nil {
		t.Fatal(err)
	}
	res, err := newTestTransport(&Budget{}).RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
