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

	"ebonyreel/traces"
)

const (
	dialTimeout   = time.Second
	maxLineBytes  = 64 << 10
	statusSuccess = 2
	// decodeSilence is how long a decode stream may bring nothing.
	decodeSilence = 2500 * time.Millisecond
	// prefillLook is the time between looks whether an engine still has a
	// prompt whose answer is awaited, lookTimeout the longest of them, and
	// looksMissed how many in a row may miss it.
	prefillLook = time.Second
	lookTimeout = 500 * time.Millisecond
	looksMissed = 2
)

// Client calls one engine. It dials for each call, as an idle connection may
// have gone silent. It is safe for concurrent use.
type Client struct {
	http *http.Client
	base *sling.Sling
}

// NewClient returns a client for an engine's address.
func NewClient(a netip.AddrPort) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	h := &http.Client{Transport: &http.Transport{
		DialContext:       d.DialContext,
		DisableKeepAlives: true,
	}}
	return &Client{http: h, base: sling.New().Base("http://" + a.String())}
}

// Prefill computes the KV cache of a prompt and exports it. The error is a
// *SilentError when the engine has no such prompt and its answer does not come.
func (c *Client) Prefill(ctx context.Context, r PrefillCall) (PrefillResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.watch(ctx, r.Request, cancel)
	var out PrefillResult
	err := c.call(ctx, c.base.New().Post("/Prefill").BodyJSON(r), &out)
	return out, cause(ctx, err)
}

// watch gives a prompt up when the engine neither lists nor answers it. A
// prompt may wait and run for long, so the list is its sign of progress.
func (c *Client) watch(ctx context.Context, request string, giveUp context.CancelCauseFunc) {
	t := time.NewTicker(prefillLook)
	defer t.Stop()
	for missed := 0; missed < looksMissed; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		missed++
		if c.lists(ctx, request) {
			missed = 0
		}
	}
	giveUp(&SilentError{Request: request})
}

func (c *Client) lists(ctx context.Context, request string) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	r, err := c.Running(ctx)
	return err == nil && slices.Contains(r.Requests, request)
}

// cause prefers the silence that ended a call over the error it led to.
func cause(ctx context.Context, err error) error {
	var silent *SilentError
	if err != nil && errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	return err
}

// Import fetches a KV cache into the engine's memory.
func (c *Client) Import(ctx context.Context, r ImportCall) error {
	return c.call(ctx, c.base.New().Post("/Import").BodyJSON(r), nil)
}

// Cancel makes the engine forget a request. Its success confirms that nothing
// of the request is left.
func (c *Client) Cancel(ctx context.Context, request string) error {
	return c.call(ctx, c.base.New().Post("/Cancel").BodyJSON(CancelCall{Request: request}), nil)
}

// Running lists what the engine runs and holds.
func (c *Client) Running(ctx context.Context) (Running, error) {
	var out Running
	return out, c.call(ctx, c.base.New().Get("/Running"), &out)
}

// Load returns the engine's own report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var out Load
	return out, c.call(ctx, c.base.New().Get("/Load"), &out)
}

// Order gives the engine an order.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.call(ctx, c.base.New().Post("/Order").BodyJSON(o), nil)
}

// Decode streams tokens to a function until the end marker. The error is a
// *BrokenStreamError when the stream ends without one, and a *SilentError when
// it brings nothing for long.
func (c *Client) Decode(ctx context.Context, r DecodeCall, take func(Token) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(decodeSilence, func() { cancel(&SilentError{Request: r.Request}) })
	defer quiet.Stop()
	return cause(ctx, c.decode(ctx, r, quiet, take))
}

// decode reads a stream. The timer runs only while the engine is waited for.
func (c *Client) decode(ctx context.Context, r DecodeCall, quiet *time.Timer, take func(Token) error) error {
	res, err := c.send(ctx, c.base.New().Post("/Decode").BodyJSON(r))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	last := r.FromPosition - 1
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var t Token
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return &BrokenStreamError{Position: last}
		}
		quiet.Stop()
		if err := take(t); err != nil {
			return err
		}
		if t.End {
			return nil
		}
		last = t.Position
		quiet.Reset(decodeSilence)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &BrokenStreamError{Position: last}
}

// call sends a request and reads its whole answer into out, unless out is nil.
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
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return errorx.Decorate(err, "read the engine's answer")
	}
	return nil
}

// send sends a request and returns an answer whose status is a success.
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
	if res.StatusCode/100 == statusSuccess {
		return res, nil
	}
	_ = res.Body.Close()
	return nil, &StatusError{Path: req.URL.Path, Status: res.StatusCode}
}
