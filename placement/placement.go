// Package placement chooses the endpoints to ask for each request. The cost of
// the reserve policy does not grow with the number of endpoints, as it compares
// only a few. Package entry uses it; package relay chooses endpoints by statistics
// of its own.
package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is the last known load of an endpoint; it lags behind.
type Load struct {
	// PiecesFree is the engine memory that is not reserved, in pieces.
	PiecesFree int
	// Running and Queued are the numbers of requests with and without a grant.
	Running int
	Queued  int
	// Wait is the expected wait for a grant.
	Wait time.Duration
	// Known is false until the endpoint's load has been reported.
	Known bool
}

// Candidates is a list of endpoints that are referred to by index.
type Candidates interface {
	// Len is the number of endpoints.
	Len() int
	// Load returns the last known load of one endpoint.
	Load(i int) Load
}

// Policy chooses endpoints. Implementations must be safe for concurrent use.
type Policy interface {
	// Decode returns the indices of the endpoints to ask for decode memory,
	// best first. The request goes to the first one that grants it.
	Decode(c Candidates) []int
	// Prefill returns the indices of the endpoints to ask for a prefill slot,
	// best first. The request goes to the first one that grants it. prefix is
	// the hash of the prompt's prefix, as HashPrefix returns it.
	Prefill(c Candidates, prefix uint64) []int
	// Reserves reports whether decode memory and a prefill slot are reserved
	// before the prefill starts. Otherwise a prompt queues at the first prefill
	// endpoint, and its KV cache waits there for decode memory.
	Reserves() bool
}

// Names of the policies.
const (
	// Reserve samples endpoints and uses the first one that grants a
	// reservation.
	Reserve = "reserve"
	// RoundRobin and LeastLoaded are baselines without reservation.
	RoundRobin  = "round-robin"
	LeastLoaded = "least-loaded"
)

// New returns the policy with a name. It reports false for an unknown name.
func New(name string) (Policy, bool) {
	switch name {
	case Reserve:
		return &reserve{}, true
	case RoundRobin:
		return &roundRobin{}, true
	case LeastLoaded:
		return &leastLoaded{}, true
	}
	return nil, false
}

const (
	// sampleSize is the number of endpoints to ask for one request.
	sampleSize = 4
	// crowdedQueueLength is the prefill queue length, in requests, from which
	// on an endpoint is not preferred for its prefix cache.
	crowdedQueueLength = 3
)

// HashPrefix returns the hash of the first length bytes of a prompt, the part that
// prompts are likely to have in common.
func HashPrefix(prompt string, length int) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), length)])
}

// reserve samples a few endpoints at random and asks them in order of load
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"). The
// request is bound late, to the first one with free capacity (Ousterhout et al.,
// "Sparrow").
type reserve struct{}

func (reserve) Decode(c Candidates) []int {
	sampled := sample(c.Len(), sampleSize)
	sortByLoad(c, sampled)
	return sampled
}

// Reserves returns true.
func (reserve) Reserves() bool {
	return true
}

// Prefill samples endpoints like Decode, but replaces the most loaded one of the
// sample by the endpoint that the prefix hashes to, whose cache is likely to
// hold the prefix, unless that endpoint's queue is too long.
func (reserve) Prefill(c Candidates, prefix uint64) []int {
	n := c.Len()
	if n == 0 {
		return nil
	}
	sampled := sample(n, sampleSize)
	sortByLoad(c, sampled)
	preferred := int(prefix % uint64(n))
	if c.Load(preferred).Queued < crowdedQueueLength && !contains(sampled, preferred) {
		sampled[len(sampled)-1] = preferred
	}
	return sampled
}

// roundRobin returns one endpoint after the other.
type roundRobin struct {
	nextDecode  atomic.Uint64
	nextPrefill atomic.Uint64
}

func (p *roundRobin) Decode(c Candidates) []int {
	if c.Len() == 0 {
		return nil
	}
	return []int{int(p.nextDecode.Add(1) % uint64(c.Len()))}
}

func (p *roundRobin) Prefill(c Candidates, _ uint64) []int {
	if c.Len() == 0 {
		return nil
	}
	return []int{int(p.nextPrefill.Add(1) % uint64(c.Len()))}
}

// Reserves returns false.
func (*roundRobin) Reserves() bool {
	return false
}

// leastLoaded returns the endpoint with the least reported load of all.
type leastLoaded struct{}

func (leastLoaded) Decode(c Candidates) []int {
	if c.Len() == 0 {
		return nil
	}
	return []int{leastLoadedIndex(c)}
}

func (l leastLoaded) Prefill(c Candidates, _ uint64) []int {
	return l.Decode(c)
}

// Reserves returns false.
func (leastLoaded) Reserves() bool {
	return false
}

// leastLoadedIndex returns the endpoint with the least load. The comparison
// starts at a random one, so that ties do not always go to the same endpoint.
func leastLoadedIndex(c Candidates) int {
	best := rand.IntN(c.Len())
	for i := range c.Len() {
		if lessLoaded(c.Load(i), c.Load(best)) {
			best = i
		}
	}
	return best
}

// lessLoaded orders loads by shorter wait, then by fewer requests, then by more
// free memory.
func lessLoaded(a, b Load) bool {
	if a.Wait != b.Wait {
		return a.Wait < b.Wait
	}
	if requestsA, requestsB := a.Running+a.Queued, b.Running+b.Queued; requestsA != requestsB {
		return requestsA < requestsB
	}
	return a.PiecesFree > b.PiecesFree
}

// sample returns up to size distinct random indices below n.
func sample(n, size int) []int {
	if n <= size {
		return rand.Perm(n)
	}
	out := make([]int, 0, size)
	for len(out) < size {
		i := rand.IntN(n)
		if !contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func contains(list []int, v int) bool {
	for _, a := range list {
		if a == v {
			return true
		}
	}
	return false
}

// sortByLoad sorts indices by load, least first. It is an insertion sort, as the
// lists are short.
func sortByLoad(c Candidates, indices []int) {
	for i := 1; i < len(indices); i++ {
		for j := i; j > 0 && lessLoaded(c.Load(indices[j]), c.Load(indices[j-1])); j-- {
			indices[j], indices[j-1] = indices[j-1], indices[j]
		}
	}
}
