package allocation

import "time"

// reportLag is how old a run must be before an owner's report that lacks it ends it:
// the report may have been made before the grant arrived.
const reportLag = 2 * time.Second

// Run is a run as its owner reports it.
type Run struct {
	ID           string
	Engine       string
	PromptTokens int
	Output       Length
	// Age is the time since its memory was reserved.
	Age time.Duration
	// PerToken is the time that its engine took for a token lately; zero before the first.
	PerToken time.Duration
}

// Reconcile makes the runs of an owner those that it reports. A Pool that knows
// nothing, as that of a new leader, learns them so, and runs whose end was never
// told are removed.
func (p *Pool) Reconcile(owner string, runs []Run, now time.Time) {
	reported := map[string]bool{}
	for _, r := range runs {
		reported[r.ID] = true
		p.paces.Observe(r.Engine, r.PerToken, now)
		if p.runs[r.ID] == nil {
			p.addRun(&run{id: r.ID, owner: owner, engine: r.Engine, promptTokens: r.PromptTokens, output: r.Output, grantedAt: now.Add(-r.Age)})
		}
	}
	for id, r := range p.runs {
		if r.owner == owner && !reported[id] && now.Sub(r.grantedAt) > reportLag {
			p.removeRun(id)
		}
	}
}

// Forget removes the runs and the waiting requests of an owner that is gone.
func (p *Pool) Forget(owner string) {
	for id, r := range p.runs {
		if r.owner == owner {
			p.removeRun(id)
		}
	}
	kept := p.waiting.requests[:0]
	for _, r := range p.waiting.requests {
		if r.Owner != owner {
			kept = append(kept, r)
		}
	}
	clear(p.waiting.requests[len(kept):])
	p.waiting.requests = kept
}
