package transport

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// callerBuffer is the size of the buffer of a caller that reads nothing, and maxUnsent the
	// most that a server can write to it. The system may double the size of each buffer.
	callerBuffer = 32 << 10
	maxUnsent    = 4 * (callerWriteBytes + callerBuffer)
	// unsentTime is how long the server writes.
	unsentTime = 500 * time.Millisecond
)

// TestSlowCaller guards against callers that read nothing, for each of which megabytes of
// its answer wait in the buffers of the system.
func TestSlowCaller(t *testing.T) {
	var written atomic.Int64
	server := NewCallersServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 4<<10); ; {
			n, err := w.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(callerBuffer); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(unsentTime)
	if n := written.Load(); n == 0 || n > maxUnsent {
		t.Errorf("%d bytes were written to a caller that reads nothing, at most %d wanted", n, maxUnsent)
	}
}
