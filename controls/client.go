// Package controls contains the client of the control hosts, used by every other
// process: calls with failover between the hosts, a local view kept current by
// list and watch, and the announcements that renew the process's lease. The
// control process itself is in package control.
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
	"google.golang.org/protobuf/proto"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

const (
	// attemptTimeout bounds one attempt of a call at one control host.
	attemptTimeout = 2 * time.Second
	// minSubmitRate is the number of bytes of a document in a second that a control host
	// takes and replicates at the least. An attempt to submit may last longer by this.
	minSubmitRate = 1 << 20
	// retryTimeout is the time after which a call starts no further round of
	// attempts at all hosts. It covers an election.
	retryTimeout = 4 * time.Second
	// roundInterval is the time between two rounds.
	roundInterval = 100 * time.Millisecond
)

// Client calls the control service and fails over between the control hosts. It
// is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	options    []connect.ClientOption

	mu sync.Mutex
	// seeds are the control hosts in the settings, and reported those that control
	// reported.
	seeds    []netip.AddrPort
	reported []netip.AddrPort
	// hosts are the reported hosts, followed by the other seeds.
	hosts []host
	// preferred is the address of the host that calls try first. It moves to the
	// leader or to the next host when a host fails.
	preferred netip.AddrPort
}

// host is one control host.
type host struct {
	address     netip.AddrPort
	client      controlv1connect.ControlServiceClient
	allocations controlv1connect.AllocationServiceClient
	streams     controlv1connect.StreamServiceClient
}

// NewClient returns a client for a list of control hosts.
func NewClient(h *http.Client, addresses []netip.AddrPort, options ...connect.ClientOption) *Client {
	c := &Client{httpClient: h, options: options}
	c.SetSeeds(addresses)
	return c
}

// SetSeeds replaces the control hosts that the settings list.
func (c *Client) SetSeeds(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(addresses)
	c.mergeHosts()
}

// SetReportedHosts replaces the control hosts that control reported. An empty
// list changes nothing.
func (c *Client) SetReportedHosts(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addresses) == 0 || slices.Equal(addresses, c.reported) {
		return
	}
	c.reported = slices.Clone(addresses)
	c.mergeHosts()
}

// mergeHosts rebuilds hosts without duplicates, and keeps the existing clients.
func (c *Client) mergeHosts() {
	var out []host
	for _, a := range slices.Concat(c.reported, c.seeds) {
		if slices.ContainsFunc(out, func(h host) bool { return h.address == a }) {
			continue
		}
		i := slices.IndexFunc(c.hosts, func(h host) bool { return h.address == a })
		if i >= 0 {
			out = append(out, c.hosts[i])
			continue
		}
		out = append(out, host{
			address: a, client: controlv1connect.NewControlServiceClient(c.httpClient, transport.URL(a), c.options...),
			allocations: controlv1connect.NewAllocationServiceClient(c.httpClient, transport.URL(a), c.options...),
			streams:     controlv1connect.NewStreamServiceClient(c.httpClient, transport.URL(a), c.options...),
		})
	}
	c.hosts = out
}

// preferredHost returns the host to try first, and the number of hosts.
func (c *Client) preferredHost() (host, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.address == c.preferred {
			return h, len(c.hosts)
		}
	}
	return c.hosts[0], len(c.hosts)
}

// hostByIndex returns a host for any index from zero, modulo the number of hosts.
func (c *Client) hostByIndex(i int) host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i%len(c.hosts)]
}

// NoAnswerError reports that no control host gave a conclusive answer. It is a
// type of its own because the wrappers of errorx hide their cause from
// errors.As.
type NoAnswerError struct {
	// Cause is the error of the last attempt.
	Cause error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no control host answered: %v", e.Cause)
}

func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

// callFunc makes one attempt of a call at one control host.
type callFunc func(ctx context.Context, p controlv1connect.ControlServiceClient) error

// callAny tries a call at the control hosts in turn until one of them gives a
// conclusive answer, which may be an error that every host would give. Every
// call of the service may be repeated. The error is a *NoAnswerError if no host
// gave a conclusive answer.
func (c *Client) callAny(ctx context.Context, f callFunc) error {
	return c.callAnyWithin(ctx, attemptTimeout, f)
}

