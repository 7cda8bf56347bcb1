// Package streams contains the register of where streams began. Control hosts keep it for
// all entries, and entries for each other while control does not answer.
package streams

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// maxLifetime bounds how long an origin is kept.
	maxLifetime = 10 * time.Minute
	// sweepInterval is the time between removals of expired origins.
	sweepInterval = time.Second
)

// FullError reports a register that takes no more streams.
type FullError struct {
	// Kept is the number of streams kept.
	Kept int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("the origins of %d streams are kept, which is the most", e.Kept)
}

// Register serves the stream service from memory. It is safe for concurrent use.
type Register struct {
	// limit is the number of streams that are kept at most.
	limit int

	mu sync.Mutex
	// origins holds where streams began. The first record of a stream counts.
	origins map[streamKey]keptOrigin
	// places holds the one copy of each place in origins.
	places  map[place]*place
	sweptAt time.Time
}

type streamKey struct {
	environment string
	request     string
}

// place is a lifetime of an endpoint of a pool, and its version.
type place struct {
	pool     string
	version  string
	endpoint string
	lifetime int64
}

type keptOrigin struct {
	place     *place
	expiresAt time.Time
}

// NewRegister returns an empty register that keeps up to limit streams.
func NewRegister(limit int) *Register {
	return &Register{limit: limit, origins: map[streamKey]keptOrigin{}, places: map[place]*place{}}
}

// RecordStreams keeps where streams began, until their callers can no longer resume them.
func (r *Register) RecordStreams(_ context.Context, in *connect.Request[controlv1.RecordStreamsRequest]) (*connect.Response[controlv1.RecordStreamsResponse], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sweep(now)
	for _, o := range in.Msg.GetStreams() {
		key := streamKey{environment: in.Msg.GetEnvironment(), request: o.GetRequest()}
		if _, known := r.origins[key]; known {
			continue
		}
		if len(r.origins) >= r.limit {
			return nil, connect.NewError(connect.CodeResourceExhausted, &FullError{Kept: r.limit})
		}
		lifetime := min(o.GetLifetime().AsDuration(), maxLifetime)
		r.origins[key] = keptOrigin{place: r.place(o), expiresAt: now.Add(lifetime)}
	}
	return connect.NewResponse(&controlv1.RecordStreamsResponse{}), nil
}

// place returns the one copy of the place where a stream began.
func (r *Register) place(o *controlv1.StreamOrigin) *place {
	k := place{pool: o.GetPool(), version: o.GetVersion(), endpoint: o.GetEndpoint(), lifetime: o.GetEndpointLifetime()}
	p := r.places[k]
	if p == nil {
		p = &k
		r.places[k] = p
	}
	return p
}

// sweep removes the origins that have expired.
func (r *Register) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt = now
	for k, o := range r.origins {
		if !now.Before(o.expiresAt) {
			delete(r.origins, k)
		}
	}
	if len(r.places) > len(r.origins) {
		r.sweepPlaces()
	}
}

// sweepPlaces removes the places that no origin is at.
func (r *Register) sweepPlaces() {
	clear(r.places)
	for _, o := range r.origins {
		r.places[*o.place] = o.place
	}
}

// FindStream answers with the origin of a stream, if it is kept here.
func (r *Register) FindStream(_ context.Context, in *connect.Request[controlv1.FindStreamRequest]) (*connect.Response[controlv1.FindStreamResponse], error) {
	return connect.NewResponse(&controlv1.FindStreamResponse{Stream: r.Find(in.Msg.GetEnvironment(), in.Msg.GetRequest())}), nil
}

// Find returns the origin of the stream that a request began, or nil.
func (r *Register) Find(environment, request string) *controlv1.StreamOrigin {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.origins[streamKey{environment: environment, request: request}]
	left := time.Until(o.expiresAt)
	if !known || left <= 0 {
		return nil
	}
	return &controlv1.StreamOrigin{
		Request: request, Pool: o.place.pool, Version: o.place.version, Lifetime: durationpb.New(left),
		Endpoint: o.place.endpoint, EndpointLifetime: o.place.lifetime,
	}
}
