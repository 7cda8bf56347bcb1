package relay

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/document"
	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
)

// Streams knows where streams began, so that every entry can go on with them. Events of
// two software versions do not fit together: a stream goes on only at endpoints of the pool
// and the version of its origin.
type Streams interface {
	// Record records where a stream began. It does not wait.
	Record(o *controlv1.StreamOrigin)
	// Find returns the origin of the stream that a request began, or an error where it is
	// not known.
	Find(ctx context.Context, request string) (*controlv1.StreamOrigin, error)
}

// UnknownOriginError reports a stream that its caller resumes and whose origin is not
// known.
type UnknownOriginError struct {
	// Cause is why the origin was not found; nil where the caller does not name the request
	// that began the stream, which may have begun in several pools or at several versions.
	Cause error
}

func (e *UnknownOriginError) Error() string {
	if e.Cause == nil {
		return "the caller does not say which request began the stream"
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOriginError) Unwrap() error {
	return e.Cause
}

// noStreams knows no streams.
type noStreams struct{}

func (noStreams) Record(*controlv1.StreamOrigin) {}

func (noStreams) Find(context.Context, string) (*controlv1.StreamOrigin, error) {
	return nil, &UnknownOriginError{}
}

// SetStreams makes the relay record where streams began, and go on with those that began
// at other entries. It must be called before the first call is served.
func (r *Relay) SetStreams(s Streams) {
	r.streams = s
}

// findOrigin finds the origin of a stream that its caller resumes. The error is an
// *UnknownOriginError, or a *NoEndpointError where the route does not lead to that pool any
// more.
func (r *Relay) findOrigin(ctx context.Context, cs *callState) error {
	if cs.call.LastEvent == "" || cs.route.Kind != document.KindStream {
		return nil
	}
	var pools []string
	for _, s := range cs.route.Split {
		if s.Weight > 0 {
			pools = append(pools, s.Name)
		}
	}
	if cs.call.ResumedRequest == "" {
		return r.inferOrigin(ctx, cs, pools)
	}
	o, err := r.streams.Find(ctx, cs.call.ResumedRequest)
	if err != nil {
		return &UnknownOriginError{Cause: err}
	}
	if !slices.Contains(pools, o.GetPool()) {
		return &NoEndpointError{Pool: o.GetPool()}
	}
	if r.replaced(o) {
		return &UnknownOriginError{Cause: &ReplacedEndpointError{Endpoint: o.GetEndpoint()}}
	}
	cs.origin = o
	return nil
}

// ReplacedEndpointError reports a stream of which it is not known which version made its
// events: its endpoint started again under its name with another version, and answers
// before it announces itself.
type ReplacedEndpointError struct {
	Endpoint string
}

func (e *ReplacedEndpointError) Error() string {
	return "endpoint " + e.Endpoint + " started again with another version"
}

// replaced reports whether the endpoint at which a stream began has started again under its
// name with another version.
func (r *Relay) replaced(o *controlv1.StreamOrigin) bool {
	e := r.fleet.EndpointNamed(o.GetEndpoint())
	return e != nil && e.GetLifetime() != o.GetEndpointLifetime() && e.GetVersion() != o.GetVersion()
}

// inferOrigin sets the origin of a stream whose caller does not name it, where there is
// only one pool, and only one version has served there since the stream can have begun.
func (r *Relay) inferOrigin(ctx context.Context, cs *callState, pools []string) error {
	if len(pools) != 1 {
		return &UnknownOriginError{}
	}
	versions, err := r.fleet.Versions(ctx, pools[0])
	if err != nil {
		return &UnknownOriginError{Cause: err}
	}
	switch len(versions) {
	case 0:
		return &NoEndpointError{Pool: pools[0]}
	case 1:
		cs.origin = &controlv1.StreamOrigin{Pool: pools[0], Version: versions[0]}
		return nil
	}
	return &UnknownOriginError{}
}

// recordOrigin records that a stream begins at the endpoint of the current attempt.
func (r *Relay) recordOrigin(cs *callState) {
	cs.origin = &controlv1.StreamOrigin{
		Request: cs.call.ID, Pool: cs.pool.Name, Version: cs.endpoint.Version, Lifetime: durationpb.New(cs.timeLeft()),
		Endpoint: cs.endpoint.Name, EndpointLifetime: cs.endpoint.Lifetime,
	}
	if cs.route.Resumable {
		r.streams.Record(cs.origin)
		r.logger(cs, nil).WithFields(logrus.Fields{"Endpoint": cs.endpoint.Name, "Version": logs.Truncate(cs.endpoint.Version)}).Info("stream began")
	}
}

// recordResumption records the origin of a resumed stream under the ID of the request that
// resumes it, as its caller may name that one next.
func (r *Relay) recordResumption(cs *callState) {
	o := proto.CloneOf(cs.origin)
	o.Request, o.Lifetime = cs.call.ID, durationpb.New(cs.timeLeft())
	r.streams.Record(o)
}

// members returns the endpoints that may serve a call: those of its pool and, for a
// started stream, of its version.
func (r *Relay) members(cs *callState) []*controlv1.Endpoint {
	all := r.fleet.Endpoints(cs.pool.Name)
	if cs.origin == nil {
		return all
	}
	if r.replaced(cs.origin) {
		return nil
	}
	return ofVersion(all, cs.origin.GetVersion())
}

// ofVersion returns the endpoints of a version.
func ofVersion(all []*controlv1.Endpoint, version string) []*controlv1.Endpoint {
	var out []*controlv1.Endpoint
	for _, e := range all {
		if e.GetVersion() == version {
			out = append(out, e)
		}
	}
	return out
}
