package relay

import (
	"sync"
	"time"
)

// RetryBudget bounds the retries that all entries together send to one pool: in any
// window, at most Ratio retries per request, and Slack more.
type RetryBudget struct {
	// Ratio is retries per request.
	Ratio float64
	// Slack is a number of retries.
	Slack  float64
	Window time.Duration
}

const (
	// ratioFraction and slackFraction are the fractions of the budget that running
	// entries use. The rest is reserved for entries that restart, as each of them
	// starts with a full bucket.
	ratioFraction = 0.7
	slackFraction = 0.5
	// minEntries is the least number of entries among which the slack is divided,
	// even while fewer are known.
	minEntries = 4
)

// retryBucket is one entry's share of the retry budget of a pool: a token bucket
// that requests fill and retries empty. The zero value is a full bucket. It is
// safe for concurrent use.
type retryBucket struct {
	mu sync.Mutex
	// spent is the number of tokens missing from a full bucket.
	spent float64
}

// deposit adds the tokens that one request earns.
func (r *retryBucket) deposit(b RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(0, r.spent-b.Ratio*ratioFraction)
}

// withdraw takes one token for a retry and reports whether there was one. entries
// is the number of entries that share the budget.
func (r *retryBucket) withdraw(b RetryBudget, entries int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > b.bucketSize(entries) {
		return false
	}
	r.spent++
	return true
}

// balance returns the tokens that are there.
func (r *retryBucket) balance(b RetryBudget, entries int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.bucketSize(entries) - r.spent
}

// bucketSize returns the size of one entry's bucket, in tokens.
func (b RetryBudget) bucketSize(entries int) float64 {
	return b.Slack * slackFraction / float64(max(entries, minEntries))
}
