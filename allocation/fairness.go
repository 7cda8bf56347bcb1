package allocation

import "math"

// fairness shares the admissions among client accounts by what their requests cost, by
// start-time fair queueing: each account has a tag that grows by the cost of its admitted
// requests, and the lowest goes first. One that has waited for nothing starts at the tag
// of the last admission, so that it saves up no claim. The zero value has no accounts.
type fairness struct {
	// tags is keyed by the name of the account; those at or below now are left out.
	tags map[string]float64
	// now is the tag of the last admission.
	now float64
}

// maxTags is the number of tags above which those that are outdated are dropped.
const maxTags = 1024

// tag returns the tag at which an account's next request starts.
func (f *fairness) tag(account string) float64 {
	return max(f.tags[account], f.now)
}

// admit counts an admission of some cost.
func (f *fairness) admit(account string, cost float64) {
	if account == "" {
		return
	}
	if f.tags == nil {
		f.tags = map[string]float64{}
	}
	start := f.tag(account)
	f.now, f.tags[account] = start, start+cost
	if len(f.tags) > maxTags {
		for name, t := range f.tags {
			if t <= f.now {
				delete(f.tags, name)
			}
		}
	}
}

// cost returns what a request is likely to take of an engine, in tokens.
func (r *Request) cost() float64 {
	output := math.Exp(r.Output.LogMedian + r.Output.Deviation*r.Output.Deviation/2)
	if r.Output.Max > 0 {
		output = min(output, float64(r.Output.Max))
	}
	return float64(r.PromptTokens) + output
}
