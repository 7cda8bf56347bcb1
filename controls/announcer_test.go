package controls

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

// fakeControl counts announcements, and those that come after the member has
// gone.
type fakeControl struct {
	controlv1connect.UnimplementedControlServiceHandler
	announced atomic.Int64
	gone      atomic.Bool
	late      atomic.Int64
}

func (f *fakeControl) Announce(context.Context, *connect.Request[controlv1.AnnounceRequest]) (*connect.Response[controlv1.AnnounceResponse], error) {
	f.announced.Add(1)
	time.Sleep(5 * time.Millisecond)
	if f.gone.Load() {
		f.late.Add(1)
	}
	return connect.NewResponse(&controlv1.AnnounceResponse{Incarnation: 1, Lease: durationpb.New(3 * time.Second)}), nil
}

func (f *fakeControl) Leave(_ context.Context, r *connect.Request[controlv1.LeaveRequest]) (*connect.Response[controlv1.LeaveResponse], error) {
	f.gone.Store(r.Msg.GetGone())
	return connect.NewResponse(&controlv1.LeaveResponse{}), nil
}

// TestLeaveIsLast holds that a member that has gone is not announced again,
// not even by an announcement on its way: it would be offered work as serving
// until its lease lapsed.
func TestLeaveIsLast(t *testing.T) {
	f := &fakeControl{}
	_, h := controlv1connect.NewControlServiceHandler(f)
	s := httptest.NewUnstartedServer(h)
	s.Config = transport.NewServer(h)
	s.Start()
	defer s.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	c := NewClient(transport.NewClient(), []netip.AddrPort{address})
	log := logrus.NewEntry(logrus.New())
	a := NewAnnouncer(c, NewView(c, "e", log), &controlv1.Member{Environment: "e", Name: "m"}, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx)
	// An endpoint announces itself again and again beside the leaving.
	go func() {
		for ctx.Err() == nil {
			a.Update(func(*controlv1.Member) {})
			time.Sleep(time.Millisecond)
		}
	}()
	for end := time.Now().Add(5 * time.Second); f.announced.Load() < 5 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := a.Leave(ctx, true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if n := f.late.Load(); n > 0 || f.announced.Load() < 5 {
		t.Errorf("%d announcements, %d of them after the member had gone", f.announced.Load(), n)
	}
}
