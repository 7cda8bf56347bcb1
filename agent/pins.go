package agent

import (
	"slices"
	"sync"
	"time"

	"ebonyreel/lease"
	"ebonyreel/reservation"
)

// pins limit the endpoints that run one content at the same time, so that
// copies sent through several entries at once share their endpoints. The zero
// value is empty. It is safe for concurrent use.
type pins struct {
	mu sync.Mutex
	// contents is keyed by role and content.
	contents map[string]*pin
	// held maps an attempt to the contents that it holds.
	held map[string][]string
}

// pin is the agents that may run one content.
type pin struct {
	agents []string
	// attempts hold the pin under the leases of their entries.
	attempts lease.Table
}

// place returns the agents that copies of a content may go to: those of the
// copies under way but for the ones that failed, and the candidate of this
// attempt while they are fewer than spread.
func (p *pins) place(now time.Time, content, attempt, candidate string, failed []string, spread int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.contents == nil {
		p.contents, p.held = map[string]*pin{}, map[string][]string{}
	}
	c := p.contents[content]
	if c == nil {
		c = &pin{}
		p.contents[content] = c
	}
	c.attempts.Lapsed(now)
	if c.attempts.Len() == 0 {
		c.agents = nil
	}
	c.agents = slices.DeleteFunc(c.agents, func(a string) bool { return slices.Contains(failed, a) })
	if len(c.agents) < spread && !slices.Contains(c.agents, candidate) {
		c.agents = append(c.agents, candidate)
	}
	if !c.attempts.Held(attempt, now) {
		p.held[attempt] = append(p.held[attempt], content)
	}
	c.attempts.Renew(attempt, now, reservation.LeaseLength)
	return slices.Clone(c.agents)
}

// renew extends the hold of an attempt. It reports whether there was one.
func (p *pins) renew(now time.Time, attempt string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, k := range p.held[attempt] {
		if c := p.contents[k]; c != nil && c.attempts.Held(attempt, now) {
			c.attempts.Renew(attempt, now, reservation.LeaseLength)
			found = true
		}
	}
	return found
}

// lapse forgets the contents that nobody holds.
func (p *pins) lapse(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, c := range p.contents {
		for _, attempt := range c.attempts.Lapsed(now) {
			delete(p.held, attempt)
		}
		if c.attempts.Len() == 0 {
			delete(p.contents, k)
		}
	}
}
