// Package control implements the process that stores the environment documents,
// the membership, the operation records and the strikes, replicates them
// between the control hosts, and serves lists and watches of them. The client for
// it, which every other process uses, is in package controls.
package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/access"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

const (
	// MemberLease is how long a member stays after its last announcement.
	MemberLease = 3 * time.Second
	// progressInterval is the time between progress marks on an idle watch that asks
	// for no other, and minProgressInterval the least that one may ask for.
	progressInterval    = time.Second
	minProgressInterval = 100 * time.Millisecond
	// contactCheckInterval is the time between checks that the host has contact
	// with the leader and is not behind it.
	contactCheckInterval = 200 * time.Millisecond
)

// Server serves the control service.
type Server struct {
	store *Store
}

// NewServer returns the control service of a store.
func NewServer(s *Store) *Server {
	return &Server{store: s}
}

// Submit checks and resolves a document, and accepts it if its number is higher
// than that of the document in force.
func (s *Server) Submit(ctx context.Context, r *connect.Request[controlv1.SubmitRequest]) (*connect.Response[controlv1.SubmitResponse], error) {
	d, err := resolve(ctx, r.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	res, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Accept{Accept: d}})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res.(*controlv1.SubmitResponse)), nil
}

// resolve parses a submitted document, fills in its defaults and computes its
// digest.
func resolve(ctx context.Context, r *controlv1.SubmitRequest) (*controlv1.Document, error) {
	d, err := document.Parse(r.GetDocument())
	if err != nil {
		return nil, err
	}
	b, digest, err := d.Resolved()
	if err != nil {
		return nil, err
	}
	return &controlv1.Document{
		Environment: r.GetEnvironment(),
		Number:      d.Number,
		Digest:      digest,
		Resolved:    b,
		Submitter:   access.HolderName(ctx, r.GetSubmitter()),
		Source:      r.GetSource(),
	}, nil
}

// Approve records the approval of a document.
func (s *Server) Approve(ctx context.Context, r *connect.Request[controlv1.ApproveRequest]) (*connect.Response[controlv1.ApproveResponse], error) {
	r.Msg.Approver = access.HolderName(ctx, r.Msg.GetApprover())
	res, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Approve{Approve: r.Msg}})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res.(*controlv1.ApproveResponse)), nil
}

// Promote accepts the bytes of an approved document in another environment.
func (s *Server) Promote(ctx context.Context, r *connect.Request[controlv1.PromoteRequest]) (*connect.Response[controlv1.PromoteResponse], error) {
	r.Msg.Submitter = access.HolderName(ctx, r.Msg.GetSubmitter())
	res, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Promote{Promote: r.Msg}})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res.(*controlv1.PromoteResponse)), nil
}

// History returns the accepted documents of an environment, oldest first.
func (s *Server) History(ctx context.Context, r *connect.Request[controlv1.HistoryRequest]) (*connect.Response[controlv1.HistoryResponse], error) {
	if err := s.store.Confirm(ctx); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&controlv1.HistoryResponse{Documents: s.store.Documents(r.Msg.GetEnvironment())}), nil
}

// List returns the items under a prefix at one revision, after a quorum has
// confirmed that the state is current.
func (s *Server) List(ctx context.Context, r *connect.Request[controlv1.ListRequest]) (*connect.Response[controlv1.ListResponse], error) {
	if err := s.store.Confirm(ctx); err != nil {
		return nil, toConnectError(err)
	}
	items, rev := s.store.List(state.Range{Prefix: r.Msg.GetPrefix(), ExcludedPrefix: r.Msg.GetWithout()})
	return connect.NewResponse(&controlv1.ListResponse{Revision: rev, Items: items}), nil
}

// Watch streams the events under a prefix from a revision on. It sends a message
// at least once each progress interval; one without events is a progress mark.
// The stream ends with an error when the host loses contact with the leader or falls
// behind it.
func (s *Server) Watch(ctx context.Context, r *connect.Request[controlv1.WatchRequest], out *connect.ServerStream[controlv1.WatchResponse]) error {
	next := r.Msg.GetFromRevision()
	keys := state.Range{Prefix: r.Msg.GetPrefix(), ExcludedPrefix: r.Msg.GetWithout()}
	interval := progressInterval
	if d := r.Msg.GetProgressInterval(); d != nil {
		interval = max(d.AsDuration(), minProgressInterval)
	}
	for {
		changed := s.store.Changed()
		events, rev, err := s.store.EventsSince(keys, next)
		if err != nil {
			return toConnectError(err)
		}
		if err := out.Send(&controlv1.WatchResponse{Events: events, Revision: rev}); err != nil {
			return err
		}
		next = rev + 1
		if err := s.awaitChange(ctx, changed, interval); err != nil {
			return err
		}
	}
}

