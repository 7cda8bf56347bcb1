package control

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

// TestCallFollowsLeader guards against calls that wait for a leader of the past, whose disk
// is full, until their time is over.
func TestCallFollowsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{}
		lead := func(port uint16) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.status = Status{Leader: "other", Address: netip.AddrPortFrom(netip.IPv4Unspecified(), port), lastContact: time.Now()}
		}
		lead(1)
		time.AfterFunc(100*time.Millisecond, func() { lead(2) })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var called []netip.AddrPort
		err := NewGateway(s, transport.NewClient()).callLeader(ctx, func(context.Context) error {
			called = append(called, s.Status().Address)
			return &NotLeaderError{Address: s.Status().Address}
		}, func(ctx context.Context, _ controlv1connect.ControlServiceClient) error {
			if called[len(called)-1].Port() == 2 {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		})
		if err != nil || len(called) != 2 {
			t.Errorf("got %v after calls to the leaders %v", err, called)
		}
	})
}
