package relay

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// latencyWeight is the weight of one call in the moving mean of an endpoint's
	// latency, and failureWeight its weight in the failure rate.
	latencyWeight = 0.2
	failureWeight = 0.15
	// latencyMemory is the time constant with which an endpoint's past latency
	// loses its influence, so that a slow endpoint is picked again.
	latencyMemory = 5 * time.Second
	// failureCost multiplies the cost of an endpoint whose calls all fail.
	failureCost = 8
	// otherDomainCost is added for an endpoint in another failure domain, in
	// requests in flight.
	otherDomainCost = 0.3
	// lostCost multiplies the cost of an endpoint that control reports as lost.
	lostCost = 20
	// minBackoff is how long an unreachable endpoint is avoided. The time doubles
	// each time that it is unreachable again, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// fullBackoff is how long a full endpoint is avoided.
	fullBackoff = 50 * time.Millisecond
	// serviceJitter and engineJitter are the largest fractions by which a cost is
	// raised at random. A plain service needs more, as an entry sees few of the
	// calls there, while a full engine refuses a reservation.
	serviceJitter = 0.8
	engineJitter  = 0.1
	// sampleSize bounds the number of endpoints compared for one request.
	sampleSize = 32
	// forgetAfter is how long the statistics of an unused endpoint are kept.
	forgetAfter = time.Minute
)

// tracker keeps statistics of endpoints from the calls of this entry, and picks
// endpoints by them. The zero value is empty. It is safe for concurrent use.
type tracker struct {
	mu sync.Mutex
	// endpoints is keyed by name and lifetime, so that a restarted endpoint starts
	// without history.
	endpoints map[endpointKey]*endpointStats
	// latency is the moving mean over all endpoints of a pool, by pool.
	latency   map[string]time.Duration
	lastSweep time.Time
}

type endpointKey struct {
	name     string
	lifetime int64
}

// endpointStats are the statistics of one endpoint.
type endpointStats struct {
	// load is the sum of the weights of the calls in flight, and calls their
	// number.
	load  float64
	calls int
	// latency is the moving mean over successful calls; zero before the first.
	latency time.Duration
	// failureRate is the moving rate of failures, from 0 to 1.
	failureRate float64
	// lastUsed is when a call last ended here with a known result.
	lastUsed time.Time
	// backoffUntil is until when the endpoint is avoided, and failuresInRow is how
	// often it was unreachable since the last successful call.
	backoffUntil  time.Time
	failuresInRow int
	// admission is what the endpoint has said about the requests that it takes.
	admission admission
}

// key returns the key of the endpoint's statistics.
func (e Endpoint) key() endpointKey {
	return endpointKey{name: e.Name, lifetime: e.Lifetime}
}

func keyOf(e *controlv1.Endpoint) endpointKey {
	return endpointKey{name: e.GetName(), lifetime: e.GetLifetime()}
}

func (t *tracker) statsOf(k endpointKey) *endpointStats {
	if t.endpoints == nil {
		t.endpoints, t.latency = map[endpointKey]*endpointStats{}, map[string]time.Duration{}
	}
	s := t.endpoints[k]
	if s == nil {
		s = &endpointStats{lastUsed: time.Now()}
		t.endpoints[k] = s
	}
	return s
}

// criteria are what a request needs of its endpoint.
type criteria struct {
	now    time.Time
	domain string
	// role is the role needed. A plain service takes any.
	role controlv1.Role
	// weight is the load that the request adds: 1 at a plain service, else a number
	// of tokens.
	weight float64
	// attempted are the names of the endpoints that the request was sent to before.
	attempted map[string]bool
	// suggested is the name of the endpoint to use unless it is backed off or was
	// attempted; empty for none.
	suggested string
	// entries returns the number of entries.
	entries func() int
}

