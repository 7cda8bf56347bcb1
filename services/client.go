// Package services contains the client with which an agent calls the plain service
// beside it over HTTP. Package engines is the same for model engines.
package services

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"

	"ebonyreel/answers"
	"ebonyreel/traces"
)

const (
	// dialTimeout bounds the dialing of a connection to the service.
	dialTimeout = time.Second
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 64 << 10
	// maxContentTypeBytes bounds the type of an answer, which is kept with its body. A
	// longer one is left out.
	maxContentTypeBytes = 1 << 10
	// MaxBodyBytes bounds the body of a call and of its answer.
	MaxBodyBytes = 4 << 20
)

// Call is one HTTP call to a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is sent as the Idempotency-Key header unless it is empty.
	Key string
	// Request is sent as the X-Request-Id header.
	Request string
}

// Answer is a service's answer, whatever its status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Memory is that of the body.
	Memory *answers.Answer
}

// NotSentError reports a call that was not sent to the service.
type NotSentError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call was not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Cause
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	base   *sling.Sling
	budget *answers.Budget
}

// NewClient returns a client for the service at an address, which accounts for answers in
// a budget. Each call has a connection of its own: the standard transport sends a call
// again by itself when a kept connection turns out to be closed and the call has an
// Idempotency-Key, but a non-idempotent call must never be sent twice. Redirects are not
// followed.
func NewClient(a netip.AddrPort, b *answers.Budget) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		return c, nil
	}
	h := &http.Client{
		Transport: answers.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}, b),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return &Client{http: h, base: sling.New().Base("http://" + a.String()), budget: b}
}

// Call makes one call. The memory of the answer must be closed once it is not used any
// more. The error is a *NotSentError where it is certain that the service has not received
// the call, and an *answers.TooLongError for too long an answer.
func (c *Client) Call(ctx context.Context, r Call) (Answer, error) {
	req, err := c.request(ctx, r)
	if err != nil {
		return Answer{}, &NotSentError{Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	memory := c.budget.Open(func() { _ = res.Body.Close() })
	body, err := memory.Read(res.Body, MaxBodyBytes)
	if err != nil {
		memory.Close()
		return Answer{}, err
	}
	contentType := res.Header.Get("Content-Type")
	if len(contentType) > maxContentTypeBytes {
		contentType = ""
	}
	return Answer{Status: res.StatusCode, ContentType: contentType, Body: body, Memory: memory}, nil
}

func (c *Client) request(ctx context.Context, r Call) (*http.Request, error) {
	s := c.base.New().Path(r.Path).Body(bytes.NewReader(r.Body)).Set("X-Request-Id", r.Request)
	if r.ContentType != "" {
		s = s.Set("Content-Type", r.ContentType)
	}
	if r.Key != "" {
		s = s.Set("Idempotency-Key", r.Key)
	}
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	req.Method = r.Method
	traces.Inject(ctx, req.Header)
	return req.WithContext(ctx), nil
}
