package faulty

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

const (
	// slowWrites is the time between two writes of a slow answer.
	slowWrites = 100 * time.Microsecond
	// heldBytes is the length of an answer that stops before its end.
	heldBytes = 60 << 10
)

// EndlessAnswer is an answer on the users' platform that takes memory until the caller
// closes.
type EndlessAnswer struct {
	Name string
	// Write answers a request, and returns once the caller closes.
	Write func(c net.Conn, r *http.Request)
}

// EndlessAnswers returns answers whose head, body or event does not end.
func EndlessAnswers() []EndlessAnswer {
	after := func(start func(r *http.Request) string, repeated string) func(net.Conn, *http.Request) {
		return func(c net.Conn, r *http.Request) {
			if _, err := c.Write([]byte(start(r))); err == nil {
				repeat(c, repeated)
			}
		}
	}
	const status = "HTTP/1.1 200 OK\r\n"
	return []EndlessAnswer{
		{"head", after(func(*http.Request) string { return status }, "X-More: more\r\n")},
		{"head of short names, slowly", writeNames(slowWrites, false)},
		{"head of short names, then silence", writeNames(0, true)},
		{"head that an error quotes", writeQuoted("Transfer-Encoding")},
		{"length that an error quotes", writeQuoted("Content-Length")},
		{"informational heads", after(func(*http.Request) string { return "" }, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")},
		{"no answer", after(func(*http.Request) string { return "" }, "a")},
		{"body", after(func(r *http.Request) string { return head(r, "text/plain") }, "a")},
		{"body, then silence", writeHeld(func(r *http.Request) string { return head(r, "text/plain") })},
		{"chunk size", after(func(r *http.Request) string {
			return strings.TrimSuffix(head(r, "text/plain"), "\r\n") + "Transfer-Encoding: chunked\r\n\r\n"
		}, "1")},
		{"event", after(func(r *http.Request) string { return head(r, "text/event-stream") + "data: " }, "a")},
		{"event, then silence", writeHeld(func(r *http.Request) string { return head(r, "text/event-stream") + "data: " })},
		{"comments", after(func(r *http.Request) string { return head(r, "text/event-stream") }, ": a\n\n")},
	}
}

// head returns the head of a success.
func head(r *http.Request, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Type: %s\r\n\r\n", r.Header.Get("X-Attempt-Id"), contentType)
}

// writeNames writes a head of short names, with a pause after each, of at most heldBytes or
// without end.
func writeNames(pause time.Duration, held bool) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		w := bufio.NewWriterSize(c, 4)
		if pause == 0 {
			w = bufio.NewWriter(c)
		}
		written, _ := fmt.Fprintf(w, "%s", strings.TrimSuffix(head(r, "text/event-stream"), "\r\n"))
		for i := 0; !held || written < heldBytes; i++ {
			n, err := fmt.Fprintf(w, "%x:\r\n", i)
			if err != nil {
				return
			}
			written += n
			time.Sleep(pause)
		}
		if held {
			_, _ = w.WriteString("\r\n")
			_ = w.Flush()
			awaitClose(c)
		}
	}
}

// writeQuoted writes a head with a long value that is not valid. An error of net/http
// quotes it.
func writeQuoted(name string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n" + name + ": " + strings.Repeat("a", heldBytes/2) + "\r\n\r\n")); err == nil {
			awaitClose(c)
		}
	}
}

// writeHeld writes the beginning of an answer, and nothing after it.
func writeHeld(start func(r *http.Request) string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		if _, err := c.Write([]byte(start(r) + strings.Repeat("a", heldBytes))); err == nil {
			awaitClose(c)
		}
	}
}

// awaitClose returns once the caller has closed a connection.
func awaitClose(c net.Conn) {
	_, _ = c.Read(make([]byte, 1))
}

// ListenRequests serves until the test ends. Each connection is answered by answer once its
// request was read, and closed after that.
func ListenRequests(t testing.TB, answer func(c net.Conn, r *http.Request)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c, r)
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}
