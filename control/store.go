package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/lease"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// expiryInterval is the time between looks for lapsed members.
const expiryInterval = 250 * time.Millisecond

// Store applies commands to the state and lets watchers wait for changes. It
// keeps the leases of members in memory only: a new leader grants every member
// a full lease.
type Store struct {
	mu sync.Mutex
	// state is guarded by mu.
	state *state.State
	// leases is guarded by mu and keyed by member key.
	leases lease.Table
	// changed is guarded by mu; it is closed with each published change.
	changed chan struct{}
	// done is closed when the store stops.
	done chan struct{}
	// once guards done.
	once sync.Once
}

// NewStore returns a store over an empty state.
func NewStore(events int) *Store {
	return &Store{
		state:   state.New(events),
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// Propose applies a command and returns its answer.
func (s *Store) Propose(_ context.Context, c *controlv1.Command) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Time = timestamppb.Now()
	was := s.state.Revision()
	res, err := s.state.Apply(c)
	if s.state.Revision() != was {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return res, err
}

// Confirm returns once the state is known to be current.
func (s *Store) Confirm(context.Context) error {
	return nil
}

// Announce adds a member, or renews its lease without a command when nothing
// about it has changed.
func (s *Store) Announce(ctx context.Context, m *controlv1.Member) (*controlv1.AnnounceResponse, error) {
	res := &controlv1.AnnounceResponse{Incarnation: m.GetIncarnation()}
	if !s.known(m) {
		a, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_Announce{Announce: m}})
		if err != nil {
			return nil, err
		}
		res = a.(*controlv1.AnnounceResponse)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Renew(state.MemberKey(m.GetEnvironment(), m.GetName()), time.Now(), MemberLease)
	res.DocumentNumber = s.state.Current(m.GetEnvironment()).GetNumber()
	res.Revision = s.state.Revision()
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

// List returns the items under a prefix at one revision.
func (s *Store) List(prefix string) ([]*controlv1.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.List(prefix)
}

// Since returns the events under a prefix from a revision on.
func (s *Store) Since(prefix string, from uint64) ([]*controlv1.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Since(prefix, from)
}

// Documents returns the accepted documents of an environment.
func (s *Store) Documents(environment string) []*controlv1.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Documents(environment)
}

// Changed returns a channel that is closed with the next published change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Done is closed when the store stops.
func (s *Store) Done() <-chan struct{} {
	return s.done
}

// Close ends all watches.
func (s *Store) Close() {
	s.once.Do(func() { close(s.done) })
}

// Expire removes members whose leases have lapsed, until the context ends.
func (s *Store) Expire(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.expire(ctx)
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
