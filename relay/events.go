package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// PartialEventError reports a stream that ended within an event.
type PartialEventError struct {
	// Bytes is the length of what came of the event.
	Bytes int
}

// Error says how much of it came.
func (e *PartialEventError) Error() string {
	return fmt.Sprintf("stream ended after %d bytes of an event", e.Bytes)
}

// LongEventError reports an event above the bound.
type LongEventError struct{}

// Error names the bound.
func (*LongEventError) Error() string {
	return fmt.Sprintf("event of more than %d bytes", maxEvent)
}

// events reads the events of a text/event-stream body (WHATWG HTML, "Server-
// sent events"), whole.
type events struct {
	from *bufio.Reader
	// event is the bytes of the current event, its blank line included.
	event []byte
	// id is the last id read.
	id string
}

func newEvents(r io.Reader, last string) *events {
	return &events{from: bufio.NewReader(r), id: last}
}

// next returns the next whole event. The error is io.EOF after the last one,
// and a *PartialEventError where the stream ended within one. The bytes hold
// until the next call.
func (e *events) next() ([]byte, error) {
	e.event = e.event[:0]
	id := e.id
	for {
		line, err := e.from.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case len(e.event) > maxEvent:
			return nil, &LongEventError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return nil, &PartialEventError{Bytes: len(e.event)}
		case err != nil:
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(v, []byte(" ")))
		}
		if len(line) == 0 {
			e.id = id
			return e.event, nil
		}
	}
}
