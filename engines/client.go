package engines

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"ebonyreel/answers"
	"ebonyreel/traces"
)

const (
	// dialTimeout bounds the dialing of a connection.
	dialTimeout = time.Second
	// maxLineBytes bounds one line of a decode stream.
	maxLineBytes = 64 << 10
	// successClass is the first digit of the HTTP statuses of a success.
	successClass = 2
	// decodeIdleTimeout is how long a decode stream may be without a token.
	decodeIdleTimeout = 2500 * time.Millisecond
	// maxHeaderBytes and maxAnswerBytes bound the head and the body of an answer that
	// is not a stream.
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 1 << 20
	// prefillCheckInterval is the time between two checks that the engine still
	// lists a prompt that it computes. prefillCheckTimeout bounds one check, and
	// maxMissedChecks failed checks in a row end the call.
	prefillCheckInterval = time.Second
	prefillCheckTimeout  = 500 * time.Millisecond
	maxMissedChecks      = 2
)

// Client calls one engine. It dials for each call, as an idle connection may be
// dead. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	base   *sling.Sling
	budget *answers.Budget
}

// NewClient returns a client for an engine's address, which accounts for answers in a
// budget.
func NewClient(a netip.AddrPort, b *answers.Budget) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	h := &http.Client{Transport: answers.NewTransport(&http.Transport{
		DialContext:            d.DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}, b)}
	return &Client{http: h, base: sling.New().Base("http://" + a.String()), budget: b}
}

// Prefill computes the KV cache of a prompt and exports it. The error is a
// *StallError when no response comes and the engine no longer lists the prompt.
func (c *Client) Prefill(ctx context.Context, r PrefillCall) (PrefillResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.watchPrefill(ctx, r.Request, cancel)
	var out PrefillResult
	err := c.call(ctx, c.base.New().Post("/Prefill").BodyJSON(r), &out)
	return out, stallCause(ctx, err)
}

// watchPrefill cancels a prefill when the engine does not list the prompt in
// maxMissedChecks checks in a row. The response itself has no timeout, as a
// prompt may wait and run for a long time.
func (c *Client) watchPrefill(ctx context.Context, request string, cancel context.CancelCauseFunc) {
	t := time.NewTicker(prefillCheckInterval)
	defer t.Stop()
	for missed := 0; missed < maxMissedChecks; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		missed++
		if c.isRunning(ctx, request) {
			missed = 0
		}
	}
	cancel(&StallError{Request: request})
}

// isRunning reports whether the engine lists a request as running.
func (c *Client) isRunning(ctx context.Context, request string) bool {
	ctx, cancel := context.WithTimeout(ctx, prefillCheckTimeout)
	defer cancel()
	r, err := c.Running(ctx)
	return err == nil && slices.Contains(r.Requests, request)
}

// stallCause returns the *StallError that cancelled a call, if there is one,
// in place of the error that the cancellation led to.
func stallCause(ctx context.Context, err error) error {
	var stall *StallError
	if err != nil && errors.As(context.Cause(ctx), &stall) {
		return stall
	}
	return err
}

// Import makes the engine fetch a KV cache into its memory.
func (c *Client) Import(ctx context.Context, r ImportCall) error {
	return c.call(ctx, c.base.New().Post("/Import").BodyJSON(r), nil)
}

// Cancel makes the engine drop a request. Success confirms that the engine holds
// nothing of the request any more.
func (c *Client) Cancel(ctx context.Context, request string) error {
	return c.call(ctx, c.base.New().Post("/Cancel").BodyJSON(CancelCall{Request: request}), nil)
}

// Running returns the requests and exports that the engine holds.
func (c *Client) Running(ctx context.Context) (Running, error) {
	var out Running
	return out, c.call(ctx, c.base.New().Get("/Running"), &out)
}

// Load returns the engine's report of its load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var out Load
	return out, c.call(ctx, c.base.New().Get("/Load"), &out)
}

// Order sends the engine an order to change its role, version or adapters.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.call(ctx, c.base.New().Post("/Order").BodyJSON(o), nil)
}

// Decode passes tokens to a function until the end marker. The error is a
// *BrokenStreamError when the stream ends without one, and a *StallError when
// no token comes within decodeIdleTimeout.
func (c *Client) Decode(ctx context.Context, r DecodeCall, handle func(Token) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(decodeIdleTimeout, func() { cancel(&StallError{Request: r.Request}) })
	defer idleTimer.Stop()
	return stallCause(ctx, c.readStream(ctx, r, idleTimer, handle))
}

// readStream reads a decode stream. The timer runs only while it waits for the
// engine.
func (c *Client) readStream(ctx context.Context, r DecodeCall, idleTimer *time.Timer, handle func(Token) error) error {
	res, err := c.send(ctx, c.base.New().Post("/Decode").BodyJSON(r))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	lastPosition := r.FromPosition - 1
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var t Token
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return &BrokenStreamError{Position: lastPosition}
		}
		idleTimer.Stop()
		if err := handle(t); err != nil {
			return err
		}
		if t.End {
			return nil
		}
		lastPosition = t.Position
		idleTimer.Reset(decodeIdleTimeout)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &BrokenStreamError{Position: lastPosition}
}

// call sends a request and decodes the response into out, or discards the
// response if out is nil.
func (c *Client) call(ctx context.Context, s *sling.Sling, out any) error {
	res, err := c.send(ctx, s)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if out == nil {
		_, err := io.Copy(io.Discard, res.Body)
		return err
	}
	// The whole body is read, as an answer may break off after its last object.
	memory := c.budget.Open(func() { _ = res.Body.Close() })
	defer memory.Close()
	b, err := memory.Read(res.Body, maxAnswerBytes)
	if err == nil {
		err = json.Unmarshal(b, out)
	}
	if err != nil {
		return errorx.Decorate(err, "read the engine's answer")
	}
	return nil
}

// send sends a request and returns the response. The error is a *StatusError
// unless the status is a success.
func (c *Client) send(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	traces.Inject(ctx, req.Header)
	res, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 == successClass {
		return res, nil
	}
	_ = res.Body.Close()
	return nil, &StatusError{Path: req.URL.Path, Status: res.StatusCode}
}
