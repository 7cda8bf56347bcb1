package answers

import (
	"errors"
	"io"
	"slices"
	"sync"
)

const (
	// firstBytes is the size of the first buffer, which holds most answers, and chunkBytes
	// that of the others.
	firstBytes = freeBytes
	chunkBytes = 32 << 10
)

// chunk is a buffer for a part of an answer.
type chunk [chunkBytes]byte

// chunks are buffers that are used again. Endless answers would otherwise make garbage
// faster than it is collected.
var chunks = sync.Pool{New: func() any { return new(chunk) }}

// Read reads r to its end. The error is a *TooLongError where that takes more than limit
// bytes, or the answer was given up.
func (a *Answer) Read(r io.Reader, limit int) ([]byte, error) {
	if err := a.Grow(firstBytes); err != nil {
		return nil, err
	}
	first := make([]byte, firstBytes)
	n, err := readFull(r, first)
	if errors.Is(err, io.EOF) && n <= limit {
		a.complete()
		return first[:n], nil
	}
	var rest []*chunk
	defer func() {
		for _, c := range rest {
			chunks.Put(c)
		}
	}()
	length := n
	for err == nil && length <= limit {
		if err := a.Grow(chunkBytes); err != nil {
			return nil, err
		}
		c := chunks.Get().(*chunk)
		rest = append(rest, c)
		n, err = readFull(r, c[:])
		length += n
	}
	switch {
	case length > limit:
		return nil, &TooLongError{Size: int64(length)}
	case !errors.Is(err, io.EOF):
		return nil, a.cause(err)
	}
	return a.join(first, rest, length)
}

// join returns the buffers of an answer as one of its length.
func (a *Answer) join(first []byte, rest []*chunk, length int) ([]byte, error) {
	if err := a.Grow(int64(length)); err != nil {
		return nil, err
	}
	out := slices.Grow(first[:firstBytes:firstBytes], length-firstBytes)
	for _, c := range rest {
		out = append(out, c[:min(chunkBytes, length-len(out))]...)
	}
	a.release(firstBytes + int64(len(rest))*chunkBytes)
	a.complete()
	return out, nil
}

// readFull reads until a buffer is full or the reader ends. Unlike io.ReadFull it leaves an
// io.ErrUnexpectedEOF of the reader apart from its end.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}
