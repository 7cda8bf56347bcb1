package control

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

// joinService answers requests to join with err.
type joinService struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	err   error
	calls atomic.Int64
}

func (j *joinService) Join(context.Context, *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	j.calls.Add(1)
	if j.err != nil {
		return nil, toConnectError(j.err)
	}
	return connect.NewResponse(&replicav1.JoinResponse{}), nil
}

// serveJoin serves a service until the test ends; one that is nil takes connections and
// answers nothing. It returns the address, and a function that stops it.
func serveJoin(t *testing.T, service *joinService) (netip.AddrPort, func()) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := func() { _ = listener.Close() }
	if service != nil {
		routes := http.NewServeMux()
		routes.Handle(replicav1connect.NewReplicaServiceHandler(service))
		server := transport.NewServer(routes)
		go func() { _ = server.Serve(listener) }()
		stop = func() { _ = server.Close() }
	}
	t.Cleanup(stop)
	return netip.MustParseAddrPort(listener.Addr().String()), stop
}

// TestJoinBesideLostHosts guards against a host that is no voter in time, as it waits for
// each host that is gone before it asks the next one.
func TestJoinBesideLostHosts(t *testing.T) {
	leader, next := &joinService{}, &joinService{}
	leaderAddress, stopLeader := serveJoin(t, leader)
	nextAddress, _ := serveJoin(t, next)
	follower := &joinService{err: &NotLeaderError{Address: leaderAddress}}
	followerAddress, _ := serveJoin(t, follower)
	var seeds []netip.AddrPort
	for range 8 {
		lost, _ := serveJoin(t, nil)
		seeds = append(seeds, lost)
	}
	self := settings.Control{Name: "a", Peers: netip.MustParseAddrPort("127.0.0.1:1"), Seeds: append(seeds, followerAddress)}
	s := &Store{id: "a1", peers: newPeers("a1", self, transport.NewClient())}
	request := func() time.Duration {
		began := time.Now()
		s.requestJoin(t.Context())
		return time.Since(began)
	}
	if took := request(); took > 2*joinTimeout || leader.calls.Load() == 0 {
		t.Errorf("%d requests reached the leader within %s, want one within %s", leader.calls.Load(), took, 2*joinTimeout)
	}
	before, others := leader.calls.Load(), follower.calls.Load()
	request()
	if leader.calls.Load() != before+1 || follower.calls.Load() != others {
		t.Error("the next request did not go to the leader alone")
	}
	stopLeader()
	s.SetSeeds(append(seeds, nextAddress))
	if took := request(); took > 2*joinTimeout || next.calls.Load() != 1 {
		t.Errorf("%d requests reached the next leader within %s, want one within %s", next.calls.Load(), took, 2*joinTimeout)
	}
}
