package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"ebonyreel/clock"
	"ebonyreel/lease"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// Announce adds or changes a member and renews its lease. It proposes a command
// only if the record of the member changes. A quorum confirms each renewal, so
// that a host that is cut off renews nothing. The error is a *NotLeaderError on
// a host that does not lead.
func (s *Store) Announce(ctx context.Context, m *controlv1.Member) (*controlv1.AnnounceResponse, error) {
	if st := s.Status(); !st.Leads {
		return nil, &NotLeaderError{Address: st.Address}
	}
	if err := s.Confirm(ctx); err != nil {
		return nil, err
	}
	res := &controlv1.AnnounceResponse{Incarnation: m.GetIncarnation()}
	if !s.isRecorded(m) {
		response, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Announce{Announce: m}})
		if err != nil {
			return nil, err
		}
		res.Incarnation = response.(*controlv1.AnnounceResponse).GetIncarnation()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Renew(state.MemberKey(m.GetEnvironment(), m.GetName()), time.Now(), MemberLease)
	res.DocumentNumber = s.state.CurrentDocument(m.GetEnvironment()).GetNumber()
	res.Revision = s.state.Revision()
	for _, a := range s.status.Controls {
		res.Controls = append(res.Controls, a.String())
	}
	return res, nil
}

// isRecorded reports whether an announcement leaves the record of a member as it
// is. A member that is leaving stays so, whatever state it announces.
func (s *Store) isRecorded(m *controlv1.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.Member(m.GetEnvironment(), m.GetName())
	if old == nil || m.GetIncarnation() == 0 {
		return false
	}
	announced := proto.CloneOf(m)
	announced.State = old.GetState()
	leaving := old.GetState() == controlv1.MemberState_MEMBER_STATE_LEAVING
	return proto.Equal(old, announced) && (leaving || m.GetState() == old.GetState())
}

// grantLeases gives every member and endpoint a full lease, as a new leader does
// not know how much of the old leases is left.
func (s *Store) grantLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases, s.endpointLeases, s.lastAnnouncements = lease.Table{}, lease.Table{}, map[string]lastAnnouncement{}
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

// runExpiry drops unfinished requests of other hosts and, while this host leads, removes
// members and marks endpoints whose leases have expired. It runs until the context ends.
func (s *Store) runExpiry(ctx context.Context) {
	clock.Every(ctx, leaseCheckInterval, func(now time.Time) {
		s.parts.expire(now)
		if s.Status().Leads {
			s.removeExpiredMembers(ctx)
			s.markExpiredEndpoints(ctx)
		}
	})
}

func (s *Store) removeExpiredMembers(ctx context.Context) {
	for _, m := range s.expiredMembers() {
		r := &controlv1.LeaveRequest{
			Environment: m.GetEnvironment(), Name: m.GetName(), Incarnation: m.GetIncarnation(), Gone: true,
		}
		// The command fails if the member has joined again in the meantime, as its
		// incarnation is newer then.
		_, _ = s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Leave{Leave: r}})
	}
}

// expiredMembers returns the members whose leases have expired, and drops these
// leases.
func (s *Store) expiredMembers() []*controlv1.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*controlv1.Member
	for _, key := range s.leases.RemoveExpired(time.Now()) {
		if m := s.state.MemberByKey(key); m != nil {
			out = append(out, m)
		}
	}
	return out
}
