package state

import (
	"google.golang.org/protobuf/proto"

	controlv1 "ebonyreel/proto/control/v1"
)

// MemberPrefix returns the prefix of the keys of an environment's members.
func MemberPrefix(environment string) string {
	return environment + "/Member/"
}

// MemberKey returns the key under which a member is published.
func MemberKey(environment, name string) string {
	return MemberPrefix(environment) + name
}

// Member returns a member by name, or nil.
func (s *State) Member(environment, name string) *controlv1.Member {
	return s.items[MemberKey(environment, name)].GetMember()
}

// announce adds a member or changes one. Incarnation zero asks for a new one. A
// member that is leaving stays so under the same incarnation. The error is a
// *StaleIncarnationError if the member has a newer incarnation.
func (s *State) announce(m *controlv1.Member) (proto.Message, error) {
	old := s.Member(m.GetEnvironment(), m.GetName())
	next := proto.CloneOf(m)
	if m.GetIncarnation() == 0 {
		s.lastNumber++
		next.Incarnation = s.lastNumber
	}
	if old.GetIncarnation() > next.GetIncarnation() {
		return nil, &StaleIncarnationError{Name: m.GetName(), Current: old.GetIncarnation(), Asked: m.GetIncarnation()}
	}
	if old.GetIncarnation() == next.GetIncarnation() && old.GetState() == controlv1.MemberState_MEMBER_STATE_LEAVING {
		next.State = controlv1.MemberState_MEMBER_STATE_LEAVING
	}
	if !proto.Equal(old, next) {
		s.publishMember(next)
	}
	return &controlv1.AnnounceResponse{Incarnation: next.GetIncarnation()}, nil
}

func (s *State) publishMember(m *controlv1.Member) {
	s.publish(MemberKey(m.GetEnvironment(), m.GetName()), &controlv1.Item{Value: &controlv1.Item_Member{Member: m}})
}

// leave marks a member as leaving, or removes it if the request says that it is
// gone. The error is a *StaleIncarnationError if the member has another
// incarnation.
func (s *State) leave(r *controlv1.LeaveRequest) (proto.Message, error) {
	old := s.Member(r.GetEnvironment(), r.GetName())
	if old == nil {
		return &controlv1.LeaveResponse{}, nil
	}
	if old.GetIncarnation() != r.GetIncarnation() {
		return nil, &StaleIncarnationError{Name: r.GetName(), Current: old.GetIncarnation(), Asked: r.GetIncarnation()}
	}
	if r.GetGone() {
		s.unpublish(MemberKey(r.GetEnvironment(), r.GetName()))
		return &controlv1.LeaveResponse{}, nil
	}
	if old.GetState() != controlv1.MemberState_MEMBER_STATE_LEAVING {
		next := proto.CloneOf(old)
		next.State = controlv1.MemberState_MEMBER_STATE_LEAVING
		s.publishMember(next)
	}
	return &controlv1.LeaveResponse{}, nil
}

// MemberByKey returns a member by its key, or nil.
func (s *State) MemberByKey(key string) *controlv1.Member {
	return s.items[key].GetMember()
}
