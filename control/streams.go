package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

const (
	// maxStreams bounds the streams whose origins are kept.
	maxStreams = 200_000
	// maxStreamLifetime bounds how long an origin is kept.
	maxStreamLifetime = 10 * time.Minute
	// streamSweepInterval is the time between removals of expired origins.
	streamSweepInterval = time.Second
)

// Streams serves the stream service. It is safe for concurrent use.
type Streams struct {
	mu sync.Mutex
	// origins holds where streams began. The first record of a stream counts.
	origins map[streamKey]keptOrigin
	// places holds the one copy of each place in origins.
	places  map[streamPlace]*streamPlace
	sweptAt time.Time
}

type streamKey struct {
	environment string
	request     string
}

// streamPlace is a pool and the version of an endpoint in it.
type streamPlace struct {
	pool    string
	version string
}

type keptOrigin struct {
	place     *streamPlace
	expiresAt time.Time
}

// NewStreams returns a stream service that knows no stream.
func NewStreams() *Streams {
	return &Streams{origins: map[streamKey]keptOrigin{}, places: map[streamPlace]*streamPlace{}}
}

// RecordStreams keeps where streams began, until their callers can no longer resume them.
func (s *Streams) RecordStreams(_ context.Context, r *connect.Request[controlv1.RecordStreamsRequest]) (*connect.Response[controlv1.RecordStreamsResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sweep(now)
	for _, o := range r.Msg.GetStreams() {
		key := streamKey{environment: r.Msg.GetEnvironment(), request: o.GetRequest()}
		if _, known := s.origins[key]; known {
			continue
		}
		if len(s.origins) >= maxStreams {
			return nil, toConnectError(&state.TooManyRecordsError{Subject: "streams", Kept: maxStreams})
		}
		lifetime := min(o.GetLifetime().AsDuration(), maxStreamLifetime)
		s.origins[key] = keptOrigin{place: s.place(o), expiresAt: now.Add(lifetime)}
	}
	return connect.NewResponse(&controlv1.RecordStreamsResponse{}), nil
}

// place returns the one copy of the place where a stream began.
func (s *Streams) place(o *controlv1.StreamOrigin) *streamPlace {
	k := streamPlace{pool: o.GetPool(), version: o.GetVersion()}
	p := s.places[k]
	if p == nil {
		p = &k
		s.places[k] = p
	}
	return p
}

// sweep removes the origins that have expired.
func (s *Streams) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < streamSweepInterval {
		return
	}
	s.sweptAt = now
	for k, o := range s.origins {
		if !now.Before(o.expiresAt) {
			delete(s.origins, k)
		}
	}
	if len(s.origins) == 0 {
		clear(s.places)
	}
}

// FindStream returns where a stream began, if this host knows it.
func (s *Streams) FindStream(_ context.Context, r *connect.Request[controlv1.FindStreamRequest]) (*connect.Response[controlv1.FindStreamResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.origins[streamKey{environment: r.Msg.GetEnvironment(), request: r.Msg.GetRequest()}]
	left := time.Until(o.expiresAt)
	if !known || left <= 0 {
		return connect.NewResponse(&controlv1.FindStreamResponse{}), nil
	}
	return connect.NewResponse(&controlv1.FindStreamResponse{Stream: &controlv1.StreamOrigin{
		Request: r.Msg.GetRequest(), Pool: o.place.pool, Version: o.place.version, Lifetime: durationpb.New(left),
	}}), nil
}