// callAnyWithin does the same with another bound for one attempt.
func (c *Client) callAnyWithin(ctx context.Context, timeout time.Duration, f callFunc) error {
	var lastErr error
	for start := time.Now(); ; {
		h, n := c.preferredHost()
		for range n {
			err := callHost(ctx, timeout, h.client, f)
			if err == nil || !retryable(err) {
				return err
			}
			lastErr = err
			h = c.nextHost(h, err)
		}
		if time.Since(start) > retryTimeout || !clock.Sleep(ctx, roundInterval) {
			break
		}
	}
	return &NoAnswerError{Cause: lastErr}
}

// nextHost returns the host to try after a failed one: the leader if the error
// names one, otherwise the next host in the list. It updates preferred. A leader that
// is not in the list joins it.
func (c *Client) nextHost(failed host, err error) host {
	leader, e := netip.ParseAddrPort(RefusalFrom(err).GetLeaderAddress())
	c.mu.Lock()
	defer c.mu.Unlock()
	if e == nil && !c.hasHost(leader) {
		c.reported = append(slices.Clone(c.reported), leader)
		c.mergeHosts()
	}
	next := 0
	for i, h := range c.hosts {
		if e == nil && h.address == leader {
			c.preferred = leader
			return h
		}
		if h.address == failed.address {
			next = (i + 1) % len(c.hosts)
		}
	}
	if c.preferred == failed.address || !c.preferred.IsValid() {
		c.preferred = c.hosts[next].address
	}
	return c.hosts[next]
}

// hasHost reports whether a host is one of the control hosts. c.mu must be held.
func (c *Client) hasHost(a netip.AddrPort) bool {
	return slices.ContainsFunc(c.hosts, func(h host) bool { return h.address == a })
}

func callHost(ctx context.Context, timeout time.Duration, client controlv1connect.ControlServiceClient, f callFunc) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, client)
}

// retryable reports whether another control host may answer instead.
func retryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeInternal, connect.CodeAborted:
		return true
	}
	return false
}

// RefusalFrom returns the refusal in the details of an error from control, or nil.
func RefusalFrom(err error) *controlv1.Refusal {
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

// Submit submits a document. The response is the recorded one if the same
// document was accepted before.
func (c *Client) Submit(ctx context.Context, r *controlv1.SubmitRequest) (*controlv1.SubmitResponse, error) {
	var out *controlv1.SubmitResponse
	timeout := attemptTimeout + time.Duration(proto.Size(r))*time.Second/minSubmitRate
	err := c.callAnyWithin(ctx, timeout, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.Submit(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// Approve records the approval of a document.
func (c *Client) Approve(ctx context.Context, r *controlv1.ApproveRequest) (*controlv1.ApproveResponse, error) {
	var out *controlv1.ApproveResponse
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
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
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
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
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.History(ctx, connect.NewRequest(&controlv1.HistoryRequest{Environment: environment}))
		if err != nil {
			return err
		}
		out = res.Msg.GetDocuments()
		return nil
	})
	return out, err
}

// List returns the items under a prefix at one revision.
func (c *Client) List(ctx context.Context, r *controlv1.ListRequest) (*controlv1.ListResponse, error) {
	var out *controlv1.ListResponse
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.List(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg
		return nil
	})
	return out, err
}

// Announce adds a member, changes it, or renews its lease.
func (c *Client) Announce(ctx context.Context, r *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	var out *controlv1.AnnounceResponse
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
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
	return c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		_, err := p.Leave(ctx, connect.NewRequest(r))
		return err
	})
}

// BeginOperation records a non-idempotent call before its dispatch.
func (c *Client) BeginOperation(ctx context.Context, o *controlv1.Operation) (*controlv1.BeginOperationResponse, error) {
	var out *controlv1.BeginOperationResponse
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
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
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.FinishOperation(ctx, connect.NewRequest(&controlv1.FinishOperationRequest{Operation: o}))
		if err != nil {
			return err
		}
		out = res.Msg.GetOperation()
		return nil
	})
	return out, err
}

// AddStrikes counts a crash against each content that was in flight, or makes
// another change to the strikes of these contents. It returns the strikes that
// remain.
func (c *Client) AddStrikes(ctx context.Context, r *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error) {
	var out []*controlv1.Strikes
	err := c.callAny(ctx, func(ctx context.Context, p controlv1connect.ControlServiceClient) error {
		res, err := p.AddStrikes(ctx, connect.NewRequest(r))
		if err != nil {
			return err
		}
		out = res.Msg.GetStrikes()
		return nil
	})
	return out, err
}
