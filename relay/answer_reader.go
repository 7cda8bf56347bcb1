package relay

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// freeAnswerBytes is the length up to which an answer is always read, and
	// maxSharedBytes bounds what all longer answers take beyond that together. An
	// endpoint in trouble may send bytes without end.
	freeAnswerBytes = 64 << 10
	maxSharedBytes  = 8 << 20
	// answerChunkBytes is the size of one read.
	answerChunkBytes = 16 << 10
)

// AnswerTooLongError reports an answer that does not fit the memory left for answers.
type AnswerTooLongError struct {
	// Read is the number of bytes read before it was given up.
	Read int
}

// Error returns a message with the number of bytes.
func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("answer given up after %d bytes, as no memory is left for it", e.Read)
}

// answerReader reads whole answers into memory, with a bound on what all of them take
// together. The zero value has read none. It is safe for concurrent use.
type answerReader struct {
	// shared is the number of bytes above freeAnswerBytes in the answers that are
	// being read.
	shared atomic.Int64
}

// read reads an answer to its end. The returned function must be called once the
// answer is sent. The error is an *AnswerTooLongError where no memory is left.
func (a *answerReader) read(r io.Reader) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { a.shared.Add(-taken) }
	for {
		body = slices.Grow(body, answerChunkBytes)
		n, err := r.Read(body[len(body) : len(body)+answerChunkBytes])
		if len(body)+n > freeAnswerBytes {
			taken += int64(n)
			if a.shared.Add(int64(n)) > maxSharedBytes {
				return nil, release, &AnswerTooLongError{Read: len(body)}
			}
		}
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}
