package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"ebonyreel/answers"
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
	// event holds the bytes of the current event, including its blank line, and
	// hasFields is true where it has a field, and not only comments.
	event     []byte
	hasFields bool
	// memory accounts for the capacity of event.
	memory *answers.Answer
	// id is the ID of the last whole event that had one, or the one given to
	// newEventReader.
	id string
}

func newEventReader(r io.Reader, lastEvent string, memory *answers.Answer) *eventReader {
	return &eventReader{source: bufio.NewReader(r), id: lastEvent, memory: memory}
}

// add adds bytes to the current event. The error is an *EventTooLongError or an
// *answers.TooLongError.
func (e *eventReader) add(b []byte) error {
	if len(e.event)+len(b) > maxEventBytes {
		return &EventTooLongError{}
	}
	before := cap(e.event)
	e.event = append(e.event, b...)
	if cap(e.event) == before {
		return nil
	}
	return e.memory.Grow(int64(cap(e.event) - before))
}

// next returns the next whole event. The error is io.EOF after the last one,
// a *PartialEventError where the stream ended within an event, an *EventTooLongError for
// one above the limit, and an *answers.TooLongError where no memory is left for it.
// The bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	e.event, e.hasFields = e.event[:0], false
	id := e.id
	// continued is true where the line does not begin with what is read.
	continued := false
	for {
		line, err := e.source.ReadSlice('\n')
		if err := e.add(line); err != nil {
			return nil, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			e.hasFields = e.hasFields || !continued && line[0] != ':'
			continued = true
			continue
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return nil, &PartialEventError{Bytes: len(e.event)}
		case err != nil:
			return nil, err
		}
		if continued {
			continued = false
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		e.hasFields = e.hasFields || len(line) > 0 && line[0] != ':'
		if len(line) == 0 {
			e.id = id
			return e.event, nil
		}
	}
}
