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
	// joinInterval is the time between two attempts to join, and between two
	// requests to transfer leadership.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one call to another host.
	joinTimeout = 500 * time.Millisecond
	// transferTimeout bounds a planned change of leader.
	transferTimeout = 2 * time.Second
)

// ReplicaServer serves the replica service, through which control hosts call each
// other.
type ReplicaServer struct {
	store *Store
}

// NewReplicaServer returns the replica service of a store.
func NewReplicaServer(s *Store) *ReplicaServer {
	return &ReplicaServer{store: s}
}

// Deliver queues replication messages of another control host.
func (r *ReplicaServer) Deliver(_ context.Context, q *connect.Request[replicav1.DeliverRequest]) (*connect.Response[replicav1.DeliverResponse], error) {
	if err := r.store.inputs.add(&delivery{request: q.Msg}); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&replicav1.DeliverResponse{}), nil
}

// DeliverPart joins the parts of a large request of another control host, and queues its
// messages after the last one.
func (r *ReplicaServer) DeliverPart(_ context.Context, q *connect.Request[replicav1.DeliverPartRequest]) (*connect.Response[replicav1.DeliverPartResponse], error) {
	err := r.store.parts.add(time.Now(), q.Msg, func(d *replicav1.DeliverRequest) error {
		return r.store.inputs.add(&delivery{request: d})
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&replicav1.DeliverPartResponse{}), nil
}

// Join makes a host with an empty disk a learner, and a voter once its copy is
// synced. The host repeats the call until it is a voter.
func (r *ReplicaServer) Join(ctx context.Context, q *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	reply := make(chan joinResult, 1)
	if err := r.store.inputs.add(&joinRequest{request: q.Msg, reply: reply}); err != nil {
		return nil, toConnectError(err)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.store.done:
		return nil, toConnectError(&ClosedError{})
	case j := <-reply:
		if j.err != nil {
			return nil, toConnectError(j.err)
		}
		return connect.NewResponse(&replicav1.JoinResponse{Voter: j.voter}), nil
	}
}

// Status returns this host's identity, whether it is empty, and the leader that
// it knows.
func (r *ReplicaServer) Status(context.Context, *connect.Request[replicav1.StatusRequest]) (*connect.Response[replicav1.StatusResponse], error) {
	s := r.store.Status()
	return connect.NewResponse(&replicav1.StatusResponse{
		Id: r.store.id, Name: r.store.peers.self.Name, Empty: s.Empty, Leader: s.Leader,
	}), nil
}

// runJoin makes this host a voter, and runs until the context ends. The first
// host of the list bootstraps the log once all others have answered that they
// are empty too; every other host asks to join. So does a voter that has lost
// contact with the leader, as another host may have taken its place.
func (s *Store) runJoin(ctx context.Context) {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		st := s.Status()
		switch {
		case st.Voter && s.HasContact():
		case st.Empty && s.mayBootstrap && s.peers.isBootstrapHost() && s.othersEmpty(ctx):
			_ = s.inputs.add(bootstrapRequest{})
		default:
			s.requestJoin(ctx)
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
	for _, a := range s.peers.otherAddresses() {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		res, err := s.peers.dial(a).Status(call, connect.NewRequest(&replicav1.StatusRequest{}))
		cancel()
		if err != nil || !res.Msg.GetEmpty() {
			return false
		}
	}
	return true
}

// requestJoin asks the leader to let this host join: first the host that last answered
// without an error, and then all others at once, so that hosts that are gone delay none.
func (s *Store) requestJoin(ctx context.Context) {
	if s.joinAddress.IsValid() {
		if s.joinAddress = s.requestJoinThrough(ctx, s.joinAddress); s.joinAddress.IsValid() {
			return
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := s.peers.otherAddresses()
	answered := make(chan netip.AddrPort, len(addresses))
	for _, a := range addresses {
		go func() { answered <- s.requestJoinThrough(ctx, a) }()
	}
	for range addresses {
		if s.joinAddress = <-answered; s.joinAddress.IsValid() {
			return
		}
	}
}

// requestJoinThrough asks a host, and also the leader that it names. It returns the
// address of the one that answered without an error; the zero value for none.
func (s *Store) requestJoinThrough(ctx context.Context, a netip.AddrPort) netip.AddrPort {
	err := s.requestJoinAt(ctx, a)
	if leader, e := netip.ParseAddrPort(controls.RefusalFrom(err).GetLeaderAddress()); e == nil && leader != a {
		a, err = leader, s.requestJoinAt(ctx, leader)
	}
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func (s *Store) requestJoinAt(ctx context.Context, a netip.AddrPort) error {
	call, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	r := &replicav1.JoinRequest{Id: s.id, Name: s.peers.self.Name, Address: s.peers.self.Address.String()}
	_, err := s.peers.dial(a).Join(call, connect.NewRequest(r))
	return err
}

// Transfer hands leadership to another host before a planned stop. It does
// nothing unless this host leads and knows another one, and gives up after
// transferTimeout.
func (s *Store) Transfer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for s.Status().Leads && len(s.peers.otherAddresses()) > 0 {
		t := &transferRequest{reply: make(chan error, 1)}
		if s.inputs.add(t) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}
