package engines

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"ebonyreel/traces"
)

const (
	dialTimeout   = time.Second
	maxIdle       = 64
	maxLineBytes  = 64 << 10
	idleKept      = 30 * time.Second
	statusSuccess = 2
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	http *http.Client
	base *sling.Sling
}

// NewClient returns a client for an engine's address.
func NewClient(a netip.AddrPort) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	h := &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleKept,
	}}
	return &Client{http: h, base: sling.New().Base("http://" + a.String())}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Prefill computes the KV cache of a prompt and exports it.
func (c *Client) Prefill(ctx context.Context, r PrefillCall) (PrefillResult, error) {
	var out PrefillResult
	return out, c.call(ctx, c.base.New().Post("/Prefill").BodyJSON(r), &out)
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
// *BrokenStreamError when the stream ends without one.
func (c *Client) Decode(ctx context.Context, r DecodeCall, take func(Token) error) error {
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
		if err := take(t); err != nil {
			return err
		}
		if t.End {
			return nil
		}
		last = t.Position
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
