package state

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// endpointRetention is how long the record of an endpoint is kept after it has
	// left or was lost. Announcements are late by seconds at most.
	endpointRetention = time.Minute
	// maxEndpoints bounds the endpoint records in one environment. It is several
	// times the 3,100 endpoints of the target size.
	maxEndpoints = 20_000
)

// EndpointPrefix returns the prefix of the keys of an environment's endpoints.
func EndpointPrefix(environment string) string {
	return environment + "/Endpoint/"
}

// EndpointKey returns the key under which an endpoint is published.
func EndpointKey(environment, name string) string {
	return EndpointPrefix(environment) + name
}

// Endpoint returns an endpoint by name, or nil.
func (s *State) Endpoint(environment, name string) *controlv1.Endpoint {
	return s.items[EndpointKey(environment, name)].GetEndpoint()
}

// EndpointByKey returns an endpoint by its key, or nil.
func (s *State) EndpointByKey(key string) *controlv1.Endpoint {
	return s.items[key].GetEndpoint()
}

// announceEndpoint adds an endpoint or changes one, and ends earlier lifetimes of
// other endpoints at its address. An announcement changes nothing if a later
// lifetime has the same name or address. A lifetime that is leaving or has left
// does not become ready again. The error is a *TooManyRecordsError.
func (s *State) announceEndpoint(now time.Time, e *controlv1.Endpoint) (proto.Message, error) {
	s.pruneEndpoints(now, e.GetEnvironment())
	old := s.Endpoint(e.GetEnvironment(), e.GetName())
	next := MergeEndpoint(old, e)
	others := s.endpointsAtAddress(e)
	if next == nil || hasLaterLifetime(others, e) {
		return &controlv1.AnnounceEndpointResponse{}, nil
	}
	if old == nil && s.endpoints.count[e.GetEnvironment()] >= maxEndpoints {
		return nil, &TooManyRecordsError{Subject: "endpoints of " + e.GetEnvironment(), Kept: maxEndpoints}
	}
	s.endLifetimes(now, others)
	if old != nil && next.GetLifetime() > old.GetLifetime() && next.GetVersion() != old.GetVersion() {
		s.keepVersion(now, old)
	}
	s.publishEndpoint(now, next)
	return &controlv1.AnnounceEndpointResponse{}, nil
}

// keepVersion keeps the record of a lifetime that another one of the same name replaces, as
// that of an endpoint that has left. Streams that began at its version may be resumed.
func (s *State) keepVersion(now time.Time, old *controlv1.Endpoint) {
	kept := proto.CloneOf(old)
	kept.Name = fmt.Sprintf("%s/%d", old.GetName(), old.GetLifetime())
	s.endLifetime(now, kept)
}

// MergeEndpoint returns the record of an endpoint after an announcement, or nil
// if the announcement changes nothing. The old record may be nil.
func MergeEndpoint(old, e *controlv1.Endpoint) *controlv1.Endpoint {
	next := proto.CloneOf(e)
	next.UpdatedAt = old.GetUpdatedAt()
	if old == nil || e.GetLifetime() > old.GetLifetime() {
		return next
	}
	gone := old.GetState() == controlv1.EndpointState_ENDPOINT_STATE_GONE
	if gone || e.GetLifetime() < old.GetLifetime() {
		return nil
	}
	if old.GetState() == controlv1.EndpointState_ENDPOINT_STATE_LEAVING {
		next.State = old.GetState()
	}
	next.WantedRole, next.Order = old.GetWantedRole(), old.GetOrder()
	if proto.Equal(old, next) {
		return nil
	}
	return next
}

// hasLaterLifetime reports whether one of the others has a later lifetime than an
// endpoint.
func hasLaterLifetime(others []*controlv1.Endpoint, e *controlv1.Endpoint) bool {
	for _, o := range others {
		if o.GetLifetime() > e.GetLifetime() {
			return true
		}
	}
	return false
}

// endLifetimes marks the endpoints that have not left as gone.
func (s *State) endLifetimes(now time.Time, others []*controlv1.Endpoint) {
	for _, o := range others {
		if o.GetState() != controlv1.EndpointState_ENDPOINT_STATE_GONE {
			s.endLifetime(now, o)
		}
	}
}

