package relay

import controlv1 "ebonyreel/proto/control/v1"

// Origin is where a stream began. Events of two software versions do not fit together, so
// that it goes on only at endpoints of the same pool and version.
type Origin struct {
	Pool    string
	Version string
}

// members returns the endpoints that may serve a call: those of its pool and, for a
// started stream, of its version.
func (r *Relay) members(cs *callState) []*controlv1.Endpoint {
	all := r.fleet.Endpoints(cs.pool.Name)
	if cs.origin == nil {
		return all
	}
	var out []*controlv1.Endpoint
	for _, e := range all {
		if e.GetVersion() == cs.origin.Version {
			out = append(out, e)
		}
	}
	return out
}
