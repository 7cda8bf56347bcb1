package control

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/controls"
	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	// joinInterval is the time between two attempts to join.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one question to another host.
	joinTimeout = 500 * time.Millisecond
	// transferTimeout bounds a planned change of leader.
	transferTimeout = 2 * time.Second
)

// Replica answers the other control hosts.
type Replica struct {
	store *Store
}

// NewReplica returns the side of a store towards other control hosts.
func NewReplica(s *Store) *Replica {
	return &Replica{store: s}
}

// Deliver takes in messages of the consensus.
func (r *Replica) Deliver(_ context.Context, q *connect.Request[replicav1.DeliverRequest]) (*connect.Response[replicav1.DeliverResponse], error) {
	if err := r.store.enter(&arrival{request: q.Msg}); err != nil {
		return nil, refuse(err)
	}
	return connect.NewResponse(&replicav1.DeliverResponse{}), nil
}

// Join makes a host with an empty disk a learner, and a voter once its copy
// is synced. The host asks again until it is one.
func (r *Replica) Join(ctx context.Context, q *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	reply := make(chan joined, 1)
	if err := r.store.enter(&joining{request: q.Msg, reply: reply}); err != nil {
		return nil, refuse(err)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.store.done:
		return nil, refuse(&ClosedError{})
	case j := <-reply:
		if j.err != nil {
			return nil, refuse(j.err)
		}
		return connect.NewResponse(&replicav1.JoinResponse{Voter: j.voter}), nil
	}
}

// Status tells what this host knows of itself.
func (r *Replica) Status(context.Context, *connect.Request[replicav1.StatusRequest]) (*connect.Response[replicav1.StatusResponse], error) {
	s := r.store.Status()
	return connect.NewResponse(&replicav1.StatusResponse{
		Id: r.store.id, Name: r.store.peers.own.Name, Empty: s.Empty, Leader: s.Leader,
	}), nil
}

// join brings this host into the quorum: the first of the list begins the log
// once all others have said that they are empty too; every other one joins. So
// does a voter that is not in touch, as its place may have gone to another.
func (s *Store) join(ctx context.Context) {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		st := s.Status()
		switch {
		case st.Voter && s.InTouch():
		case st.Empty && s.bootstrap && s.peers.first() && s.othersEmpty(ctx):
			_ = s.enter(founding{})
		default:
			s.askToJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// othersEmpty reports whether every other host has answered that it has no
// state.
func (s *Store) othersEmpty(ctx context.Context) bool {
	for _, a := range s.peers.others() {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		res, err := s.peers.dial(a).Status(call, connect.NewRequest(&replicav1.StatusRequest{}))
		cancel()
		if err != nil || !res.Msg.GetEmpty() {
			return false
		}
	}
	return true
}

// askToJoin asks the other hosts in turn, and the leader that one of them
// names.
func (s *Store) askToJoin(ctx context.Context) {
	for _, a := range s.peers.others() {
		err := s.askHost(ctx, a)
		if leader, e := netip.ParseAddrPort(controls.Reason(err).GetLeaderAddress()); e == nil && leader != a {
			err = s.askHost(ctx, leader)
		}
		if err == nil {
			return
		}
	}
}

func (s *Store) askHost(ctx context.Context, a netip.AddrPort) error {
	call, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	r := &replicav1.JoinRequest{Id: s.id, Name: s.peers.own.Name, Address: s.peers.own.Address.String()}
	_, err := s.peers.dial(a).Join(call, connect.NewRequest(r))
	return err
}

// Transfer hands leadership over before a planned stop, if this host leads
// others.
func (s *Store) Transfer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for s.Status().Leads && len(s.peers.others()) > 0 {
		h := &handover{reply: make(chan error, 1)}
		if s.enter(h) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}
