package agent

import (
	"slices"
	"sync"
	"time"

	"ebonyreel/lease"
	"ebonyreel/reservation"
)

// pins limits the endpoints that run one content at the same time, so that
// copies sent through several entries at once share their endpoints. The zero
// value is empty. It is safe for concurrent use.
type pins struct {
	mu sync.Mutex
	// contents is keyed by role and content.
	contents map[string]*pin
	// contentsByAttempt maps an attempt to the contents whose pins it holds.
	contentsByAttempt map[string][]string
}

// pin is the set of agents that may run one content.
type pin struct {
	agents []string
	// attempts are those that hold the pin; their entries renew the leases.
	attempts lease.Table
}

// place returns the agents that copies of a content may run on: those of the
// copies in flight without the failed ones, and the candidate of this attempt
// if there are fewer than spread.
func (p *pins) place(now time.Time, content, attempt, candidate string, failed []string, spread int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.contents == nil {
		p.contents, p.contentsByAttempt = map[string]*pin{}, map[string][]string{}
	}
	c := p.contents[content]
	if c == nil {
		c = &pin{}
		p.contents[content] = c
	}
	c.attempts.RemoveExpired(now)
	if c.attempts.Len() == 0 {
		c.agents = nil
	}
	c.agents = slices.DeleteFunc(c.agents, func(a string) bool { return slices.Contains(failed, a) })
	if len(c.agents) < spread && !slices.Contains(c.agents, candidate) {
		c.agents = append(c.agents, candidate)
	}
	if !c.attempts.Held(attempt, now) {
		p.contentsByAttempt[attempt] = append(p.contentsByAttempt[attempt], content)
	}
	c.attempts.Renew(attempt, now, reservation.LeaseLength)
	return slices.Clone(c.agents)
}

// renew extends the leases of an attempt's pins. It reports false if it holds
// none.
func (p *pins) renew(now time.Time, attempt string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, content := range p.contentsByAttempt[attempt] {
		if c := p.contents[content]; c != nil && c.attempts.Held(attempt, now) {
			c.attempts.Renew(attempt, now, reservation.LeaseLength)
			found = true
		}
	}
	return found
}

// expire removes the contents that no attempt holds.
func (p *pins) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for content, c := range p.contents {
		for _, attempt := range c.attempts.RemoveExpired(now) {
			delete(p.contentsByAttempt, attempt)
		}
		if c.attempts.Len() == 0 {
			delete(p.contents, content)
		}
	}
}
