package state

import (
	"cmp"
	"slices"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

// endpointIndex finds endpoints without a look at all of them. It follows from the
// items of the state and is not part of a snapshot. The zero value is empty.
type endpointIndex struct {
	// byAddress holds the keys of the endpoints at an address of an environment.
	byAddress map[endpointAddress]map[string]bool
	// count is the number of endpoints of each environment.
	count map[string]int
	// ended holds, for each environment, the endpoints that became gone or lost, in
	// that order. An endpoint that has changed since is still there.
	ended map[string][]endedEndpoint
}

type endpointAddress struct {
	environment string
	address     string
}

// endedEndpoint is an endpoint that was gone or lost at a time.
type endedEndpoint struct {
	key string
	at  time.Time
}

func addressOf(e *controlv1.Endpoint) endpointAddress {
	return endpointAddress{environment: e.GetEnvironment(), address: e.GetAddress()}
}

func hasEnded(e *controlv1.Endpoint) bool {
	return e.GetState() == controlv1.EndpointState_ENDPOINT_STATE_GONE || e.GetState() == controlv1.EndpointState_ENDPOINT_STATE_LOST
}

// put replaces the old record of an endpoint, which may be nil.
func (x *endpointIndex) put(key string, old, e *controlv1.Endpoint) {
	if x.byAddress == nil {
		x.byAddress, x.count, x.ended = map[endpointAddress]map[string]bool{}, map[string]int{}, map[string][]endedEndpoint{}
	}
	if old != nil {
		x.remove(key, old)
	}
	a := addressOf(e)
	if x.byAddress[a] == nil {
		x.byAddress[a] = map[string]bool{}
	}
	x.byAddress[a][key] = true
	x.count[e.GetEnvironment()]++
	if hasEnded(e) {
		x.ended[e.GetEnvironment()] = append(x.ended[e.GetEnvironment()], endedEndpoint{key: key, at: e.GetUpdatedAt().AsTime()})
	}
}

// remove removes the record of an endpoint.
func (x *endpointIndex) remove(key string, e *controlv1.Endpoint) {
	a := addressOf(e)
	delete(x.byAddress[a], key)
	if len(x.byAddress[a]) == 0 {
		delete(x.byAddress, a)
	}
	x.count[e.GetEnvironment()]--
}

// keysAt returns the keys of the endpoints at the address of an endpoint, sorted.
func (x *endpointIndex) keysAt(e *controlv1.Endpoint) []string {
	var out []string
	for key := range x.byAddress[addressOf(e)] {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// takeEnded removes and returns the endpoints of an environment that ended longer ago
// than age.
func (x *endpointIndex) takeEnded(environment string, now time.Time, age time.Duration) []endedEndpoint {
	ended := x.ended[environment]
	n := 0
	for n < len(ended) && olderThan(ended[n].at, now, age) {
		n++
	}
	if n > 0 {
		x.ended[environment] = ended[n:]
	}
	return ended[:n]
}

// indexEndpoints returns the index of the endpoints among items.
func indexEndpoints(items map[string]*controlv1.Item) endpointIndex {
	var x endpointIndex
	for key, it := range items {
		if e := it.GetEndpoint(); e != nil {
			x.put(key, nil, e)
		}
	}
	for _, ended := range x.ended {
		slices.SortFunc(ended, func(a, b endedEndpoint) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key)) })
	}
	return x
}
