package control

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/clock"
	"ebonyreel/controls"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/state"
	"ebonyreel/transport"
)

// electionPause is the time between tries while no control host leads.
const electionPause = 50 * time.Millisecond

// Gateway takes calls that may reach any control host, and has the leader
// carry them out. It is safe for concurrent use.
type Gateway struct {
	store *Store
	http  *http.Client
	opts  []connect.ClientOption

	mu sync.Mutex
	// clients is keyed by address.
	clients map[netip.AddrPort]controlv1connect.ControlServiceClient
}

// NewGateway returns a gateway at a control host.
func NewGateway(s *Store, h *http.Client, opts ...connect.ClientOption) *Gateway {
	return &Gateway{store: s, http: h, opts: opts, clients: map[netip.AddrPort]controlv1connect.ControlServiceClient{}}
}

// Submit checks a document and accepts it if its number is new. The error is
// understood by Invalid and Superseded.
func (g *Gateway) Submit(ctx context.Context, r *controlv1.SubmitRequest) error {
	d, err := resolve(ctx, r)
	if err != nil {
		return err
	}
	command := &controlv1.Command{Kind: &controlv1.Command_Accept{Accept: d}}
	return g.lead(ctx, func(ctx context.Context) error {
		_, err := g.store.Propose(ctx, command)
		return err
	}, func(ctx context.Context, c controlv1connect.ControlServiceClient) error {
		_, err := c.Submit(ctx, connect.NewRequest(r))
		return err
	})
}

// Announce adds, changes or renews an endpoint.
func (g *Gateway) Announce(ctx context.Context, r *controlv1.AnnounceEndpointRequest) error {
	return g.lead(ctx, func(ctx context.Context) error {
		return g.store.AnnounceEndpoint(ctx, r)
	}, func(ctx context.Context, c controlv1connect.ControlServiceClient) error {
		_, err := c.AnnounceEndpoint(ctx, connect.NewRequest(r))
		return err
	})
}

// Remove ends the current lifetime of an endpoint.
func (g *Gateway) Remove(ctx context.Context, r *controlv1.RemoveEndpointRequest) error {
	return g.lead(ctx, func(ctx context.Context) error {
		return g.store.RemoveEndpoint(ctx, r)
	}, func(ctx context.Context, c controlv1connect.ControlServiceClient) error {
		_, err := c.RemoveEndpoint(ctx, connect.NewRequest(r))
		return err
	})
}

// Newest returns the document in force, confirmed by a quorum, or nil.
func (g *Gateway) Newest(ctx context.Context, environment string) (*controlv1.Document, error) {
	if err := g.store.Confirm(ctx); err != nil {
		return nil, err
	}
	return g.store.Newest(environment), nil
}

// lead has a call carried out here if this host leads, else at the leader. It
// tries again while there is none, until the context ends. Every call may be
// repeated.
func (g *Gateway) lead(ctx context.Context, here func(context.Context) error, there func(context.Context, controlv1connect.ControlServiceClient) error) error {
	for {
		err := here(ctx)
		var not *NotLeaderError
		if !errors.As(err, &not) {
			return err
		}
		if not.Address.IsValid() {
			if err = there(ctx, g.client(not.Address)); controls.Reason(err).GetCode() != controlv1.Refusal_CODE_NOT_LEADER {
				return err
			}
		}
		if !clock.Pause(ctx, electionPause) {
			return err
		}
	}
}

func (g *Gateway) client(a netip.AddrPort) controlv1connect.ControlServiceClient {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.clients[a]
	if !ok {
		c = controlv1connect.NewControlServiceClient(g.http, transport.URL(a), g.opts...)
		g.clients[a] = c
	}
	return c
}

// Invalid reports whether an error says that a document is not valid.
func Invalid(err error) bool {
	var check *document.CheckError
	var level *state.LevelError
	return errors.As(err, &check) || errors.As(err, &level) || controls.Reason(err).GetCode() == controlv1.Refusal_CODE_NOT_UNDERSTOOD
}

// Superseded reports whether an error says that a document with the same or a
// higher number is in force.
func Superseded(err error) bool {
	var conflict *state.ConflictError
	return errors.As(err, &conflict) || controls.Reason(err).GetCode() == controlv1.Refusal_CODE_CONFLICT
}
