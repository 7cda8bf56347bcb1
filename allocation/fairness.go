package allocation

// fairness shares the admissions among client accounts by what their requests cost, by
// start-time fair queueing: each account has a tag that grows by the cost of its admitted
// requests, and the lowest goes first. One that has waited for nothing starts at the tag
// of the last admission, so that it saves up no claim. The zero value has no accounts.
type fairness struct {
	// tags is keyed by the name of the account. Those at or below now mean nothing.
	tags map[string]float64
	// now is the tag of the last admission.
	now float64
	// cheapest holds the accounts whose next admission is that of their cheapest request.
	// In between goes their oldest, so that large requests are not starved.
	cheapest map[string]bool
}

// maxTags is the number of tags above which those that are outdated are dropped.
const maxTags = 1024

// tag returns the tag at which an account's next request starts.
func (f *fairness) tag(account string) float64 {
	return max(f.tags[account], f.now)
}

// admit counts an admission of some cost. An account with twice the weight of another gets
// twice as much.
func (f *fairness) admit(account string, cost, weight float64) {
	if account == "" {
		return
	}
	if f.tags == nil {
		f.tags, f.cheapest = map[string]float64{}, map[string]bool{}
	}
	if weight > 0 {
		cost /= weight
	}
	start := f.tag(account)
	f.now, f.tags[account] = start, start+cost
	f.cheapest[account] = !f.cheapest[account]
	if len(f.tags) > maxTags {
		for name, t := range f.tags {
			if t <= f.now {
				delete(f.tags, name)
				delete(f.cheapest, name)
			}
		}
	}
}
