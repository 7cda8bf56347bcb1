package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// PartialEventError reports a stream that ended within an event.
type PartialEventError struct {
	// Bytes is the length of the part of the event that was received.
	Bytes int
}

// Error returns a message with the length received.
func (e *PartialEventError) Error() string {
	return fmt.Sprintf("stream ended after %d bytes of an event", e.Bytes)
}

// EventTooLongError reports an event that exceeds maxEventBytes.
type EventTooLongError struct{}

// Error returns a message with the limit.
func (*EventTooLongError) Error() string {
	return fmt.Sprintf("event of more than %d bytes", maxEventBytes)
}

// eventReader reads whole events from a text/event-stream body (WHATWG HTML,
// "Server-sent events").
type eventReader struct {
	source *bufio.Reader
	// event holds the bytes of the current event, including its blank line.
	event []byte
	// id is the ID of the last whole event that had one, or the one given to
	// newEventReader.
	id string
}

func newEventReader(r io.Reader, lastEvent string) *eventReader {
	return &eventReader{source: bufio.NewReader(r), id: lastEvent}
}

// next returns the next whole event. The error is io.EOF after the last one,
// a *PartialEventError where the stream ended within an event, and a
// *EventTooLongError for one above the limit. The bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	e.event = e.event[:0]
	id := e.id
	for {
		line, err := e.source.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case len(e.event) > maxEventBytes:
			return nil, &EventTooLongError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return nil, &PartialEventError{Bytes: len(e.event)}
		case err != nil:
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(line) == 0 {
			e.id = id
			return e.event, nil
		}
	}
}
