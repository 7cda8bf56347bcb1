package control

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	"ebonyreel/controls"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/state"
	"ebonyreel/transport"
)

// noLeaderRetryInterval is the time between attempts while no control host leads.
const noLeaderRetryInterval = 50 * time.Millisecond

// Gateway carries out calls that may reach any control host, and forwards them
// to the leader where this host does not lead. It is safe for concurrent use.
type Gateway struct {
	store      *Store
	httpClient *http.Client
	options    []connect.ClientOption
	// announcements passes announcements of endpoints on.
	announcements announcementBatcher

	mu sync.Mutex
	// clients is keyed by address.
	clients map[netip.AddrPort]controlv1connect.ControlServiceClient
}

// NewGateway returns the gateway of a control host.
func NewGateway(s *Store, h *http.Client, options ...connect.ClientOption) *Gateway {
	g := &Gateway{store: s, httpClient: h, options: options, clients: map[netip.AddrPort]controlv1connect.ControlServiceClient{}}
	g.announcements.record = g.recordAnnouncements
	return g
}

// Submit checks a document and accepts it if its number is higher than that of
// the document in force. IsInvalid and IsSuperseded classify the error.
func (g *Gateway) Submit(ctx context.Context, r *controlv1.SubmitRequest) error {
	d, err := resolve(ctx, r)
	if err != nil {
		return err
	}
	command := &controlv1.Command{Kind: &controlv1.Command_Accept{Accept: d}}
	start := time.Now()
	err = g.callLeader(ctx, func(ctx context.Context) error {
		_, err := g.store.Propose(ctx, command)
		return err
	}, func(ctx context.Context, c controlv1connect.ControlServiceClient) error {
		_, err := c.Submit(ctx, connect.NewRequest(r))
		return err
	})
	if err == nil || IsSuperseded(err) {
		s := g.store.Status()
		g.store.loop.log.WithFields(logrus.Fields{
			"Environment": d.GetEnvironment(), "Number": d.GetNumber(), "Superseded": err != nil, "Leader": s.Leader, "Term": s.Term,
			"ElapsedMilliseconds": time.Since(start).Milliseconds(),
		}).Info("document acknowledged")
	}
	return err
}

// Announce adds an endpoint, changes it, or renews its lease.
func (g *Gateway) Announce(ctx context.Context, r *controlv1.AnnounceEndpointRequest) error {
	err := g.store.AnnounceEndpoint(ctx, r)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return g.announcements.announce(ctx, r)
	}
	return err
}

// recordAnnouncements records announcements at the leader and returns the result of
// each.
func (g *Gateway) recordAnnouncements(ctx context.Context, announcements []*controlv1.AnnounceEndpointRequest) ([]error, error) {
	var results []error
	err := g.callLeader(ctx, func(ctx context.Context) error {
		var err error
		results, err = g.store.AnnounceEndpoints(ctx, announcements)
		return err
	}, func(ctx context.Context, c controlv1connect.ControlServiceClient) error {
		res, err := c.AnnounceEndpoints(ctx, connect.NewRequest(&controlv1.AnnounceEndpointsRequest{Announcements: announcements}))
		if err != nil {
			return err
		}
		results = make([]error, len(announcements))
		for i, reason := range res.Msg.GetFailures() {
			if reason != "" && i < len(results) {
				results[i] = &NotRecordedError{Reason: reason}
			}
		}
		return nil
	})
	return results, err
}

// Remove ends the current lifetime of an endpoint.
func (g *Gateway) Remove(ctx context.Context, r *controlv1.RemoveEndpointRequest) error {
	return g.callLeader(ctx, func(ctx context.Context) error {
		return g.store.RemoveEndpoint(ctx, r)
	}, func(ctx context.Context, c controlv1connect.ControlServiceClient) error {
		_, err := c.RemoveEndpoint(ctx, connect.NewRequest(r))
		return err
	})
}

// CurrentDocument returns the document in force in an environment, confirmed by
// a quorum, or nil if there is none.
func (g *Gateway) CurrentDocument(ctx context.Context, environment string) (*controlv1.Document, error) {
	if err := g.store.Confirm(ctx); err != nil {
		return nil, err
	}
	return g.store.CurrentDocument(environment), nil
}

// callLeader calls local, and remote at the leader if this host does not lead.
// While there is no leader it tries again until the context ends, so the calls
// must be safe to repeat.
func (g *Gateway) callLeader(
	ctx context.Context, local func(context.Context) error, remote func(context.Context, controlv1connect.ControlServiceClient) error,
) error {
	for {
		err := local(ctx)
		var notLeader *NotLeaderError
		if !errors.As(err, &notLeader) {
			return err
		}
		if notLeader.Address.IsValid() {
			var changed *LeaderChangedError
			err = g.callRemote(ctx, notLeader.Address, remote)
			if !errors.As(err, &changed) && controls.RefusalFrom(err).GetCode() != controlv1.Refusal_CODE_NOT_LEADER {
				return err
			}
		}
		if !clock.Sleep(ctx, noLeaderRetryInterval) {
			return err
		}
	}
}

// callRemote calls remote at a leader. The call ends with a *LeaderChangedError once this
// host knows another leader, as the former one may not answer for as long as its disk is
// full.
func (g *Gateway) callRemote(ctx context.Context, leader netip.AddrPort, remote func(context.Context, controlv1connect.ControlServiceClient) error) error {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go clock.Every(call, noLeaderRetryInterval, func(time.Time) {
		if s := g.store.Status(); s.Leads || s.Address.IsValid() && s.Address != leader {
			cancel(&LeaderChangedError{Former: leader})
		}
	})
	err := remote(call, g.client(leader))
	var changed *LeaderChangedError
	if err != nil && errors.As(context.Cause(call), &changed) {
		return changed
	}
	return err
}

func (g *Gateway) client(a netip.AddrPort) controlv1connect.ControlServiceClient {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.clients[a]
	if !ok {
		c = controlv1connect.NewControlServiceClient(g.httpClient, transport.URL(a), g.options...)
		g.clients[a] = c
	}
	return c
}

// IsInvalid reports whether an error says that a document is not valid.
func IsInvalid(err error) bool {
	var check *document.CheckError
	var level *state.LevelError
	return errors.As(err, &check) || errors.As(err, &level) || controls.RefusalFrom(err).GetCode() == controlv1.Refusal_CODE_NOT_UNDERSTOOD
}

// IsSuperseded reports whether an error says that another document with the same
// number was accepted, or that one with a higher number is in force.
func IsSuperseded(err error) bool {
	var conflict *state.ConflictError
	return errors.As(err, &conflict) || controls.RefusalFrom(err).GetCode() == controlv1.Refusal_CODE_CONFLICT
}