// endpointsAtAddress returns the endpoints, other than e, that have the address of e,
// sorted by name.
func (s *State) endpointsAtAddress(e *controlv1.Endpoint) []*controlv1.Endpoint {
	var out []*controlv1.Endpoint
	for _, key := range s.endpoints.keysAt(e) {
		if o := s.EndpointByKey(key); o.GetName() != e.GetName() {
			out = append(out, o)
		}
	}
	return out
}

// removeEndpoint ends the current lifetime of an endpoint.
func (s *State) removeEndpoint(now time.Time, r *controlv1.RemoveEndpointRequest) (proto.Message, error) {
	s.pruneEndpoints(now, r.GetEnvironment())
	if old := s.Endpoint(r.GetEnvironment(), r.GetName()); old != nil && old.GetState() != controlv1.EndpointState_ENDPOINT_STATE_GONE {
		s.endLifetime(now, old)
	}
	return &controlv1.RemoveEndpointResponse{}, nil
}

func (s *State) endLifetime(now time.Time, old *controlv1.Endpoint) {
	next := proto.CloneOf(old)
	next.State = controlv1.EndpointState_ENDPOINT_STATE_GONE
	s.publishEndpoint(now, next)
}

// lapseEndpoint marks a ready lifetime as lost, and a leaving one as gone.
func (s *State) lapseEndpoint(now time.Time, r *controlv1.LapseEndpointRequest) (proto.Message, error) {
	old := s.Endpoint(r.GetEnvironment(), r.GetName())
	if old == nil || old.GetLifetime() != r.GetLifetime() {
		return nil, &NotFoundError{Subject: fmt.Sprintf("lifetime %d of endpoint %s", r.GetLifetime(), r.GetName())}
	}
	next := proto.CloneOf(old)
	switch old.GetState() {
	case controlv1.EndpointState_ENDPOINT_STATE_READY:
		next.State = controlv1.EndpointState_ENDPOINT_STATE_LOST
	case controlv1.EndpointState_ENDPOINT_STATE_LEAVING:
		next.State = controlv1.EndpointState_ENDPOINT_STATE_GONE
	default:
		return &controlv1.LapseEndpointResponse{}, nil
	}
	s.publishEndpoint(now, next)
	return &controlv1.LapseEndpointResponse{}, nil
}

// orderEndpoint records an order to a ready lifetime and allots its fencing
// token.
func (s *State) orderEndpoint(now time.Time, r *controlv1.OrderEndpointRequest) (proto.Message, error) {
	old := s.Endpoint(r.GetEnvironment(), r.GetName())
	if old.GetLifetime() != r.GetLifetime() || old.GetState() != controlv1.EndpointState_ENDPOINT_STATE_READY {
		return nil, &NotFoundError{Subject: fmt.Sprintf("lifetime %d of endpoint %s", r.GetLifetime(), r.GetName())}
	}
	s.lastNumber++
	next := proto.CloneOf(old)
	next.WantedRole, next.Order = r.GetRole(), s.lastNumber
	s.publishEndpoint(now, next)
	return &controlv1.OrderEndpointResponse{Order: next.GetOrder()}, nil
}

func (s *State) publishEndpoint(now time.Time, e *controlv1.Endpoint) {
	e.UpdatedAt = timestamppb.New(now)
	key := EndpointKey(e.GetEnvironment(), e.GetName())
	s.endpoints.put(key, s.EndpointByKey(key), e)
	s.publish(key, &controlv1.Item{Value: &controlv1.Item_Endpoint{Endpoint: e}})
}

// pruneEndpoints deletes the records of an environment's endpoints that were gone
// or lost for longer than endpointRetention, in the order of their keys.
func (s *State) pruneEndpoints(now time.Time, environment string) {
	var keys []string
	for _, ended := range s.endpoints.takeEnded(environment, now, endpointRetention) {
		if e := s.EndpointByKey(ended.key); hasEnded(e) && e.GetUpdatedAt().AsTime().Equal(ended.at) {
			keys = append(keys, ended.key)
		}
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		s.endpoints.remove(key, s.EndpointByKey(key))
		s.unpublish(key)
	}
}