// pick returns the endpoint with the least cost, or nil, and counts a call in
// flight there until end. It also returns the number of this entry's other calls
// in flight there. Endpoints that are backed off or were attempted before are used
// only where there is no other, and those that take no request now are not used.
func (t *tracker) pick(members []*controlv1.Endpoint, c criteria) (*controlv1.Endpoint, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(c.now)
	var best *controlv1.Endpoint
	least := math.Inf(1)
	start, n := 0, len(members)
	if n > sampleSize {
		start, n = rand.IntN(n), sampleSize
	}
	for i := range n {
		e := members[(start+i)%len(members)]
		if _, err := netip.ParseAddrPort(e.GetAddress()); err != nil || !takesRole(e, c.role) {
			continue
		}
		if !t.admits(e, c.now, c.entries) {
			continue
		}
		cost := t.cost(e, c)
		if e.GetName() == c.suggested && cost < lastResortCost {
			cost = 0
		}
		if cost < least {
			best, least = e, cost
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, t.statsOf(keyOf(best)).begin(c.weight, c.entries)
}

// begin counts a call in flight at an endpoint until end. It returns the number of
// this entry's other calls in flight there.
func (t *tracker) begin(e *controlv1.Endpoint, weight float64, entries func() int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statsOf(keyOf(e)).begin(weight, entries)
}

// begin counts a call in flight, and a request against the endpoint's limit. It returns
// the number of the other calls.
func (s *endpointStats) begin(weight float64, entries func() int) int {
	s.admission.take(entries)
	s.load, s.calls = s.load+weight, s.calls+1
	return s.calls - 1
}

// takesRole reports whether an endpoint takes new work of a role. One that was
// ordered to change its role takes none.
func takesRole(e *controlv1.Endpoint, role controlv1.Role) bool {
	if w := e.GetWantedRole(); w != controlv1.Role_ROLE_UNSPECIFIED && w != e.GetRole() {
		return false
	}
	return e.GetRole() == role || e.GetRole() == controlv1.Role_ROLE_SERVICE
}

// lastResortCost places endpoints that are backed off or were attempted before
// after all others.
const lastResortCost = 1e6

func (t *tracker) cost(e *controlv1.Endpoint, c criteria) float64 {
	s := t.statsOf(keyOf(e))
	cost := s.load/c.weight + 1
	if e.GetFailureDomain() != c.domain {
		cost += otherDomainCost
	}
	cost *= t.relativeLatency(s, e.GetServes(), c.now) * (1 + failureCost*s.failureRate)
	if e.GetState() == controlv1.EndpointState_ENDPOINT_STATE_LOST {
		cost *= lostCost
	}
	if c.now.Before(s.backoffUntil) || c.attempted[e.GetName()] {
		cost += lastResortCost
	}
	// Jitter keeps entries with the same view from choosing the same endpoint.
	jitter := serviceJitter
	if c.weight > 1 {
		jitter = engineJitter
	}
	return cost * (1 + rand.Float64()*jitter)
}

// relativeLatency returns the ratio of an endpoint's latency to that of its pool.
// It approaches 1 with the time since the endpoint was last used.
func (t *tracker) relativeLatency(s *endpointStats, pool string, now time.Time) float64 {
	poolLatency := t.latency[pool]
	if s.latency == 0 || poolLatency == 0 {
		return 1
	}
	ratio := float64(s.latency) / float64(poolLatency)
	return 1 + (ratio-1)*math.Exp(-float64(now.Sub(s.lastUsed))/float64(latencyMemory))
}

// sweep discards the statistics of endpoints that are no longer used.
func (t *tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < forgetAfter {
		return
	}
	t.lastSweep = now
	for k, s := range t.endpoints {
		if s.calls == 0 && now.Sub(s.lastUsed) > forgetAfter && !s.admission.holds(now) {
			delete(t.endpoints, k)
		}
	}
}

// endpointResult is what a call showed about its endpoint.
type endpointResult int

const (
	// resultSuccess means that the call completed.
	resultSuccess endpointResult = iota
	// resultUnknown means that the call shows nothing, as its caller gave up or the
	// attempt was not made.
	resultUnknown
	// resultFull means that the endpoint had no capacity left.
	resultFull
	// resultFailed means that the endpoint failed the call or stalled.
	resultFailed
	// resultUnreachable means that no connection was made, or that it broke.
	resultUnreachable
)

// end ends a call that pick began, with the same weight. latency is the time until
// the answer or until the first event of a stream; zero where there was none.
func (t *tracker) end(e *controlv1.Endpoint, result endpointResult, latency time.Duration, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, s := time.Now(), t.statsOf(keyOf(e))
	s.load, s.calls = s.load-weight, s.calls-1
	if result == resultUnknown {
		return
	}
	s.lastUsed = now
	failure := 0.0
	switch result {
	case resultFull:
		s.backoffUntil = now.Add(fullBackoff)
		return
	case resultFailed:
		failure = 1
	case resultUnreachable:
		failure = 1
		s.backoffUntil = now.Add(min(minBackoff<<min(s.failuresInRow, 8), maxBackoff))
		s.failuresInRow++
	case resultSuccess:
		s.failuresInRow = 0
	}
	s.failureRate += failureWeight * (failure - s.failureRate)
	if result == resultSuccess && latency > 0 {
		s.latency = movingMean(s.latency, latency)
		t.latency[e.GetServes()] = movingMean(t.latency[e.GetServes()], latency)
	}
}

// movingMean adds a latency to an exponentially weighted mean; zero is an empty
// mean.
func movingMean(old, next time.Duration) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(latencyWeight*float64(next-old))
}
