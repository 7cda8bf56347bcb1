package controls

import (
	"context"
	"time"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// confirmTimeout bounds the wait for a view that has all that control has recorded, and
	// confirmInterval is the time between looks at it.
	confirmTimeout  = 300 * time.Millisecond
	confirmInterval = 5 * time.Millisecond
)

// Endpoints returns the endpoints of a pool that are ready or lost, in no order.
func (v *View) Endpoints(pool string) []*controlv1.Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpointsByPool[pool]
}

// Versions returns the software versions of the endpoints of a pool, in no order, with
// those that have left lately. It waits until the view has all that control had recorded
// when it was called: a version that is not among them has served nothing lately. The error
// is that of the call to control, or of the context.
func (v *View) Versions(ctx context.Context, pool string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// A list without items has the confirmed revision.
	res, err := v.client.List(ctx, &controlv1.ListRequest{Prefix: v.environment + "/Revision/"})
	if err != nil {
		return nil, err
	}
	for v.Revision() < res.GetRevision() {
		if !clock.Sleep(ctx, confirmInterval) {
			return nil, ctx.Err()
		}
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.versionsByPool[pool], nil
}

// EndpointNamed returns the record of an endpoint, or nil.
func (v *View) EndpointNamed(name string) *controlv1.Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[v.environment+"/Endpoint/"+name]
}
