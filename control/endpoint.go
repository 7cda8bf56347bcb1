package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// EndpointLease is how long an endpoint counts after its last announcement:
// five heartbeats of the users' endpoints, of which some come seconds late.
const EndpointLease = 6 * time.Second

// lastAnnouncement is the newest announcement of an endpoint.
type lastAnnouncement struct {
	lifetime int64
	sequence uint64
}

// AnnounceEndpoint adds an endpoint, changes it, or renews its lease without a
// command when nothing about it has changed. A change is committed before the
// call returns. An announcement that came late changes nothing.
func (s *Store) AnnounceEndpoint(ctx context.Context, r *controlv1.AnnounceEndpointRequest) error {
	if st := s.Status(); !st.Leads {
		return &NotLeaderError{Address: st.Address}
	}
	changes, late := s.compare(r)
	if late {
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

// compare reports whether an announcement changes the state, and whether a
// newer one of the same lifetime has been heard.
func (s *Store) compare(r *controlv1.AnnounceEndpointRequest) (changes, late bool) {
	e := r.GetEndpoint()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.heard[state.EndpointKey(e.GetEnvironment(), e.GetName())]
	late = last.lifetime == e.GetLifetime() && r.GetSequence() < last.sequence
	return state.MergeEndpoint(s.state.Endpoint(e.GetEnvironment(), e.GetName()), e) != nil, late
}

func (s *Store) renewEndpoint(r *controlv1.AnnounceEndpointRequest) {
	e := r.GetEndpoint()
	key := state.EndpointKey(e.GetEnvironment(), e.GetName())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.EndpointByKey(key).GetLifetime() != e.GetLifetime() {
		return
	}
	s.heard[key] = lastAnnouncement{lifetime: e.GetLifetime(), sequence: r.GetSequence()}
	s.endpointLeases.Renew(key, time.Now(), EndpointLease)
}

// RemoveEndpoint ends the current lifetime of an endpoint.
func (s *Store) RemoveEndpoint(ctx context.Context, r *controlv1.RemoveEndpointRequest) error {
	_, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_RemoveEndpoint{RemoveEndpoint: r}})
	return err
}

// lapseEndpoints marks the endpoints whose leases have lapsed as lost.
func (s *Store) lapseEndpoints(ctx context.Context) {
	for _, e := range s.lapsedEndpoints() {
		r := &controlv1.LapseEndpointRequest{Environment: e.GetEnvironment(), Name: e.GetName(), Lifetime: e.GetLifetime()}
		// A new leader grants full leases and looks again.
		if _, err := s.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_LapseEndpoint{LapseEndpoint: r}}); err != nil {
			s.loop.log.WithError(err).WithField("Endpoint", e.GetName()).Warn("lapse of an endpoint not recorded")
		}
	}
}

func (s *Store) lapsedEndpoints() []*controlv1.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*controlv1.Endpoint
	for _, key := range s.endpointLeases.Lapsed(time.Now()) {
		delete(s.heard, key)
		if e := s.state.EndpointByKey(key); e != nil {
			out = append(out, e)
		}
	}
	return out
}

// Newest returns the document in force in an environment, or nil. It is
// current only after Confirm.
func (s *Store) Newest(environment string) *controlv1.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.state.Current(environment); d != nil {
		return proto.CloneOf(d)
	}
	return nil
}
