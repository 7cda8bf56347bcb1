package answers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// parsedByteCost and parsedLineCost estimate the memory that a byte and a line of a
	// head take once it is parsed, in bytes: each is copied, and a header is an entry of
	// a map.
	parsedByteCost = 2
	parsedLineCost = 64
	// readBufferBytes is the size of the system's buffer for bytes of an answer that
	// have arrived and were not read. The default grows to megabytes.
	readBufferBytes = 32 << 10
	// writeEndTimeout bounds the wait for the end of a request's write after its answer.
	writeEndTimeout = time.Second
	// minFinalStatus and maxFinalStatus are the first and the last status of an answer
	// (RFC 9110, section 15).
	minFinalStatus = 200
	maxFinalStatus = 599
)

// Transport is an http.RoundTripper for HTTP/1.1 that accounts for the heads of answers,
// from their first byte until the body is closed, and bounds what arrives and is not read.
type Transport struct {
	base   *http.Transport
	budget *Budget
}

// NewTransport returns a Transport that sends requests with base, whose DialContext must be
// set. The base must not be used otherwise.
func NewTransport(base *http.Transport, b *Budget) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok {
			if err = t.SetReadBuffer(readBufferBytes); err != nil {
				_ = c.Close()
				return nil, err
			}
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base: base, budget: b}
}

// RoundTrip sends a request. The error wraps a *TooLongError where the head of the answer
// was given up, and is a *InvalidStatusError for an answer whose status is none. An answer that
// ends with its connection ends with a *RequestUnsentError where its request was not
// written whole: a reset that the write met makes what was received look like the whole.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// net/http may try a second connection where a kept one turns out to be closed.
	var used *conn
	var head *Answer
	end := func() {
		if head != nil {
			used.endHead()
			head.Close()
		}
	}
	var written atomic.Pointer[requestWrite]
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Load().end(i) }, GotConn: func(i httptrace.GotConnInfo) {
		end()
		written.Store(&requestWrite{done: make(chan struct{})})
		if c, ok := i.Conn.(*conn); ok {
			used, head = c, c.beginHead(t.budget)
		}
	}}
	res, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil && !isFinal(res.StatusCode) {
		_ = res.Body.Close()
		res, err = nil, &InvalidStatusError{Status: res.StatusCode}
	}
	if err != nil || head == nil {
		end()
		return res, err
	}
	used.endHead()
	b := &body{ReadCloser: res.Body, head: head}
	if Unframed(res) {
		b.request = written.Load()
	}
	res.Body = b
	return res, nil
}

// Unframed reports whether an answer has neither a length nor chunks, so that its end is
// that of the connection.
func Unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// isFinal reports whether a status is one with which HTTP answers a request. Switching
// protocols answers none of ours.
func isFinal(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

// InvalidStatusError reports an answer whose status is none of HTTP.
type InvalidStatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("answer has status %03d", e.Status)
}

// requestWrite is the writing of a request to one connection.
type requestWrite struct {
	once sync.Once
	// done is closed at the end of the write. err may be read then.
	done chan struct{}
	err  error
}

func (w *requestWrite) end(i httptrace.WroteRequestInfo) {
	w.once.Do(func() {
		w.err = i.Err
		close(w.done)
	})
}

// wait returns the error of the write. An answer that has ended ends the write of its
// request, so that the wait is short.
func (w *requestWrite) wait() error {
	t := time.NewTimer(writeEndTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
		return &RequestUnsentError{}
	}
	if w.err != nil {
		return &RequestUnsentError{Cause: w.err}
	}
	return nil
}

// RequestUnsentError reports an answer whose request was not written whole, so that its end
// may be that of a broken connection.
type RequestUnsentError struct {
	// Cause is the error of the write, nil where it has not ended.
	Cause error
}

// Error returns a message with the cause.
func (e *RequestUnsentError) Error() string {
	if e.Cause == nil {
		return "answer ended before its request was written"
	}
	return "answer ended and its request was not written: " + e.Cause.Error()
}

// Unwrap returns io.ErrUnexpectedEOF, as for any answer that is cut off.
func (e *RequestUnsentError) Unwrap() error {
	return io.ErrUnexpectedEOF
}

// conn is a connection that accounts for what is read while it waits for a head.
type conn struct {
	net.Conn

	mu sync.Mutex
	// head is the head that is being read, or nil.
	head *Answer
}

func (c *conn) beginHead(b *Budget) *Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = b.Open(func() { _ = c.Close() })
	return c.head
}

func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = nil
}

// Read reads from the connection. What comes with the end of a head counts with it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	head := c.head
	c.mu.Unlock()
	if head == nil {
		return n, err
	}
	if err != nil {
		return n, head.cause(err)
	}
	lines := bytes.Count(b[:n], []byte{'\n'})
	if err := head.Grow(int64(n*parsedByteCost + lines*parsedLineCost)); err != nil {
		return 0, err
	}
	return n, nil
}

// body is the body of an answer. Closing it ends the accounting for the head.
type body struct {
	io.ReadCloser
	head *Answer
	// request is the writing of the request of an answer that ends with its connection, or
	// nil.
	request *requestWrite
}

// Read reads from the body. The error is a *TooLongError where the head was given up, and
// that of RoundTrip at the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.request != nil {
		if unsent := b.request.wait(); unsent != nil {
			err = unsent
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.head.complete()
	case err != nil:
		err = b.head.cause(err)
	}
	return n, err
}

// Close closes the body.
func (b *body) Close() error {
	defer b.head.Close()
	return b.ReadCloser.Close()
}
