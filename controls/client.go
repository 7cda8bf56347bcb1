// Package controls is the side of every other process towards control: calls
// with failover between the control hosts, a local view kept by list and
// watch, and the announcement that renews the process's lease.
package controls

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

const (
	// callTimeout bounds one try at one control host.
	callTimeout = 2 * time.Second
	// patience bounds all tries of a call; it covers an election.
	patience = 4 * time.Second
	// roundPause is the time between two rounds.
	roundPause = 100 * time.Millisecond
)

// Client calls control. It is safe for concurrent use.
type Client struct {
	http *http.Client
	opts []connect.ClientOption

	mu sync.Mutex
	// seeds are the control hosts of the settings, and learned those that
	// control named.
	seeds   []netip.AddrPort
	learned []netip.AddrPort
	// hosts are all of them, those that control named first.
	hosts []host
	// at is the address of the host that answered last.
	at netip.AddrPort
}

// host is one control host.
type host struct {
	address netip.AddrPort
	client  controlv1connect.ControlServiceClient
}

// NewClient returns a client for a list of control hosts.
func NewClient(h *http.Client, addresses []netip.AddrPort, opts ...connect.ClientOption) *Client {
	c := &Client{http: h, opts: opts}
	c.Seed(addresses)
	return c
}

// Seed takes in the control hosts of the settings.
func (c *Client) Seed(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(addresses)
	c.merge()
}

// Learn takes in the control hosts that control named.
func (c *Client) Learn(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addresses) == 0 || slices.Equal(addresses, c.learned) {
		return
	}
	c.learned = slices.Clone(addresses)
	c.merge()
}

// merge lists each host once, and keeps the clients that there are.
func (c *Client) merge() {
	var out []host
	for _, a := range slices.Concat(c.learned, c.seeds) {
		if slices.ContainsFunc(out, func(h host) bool { return h.address == a }) {
			continue
		}
		i := slices.IndexFunc(c.hosts, func(h host) bool { return h.address == a })
		if i >= 0 {
			out = append(out, c.hosts[i])
			continue
		}
		out = append(out, host{address: a, client: controlv1connect.NewControlServiceClient(c.http, transport.URL(a), c.opts...)})
	}
	c.hosts = out
}

// current returns the host to try next, and the number of hosts.
func (c *Client) current() (host, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.address == c.at {
			return h, len(c.hosts)
		}
	}
	return c.hosts[0], len(c.hosts)
}

// pick returns the host of a number, which may be any.
func (c *Client) pick(n int) host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[n%len(c.hosts)]
}

// NoAnswerError reports that no control host gave an answer that counts. It is
// a type of its own as errorx's wrappers hide their cause from errors.As.
type NoAnswerError struct {
	// Cause is the error of the last try.
	Cause error
}

// Error gives the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no control host answered: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

// step is one try of a call at one control host.
type step func(ctx context.Context, p controlv1connect.ControlServiceClient) error

// each tries a call at the control hosts in turn until one gives an answer
// that another would give as well. Every call of the service may be repeated.
func (c *Client) each(ctx context.Context, s step) error {
	var last error
	for start := time.Now(); ; {
		at, n := c.current()
		for range n {
			err := try(ctx, at.client, s)
			if err == nil || !elsewhere(err) {
				return err
			}
			last = err
			at = c.next(at, err)
		}
		if time.Since(start) > patience || !clock.Pause(ctx, roundPause) {
			break
		}
	}
	return &NoAnswerError{Cause: last}
}

// next returns the host to try after one has failed: the leader, if the failed
// one named it.
func (c *Client) next(failed host, err error) host {
	leader, e := netip.ParseAddrPort(Reason(err).GetLeaderAddress())
	c.mu.Lock()
	defer c.mu.Unlock()
	after := 0
	for i, h := range c.hosts {
		if e == nil && h.address == leader {
			c.at = leader
			return h
		}
		if h.address == failed.address {
			after = (i + 1) % len(c.hosts)
		}
	}
	if c.at == failed.address || !c.at.IsValid() {
		c.at = c.hosts[after].address
	}
	return c.hosts[after]
}

func try(ctx context.Context, p controlv1connect.ControlServiceClient, s step) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s(ctx, p)
}

// elsewhere reports whether another control host may answer.
func elsewhere(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeInternal, connect.CodeAborted:
		return true
	}
	return false
}

// Reason returns the typed refusal that an error of control carries, or nil.
func Reason(err error) *controlv1.Refusal {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		v, e := d.Value()
		if r, ok := v.(*controlv1.Refusal); e == nil && ok {
			return r
		}
	}
	return nil
}

// Submit submits a document.
func (c *Client) Submit(ctx context.Context, r *controlv1.SubmitRequest) (*controlv1.SubmitResponse, error) {
	var out *controlv1.SubmitResponse
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.Submit(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// Approve records an approval.
func (c *Client) Approve(ctx context.Context, r *controlv1.ApproveRequest) (*controlv1.ApproveResponse, error) {
	var out *controlv1.ApproveResponse
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.Approve(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// Promote moves an approved document to another environment.
func (c *Client) Promote(ctx context.Context, r *controlv1.PromoteRequest) (*controlv1.PromoteResponse, error) {
	var out *controlv1.PromoteResponse
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.Promote(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// History returns the accepted documents of an environment, oldest first.
func (c *Client) History(ctx context.Context, environment string) ([]*controlv1.Document, error) {
	var out []*controlv1.Document
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.History(ctx, connect.NewRequest(&controlv1.HistoryRequest{Environment: environment}))
		if err != nil {
			return err
		}
		out = res.Msg.GetDocuments()
		return nil
	})
	return out, err
}

// List returns the items of a range at one revision.
func (c *Client) List(ctx context.Context, r *controlv1.ListRequest) (*controlv1.ListResponse, error) {
	var out *controlv1.ListResponse
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.List(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// Announce joins or renews a member.
func (c *Client) Announce(ctx context.Context, r *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	var out *controlv1.AnnounceResponse
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.Announce(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// Leave marks a member as leaving, or removes it.
func (c *Client) Leave(ctx context.Context, r *controlv1.LeaveRequest) error {
	return c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		_, err := p.Leave(ctx, connect.NewRequest(r))
		return err
	})
}

// BeginOperation records a non-idempotent call before its dispatch.
func (c *Client) BeginOperation(ctx context.Context, o *controlv1.Operation) (*controlv1.BeginOperationResponse, error) {
	var out *controlv1.BeginOperationResponse
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.BeginOperation(ctx, connect.NewRequest(&controlv1.BeginOperationRequest{Operation: o}))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// FinishOperation records the outcome of a dispatched call.
func (c *Client) FinishOperation(ctx context.Context, o *controlv1.Operation) (*controlv1.Operation, error) {
	var out *controlv1.Operation
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.FinishOperation(ctx, connect.NewRequest(&controlv1.FinishOperationRequest{Operation: o}))
		if err != nil {
			return err
		}
		out = res.Msg.GetOperation()
		return nil
	})
	return out, err
}

// AddStrikes counts a crash against each content that was in flight.
func (c *Client) AddStrikes(ctx context.Context, r *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error) {
	var out []*controlv1.Strikes
	err := c.each(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.AddStrikes(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg.GetStrikes()
		return nil
	})
	return out, err
}
