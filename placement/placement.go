// Package placement decides which endpoints a request is offered to. Its cost
// does not grow with the number of endpoints: each policy looks at a few.
package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is what is known of an endpoint's load, with a lag.
type Load struct {
	// PiecesFree is the engine memory that is not promised.
	PiecesFree int
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// Wait is the expected wait for a grant.
	Wait time.Duration
	// Known is false where nothing was reported yet.
	Known bool
}

// Candidates is a list of endpoints, seen through their indices.
type Candidates interface {
	// Len is the number of endpoints.
	Len() int
	// Load returns what is known of one endpoint.
	Load(i int) Load
}

// Policy chooses endpoints. Implementations are safe for concurrent use.
type Policy interface {
	// Decode returns the indices of the endpoints to ask for memory, best
	// first; the first one that grants is taken.
	Decode(c Candidates) []int
	// Prefill returns the indices of the endpoints to ask for a turn to
	// compute a prompt, best first; the first one that grants is taken.
	Prefill(c Candidates, prefix uint64) []int
	// Reserves reports whether decode memory and a turn at a prefill endpoint
	// are promised before the prefill starts; otherwise a prompt queues at the
	// first endpoint, and the computed prompt waits for memory.
	Reserves() bool
}

// Names of the policies.
const (
	// Reserve samples endpoints and binds to the first that promises memory.
	Reserve = "reserve"
	// RoundRobin and LeastLoaded are baselines without reservation.
	RoundRobin  = "round-robin"
	LeastLoaded = "least-loaded"
)

// New returns a policy by name. It reports false for an unknown name.
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
	// samples is the number of endpoints asked for one request.
	samples = 4
	// crowded is the prefill queue at which locality gives way to load.
	crowded = 3
)

// Prefix hashes the part of a prompt that callers are likely to share.
func Prefix(prompt string, length int) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), length)])
}

// reserve samples a few endpoints at random and asks the least loaded of them
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"),
// binding late to the first that has room (Ousterhout et al., "Sparrow").
type reserve struct{}

func (reserve) Decode(c Candidates) []int {
	picked := sample(c.Len(), samples)
	sortByLoad(c, picked)
	return picked
}

// Reserves is true.
func (reserve) Reserves() bool {
	return true
}

// Prefill prefers the endpoint that a prefix hashes to, whose cache is likely
// to hold it, unless it is crowded.
func (reserve) Prefill(c Candidates, prefix uint64) []int {
	n := c.Len()
	if n == 0 {
		return nil
	}
	picked := sample(n, samples)
	sortByLoad(c, picked)
	home := int(prefix % uint64(n))
	if c.Load(home).Queued < crowded && !contains(picked, home) {
		picked[len(picked)-1] = home
	}
	return picked
}

// roundRobin takes endpoints in turn.
type roundRobin struct {
	decode  atomic.Uint64
	prefill atomic.Uint64
}

func (p *roundRobin) Decode(c Candidates) []int {
	if c.Len() == 0 {
		return nil
	}
	return []int{int(p.decode.Add(1) % uint64(c.Len()))}
}

func (p *roundRobin) Prefill(c Candidates, _ uint64) []int {
	if c.Len() == 0 {
		return nil
	}
	return []int{int(p.prefill.Add(1) % uint64(c.Len()))}
}

// Reserves is false.
func (*roundRobin) Reserves() bool {
	return false
}

// leastLoaded takes the endpoint with the least reported load of all.
type leastLoaded struct{}

func (leastLoaded) Decode(c Candidates) []int {
	if c.Len() == 0 {
		return nil
	}
	return []int{least(c)}
}

func (l leastLoaded) Prefill(c Candidates, _ uint64) []int {
	return l.Decode(c)
}

// Reserves is false.
func (leastLoaded) Reserves() bool {
	return false
}

func least(c Candidates) int {
	best := rand.IntN(c.Len())
	for i := range c.Len() {
		if lighter(c.Load(i), c.Load(best)) {
			best = i
		}
	}
	return best
}

// lighter orders loads: shorter wait, then fewer requests, then more memory.
func lighter(a, b Load) bool {
	if a.Wait != b.Wait {
		return a.Wait < b.Wait
	}
	if x, y := a.Running+a.Queued, b.Running+b.Queued; x != y {
		return x < y
	}
	return a.PiecesFree > b.PiecesFree
}

// sample returns up to k distinct indices below n, at random.
func sample(n, k int) []int {
	if n <= k {
		return rand.Perm(n)
	}
	out := make([]int, 0, k)
	for len(out) < k {
		i := rand.IntN(n)
		if !contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func contains(all []int, v int) bool {
	for _, a := range all {
		if a == v {
			return true
		}
	}
	return false
}

// sortByLoad is an insertion sort, as the lists are short.
func sortByLoad(c Candidates, picked []int) {
	for i := 1; i < len(picked); i++ {
		for j := i; j > 0 && lighter(c.Load(picked[j]), c.Load(picked[j-1])); j-- {
			picked[j], picked[j-1] = picked[j-1], picked[j]
		}
	}
}
