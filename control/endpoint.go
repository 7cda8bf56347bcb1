package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// EndpointLease is how long an endpoint is kept as ready or leaving after its
// last announcement: five heartbeat intervals of the users' endpoints, as some
// heartbeats arrive seconds late.
const EndpointLease = 6 * time.Second

// lastAnnouncement identifies the newest announcement of an endpoint.
type lastAnnouncement struct {
	lifetime int64
	sequence uint64
}

// AnnounceEndpoint adds or changes an endpoint and renews its lease. It proposes
// a command only if the record of the endpoint changes, and returns after the
// command is applied. An announcement that arrives after a newer one of the same
// lifetime does nothing. The error is a *NotLeaderError on a host that does not
// lead.
func (s *Store) AnnounceEndpoint(ctx context.Context, r *controlv1.AnnounceEndpointRequest) error {
	if st := s.Status(); !st.Leads {
		return &NotLeaderError{Address: st.Address}
	}
	changes, outdated := s.compareAnnouncement(r)
	if outdated {
		return nil
	}
	if changes {
		c := &controlv1.Command{Kind: &controlv1.Command_AnnounceEndpoint{AnnounceEndpoint: r.GetEndpoint()}}
		if _, err := s.Propose(ctx, c); err != nil {
			return err
		}
	}
	s.renewEndpoint(r)
	return nil
}

// AnnounceEndpoints does the same for several endpoints at once, and returns the
// result of each.
func (s *Store) AnnounceEndpoints(ctx context.Context, announcements []*controlv1.AnnounceEndpointRequest) ([]error, error) {
	if st := s.Status(); !st.Leads {
		return nil, &NotLeaderError{Address: st.Address}
	}
	results := make([]error, len(announcements))
	var changes sync.WaitGroup
	for i, r := range announcements {
		changed, outdated := s.compareAnnouncement(r)
		switch {
		case outdated:
		case changed:
			changes.Go(func() { results[i] = s.AnnounceEndpoint(ctx, r) })
		default:
			s.renewEndpoint(r)
		}
	}
	changes.Wait()
	return results, nil
}

// compareAnnouncement reports whether an announcement changes the state, and
// whether it is outdated: a newer one of the same lifetime has arrived before.
func (s *Store) compareAnnouncement(r *controlv1.AnnounceEndpointRequest) (changes, outdated bool) {
	e := r.GetEndpoint()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastAnnouncements[state.EndpointKey(e.GetEnvironment(), e.GetName())]
	outdated = last.lifetime == e.GetLifetime() && r.GetSequence() < last.sequence
	return state.MergeEndpoint(s.state.Endpoint(e.GetEnvironment(), e.GetName()), e) != nil, outdated
}

// renewEndpoint renews the lease of an endpoint if the announcement belongs to
// its current lifetime.
func (s *Store) renewEndpoint(r *controlv1.AnnounceEndpointRequest) {
	e := r.GetEndpoint()
	key := state.EndpointKey(e.GetEnvironment(), e.GetName())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.EndpointByKey(key).GetLifetime() != e.GetLifetime() {
		return
	}
	s.lastAnnouncements[key] = lastAnnouncement{lifetime: e.GetLifetime(), sequence: r.GetSequence()}
	s.endpointLeases.Renew(key, time.Now(), EndpointLease)
}

// RemoveEndpoint ends the current lifetime of an endpoint.
func (s *Store) RemoveEndpoint(ctx context.Context, r *controlv1.RemoveEndpointRequest) error {
	_, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_RemoveEndpoint{RemoveEndpoint: r}})
	return err
}

// markExpiredEndpoints marks endpoints whose leases have expired as lost, or as
// gone if they were leaving.
func (s *Store) markExpiredEndpoints(ctx context.Context) {
	for _, e := range s.expiredEndpoints() {
		r := &controlv1.LapseEndpointRequest{Environment: e.GetEnvironment(), Name: e.GetName(), Lifetime: e.GetLifetime()}
		// If the command is lost with the leadership, the new leader finds the
		// expiry again, as it grants full leases.
		if _, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_LapseEndpoint{LapseEndpoint: r}}); err != nil {
			s.loop.log.WithError(err).WithField("Endpoint", e.GetName()).Warn("expired lease of an endpoint not recorded")
		}
	}
}

// expiredEndpoints returns the endpoints whose leases have expired, and drops these
// leases.
func (s *Store) expiredEndpoints() []*controlv1.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*controlv1.Endpoint
	for _, key := range s.endpointLeases.RemoveExpired(time.Now()) {
		delete(s.lastAnnouncements, key)
		if e := s.state.EndpointByKey(key); e != nil {
			out = append(out, e)
		}
	}
	return out
}

// CurrentDocument returns the document in force in an environment, or nil. It is
// current only after Confirm.
func (s *Store) CurrentDocument(environment string) *controlv1.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.state.CurrentDocument(environment); d != nil {
		return proto.CloneOf(d)
	}
	return nil
}
