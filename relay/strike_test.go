package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/datadriven"

	"ebonyreel/transport"
)

// TestFailedKind checks which failed attempts are reported as possible crashes. Those of
// callers who left, or whose request was still being written, must not be left out.
func TestFailedKind(t *testing.T) {
	failures := map[string]error{
		"eof": io.EOF, "cut": io.ErrUnexpectedEOF, "reset": fmt.Errorf("read: %w", syscall.ECONNRESET),
		"pipe": &net.OpError{Op: "write", Err: syscall.EPIPE}, "closed": &net.OpError{Op: "write", Err: net.ErrClosed},
		"garbage": errors.New("malformed chunked encoding"), "malformed": &MalformedAnswerError{}, "stall": &StallError{},
		"deadline": context.DeadlineExceeded, "dial": &transport.DialError{Cause: syscall.ECONNREFUSED}, "full": &NotRunError{Status: 503},
		"status": &StatusError{Status: 500}, "caller": &CallerGoneError{Cause: syscall.EPIPE},
	}
	datadriven.RunTest(t, "testdata/failures", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		for _, a := range d.CmdArgs {
			err, ok := failures[a.Key]
			if !ok {
				t.Fatalf("unknown failure %s", a.Key)
			}
			out += fmt.Sprintf("%s: %s\n", a.Key, failedKind(err, d.Cmd == "left"))
		}
		return out
	})
}
