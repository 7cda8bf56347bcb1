package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"ebonyreel/lease"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// Announce adds a member, or renews its lease without a command when nothing
// about it has changed. The answer is confirmed by a quorum, so that a host
// that was cut off renews nothing.
func (s *Store) Announce(ctx context.Context, m *controlv1.Member) (*controlv1.AnnounceResponse, error) {
	if st := s.Status(); !st.Leads {
		return nil, &NotLeaderError{Address: st.Address}
	}
	if err := s.Confirm(ctx); err != nil {
		return nil, err
	}
	res := &controlv1.AnnounceResponse{Incarnation: m.GetIncarnation()}
	if !s.known(m) {
		a, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Announce{Announce: m}})
		if err != nil {
			return nil, err
		}
		res.Incarnation = a.(*controlv1.AnnounceResponse).GetIncarnation()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Renew(state.MemberKey(m.GetEnvironment(), m.GetName()), time.Now(), MemberLease)
	res.DocumentNumber = s.state.Current(m.GetEnvironment()).GetNumber()
	res.Revision = s.state.Revision()
	for _, a := range s.status.Controls {
		res.Controls = append(res.Controls, a.String())
	}
	return res, nil
}

// known reports whether a member is recorded just as announced, or is leaving.
func (s *Store) known(m *controlv1.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.Member(m.GetEnvironment(), m.GetName())
	if old == nil || m.GetIncarnation() == 0 {
		return false
	}
	as := proto.CloneOf(m)
	as.State = old.GetState()
	leaving := old.GetState() == controlv1.MemberState_MEMBER_STATE_LEAVING
	return proto.Equal(old, as) && (leaving || m.GetState() == old.GetState())
}

// grant gives every member and endpoint a full lease: a new leader does not know how much
// of its lease is left.
func (s *Store) grant(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases, s.endpointLeases, s.heard = lease.Table{}, lease.Table{}, map[string]lastAnnouncement{}
	items, _ := s.state.List(state.Range{})
	for _, it := range items {
		if it.GetMember() != nil {
			s.leases.Renew(it.GetKey(), now, MemberLease)
		}
		if it.GetEndpoint() != nil {
			s.endpointLeases.Renew(it.GetKey(), now, EndpointLease)
		}
	}
}

// expireAll removes members whose leases have lapsed, while this host leads.
func (s *Store) expireAll(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.Status().Leads {
				s.expire(ctx)
				s.lapseEndpoints(ctx)
			}
		}
	}
}

func (s *Store) expire(ctx context.Context) {
	for _, m := range s.lapsed() {
		r := &controlv1.LeaveRequest{
			Environment: m.GetEnvironment(), Name: m.GetName(), Incarnation: m.GetIncarnation(), Gone: true,
		}
		// A member that came back meanwhile has a newer incarnation.
		_, _ = s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Leave{Leave: r}})
	}
}

func (s *Store) lapsed() []*controlv1.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*controlv1.Member
	for _, key := range s.leases.Lapsed(time.Now()) {
		if m := s.state.MemberByKey(key); m != nil {
			out = append(out, m)
		}
	}
	return out
}