// awaitChange returns nil at the next change or when a progress mark is due. An
// error ends the watch.
func (s *Server) awaitChange(ctx context.Context, changed <-chan struct{}, interval time.Duration) error {
	progress := time.NewTimer(interval)
	defer progress.Stop()
	contact := time.NewTicker(contactCheckInterval)
	defer contact.Stop()
	for {
		if !s.store.IsCurrent() {
			return toConnectError(&NoContactError{})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.store.Done():
			return toConnectError(&ClosedError{})
		case <-changed:
			return nil
		case <-progress.C:
			return nil
		case <-contact.C:
		}
	}
}

// Announce adds a member, changes it, or renews its lease.
func (s *Server) Announce(ctx context.Context, r *connect.Request[controlv1.AnnounceRequest]) (*connect.Response[controlv1.AnnounceResponse], error) {
	res, err := s.store.Announce(ctx, r.Msg.GetMember())
	if err != nil {
		return nil, toConnectError(err)
	}
	res.Estimates = s.store.recordReport(r.Msg)
	if r.Msg.GetMember().GetRole() == controlv1.Role_ROLE_ENTRY {
		res.Statements = s.store.mergeStatements(r.Msg)
	}
	res.Lease = durationpb.New(MemberLease)
	return connect.NewResponse(res), nil
}

// Leave marks a member as leaving, or removes it.
func (s *Server) Leave(ctx context.Context, r *connect.Request[controlv1.LeaveRequest]) (*connect.Response[controlv1.LeaveResponse], error) {
	if _, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Leave{Leave: r.Msg}}); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&controlv1.LeaveResponse{}), nil
}

// AnnounceEndpoints adds endpoints, changes them, or renews their leases.
func (s *Server) AnnounceEndpoints(ctx context.Context, r *connect.Request[controlv1.AnnounceEndpointsRequest]) (*connect.Response[controlv1.AnnounceEndpointsResponse], error) {
	results, err := s.store.AnnounceEndpoints(ctx, r.Msg.GetAnnouncements())
	if err != nil {
		return nil, toConnectError(err)
	}
	out := &controlv1.AnnounceEndpointsResponse{Failures: make([]string, len(results))}
	for i, err := range results {
		if err != nil {
			out.Failures[i] = err.Error()
		}
	}
	return connect.NewResponse(out), nil
}

// RemoveEndpoint ends the current lifetime of an endpoint.
func (s *Server) RemoveEndpoint(ctx context.Context, r *connect.Request[controlv1.RemoveEndpointRequest]) (*connect.Response[controlv1.RemoveEndpointResponse], error) {
	if err := s.store.RemoveEndpoint(ctx, r.Msg); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&controlv1.RemoveEndpointResponse{}), nil
}

// BeginOperation records a non-idempotent call before its dispatch.
func (s *Server) BeginOperation(ctx context.Context, r *connect.Request[controlv1.BeginOperationRequest]) (*connect.Response[controlv1.BeginOperationResponse], error) {
	res, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Begin{Begin: r.Msg.GetOperation()}})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res.(*controlv1.BeginOperationResponse)), nil
}

// FinishOperation records the outcome of a dispatched call.
func (s *Server) FinishOperation(ctx context.Context, r *connect.Request[controlv1.FinishOperationRequest]) (*connect.Response[controlv1.FinishOperationResponse], error) {
	res, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Finish{Finish: r.Msg.GetOperation()}})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res.(*controlv1.FinishOperationResponse)), nil
}

// AddStrikes counts a crash against each content that was in flight, or makes
// another change to the strikes of these contents.
func (s *Server) AddStrikes(ctx context.Context, r *connect.Request[controlv1.AddStrikesRequest]) (*connect.Response[controlv1.AddStrikesResponse], error) {
	res, err := s.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_AddStrikes{AddStrikes: r.Msg}})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res.(*controlv1.AddStrikesResponse)), nil
}
