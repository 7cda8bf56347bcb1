package relay

import (
	"expvar"
	"sync/atomic"
	"time"
)

// maxLabels bounds the number of keys of one metric. Further keys are counted
// under otherLabel.
const (
	maxLabels  = 1000
	otherLabel = "other"
)

// labelCounter counts events by label, for a bounded number of labels. The zero
// value is empty. It is safe for concurrent use.
type labelCounter struct {
	expvar.Map
	// labels is the number of labels seen.
	labels atomic.Int64
}

func (l *labelCounter) add(name string, n int64) {
	if l.Get(name) == nil && l.labels.Add(1) > maxLabels {
		name = otherLabel
	}
	l.Add(name, n)
}

// bucketBounds are the upper bounds of the buckets of histograms.
var bucketBounds = []time.Duration{
	time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 10 * time.Second,
}

// histogram counts durations by label and bucket. The zero value is empty. It is
// safe for concurrent use.
type histogram struct {
	labelCounter
}

func (h *histogram) observe(name string, d time.Duration) {
	for _, bound := range bucketBounds {
		if d <= bound {
			h.add(name+" "+bound.String(), 1)
			return
		}
	}
	h.add(name+" more", 1)
}

// metrics are the metrics of a relay.
type metrics struct {
	// Requests is keyed by route and outcome.
	Requests labelCounter
	// Answered, First and Gap are keyed by the kind of the route. First is the time
	// until the answer or its first event is sent, and Gap the longest time between
	// two events of a stream.
	Answered labelCounter
	First    histogram
	Gap      histogram
	// Queue and Prefill are keyed by pool: the time that a request waits for engine
	// memory, and the time that the prefill of a prompt takes.
	Queue   histogram
	Prefill histogram
	// Refused is keyed by reason.
	Refused labelCounter
	// Late counts answers that missed a latency target, Retried counts retries, and
	// OverBudget counts retries that the retry budget did not allow.
	Late       expvar.Int
	Retried    expvar.Int
	OverBudget expvar.Int
	// Extra is keyed by pool and cause: the requests that reached endpoints beyond the
	// first of each call.
	Extra labelCounter
	// PrefillTokens counts the prompt tokens computed by prefill engines: Taken
	// where a decode engine used the result, Wasted where none did.
	PrefillTokens labelCounter
	// Resumed is keyed by outcome: the requests whose callers resume a stream.
	Resumed labelCounter
	// Accounts is keyed by account and outcome, and QuotaWait by account: the time that a
	// request waits for its quota.
	Accounts  labelCounter
	QuotaWait histogram
	// Reserved is keyed by pool: the tokens of engine memory now reserved for calls.
	Reserved labelCounter
}

func newMetrics() *metrics {
	return &metrics{}
}

func (m *metrics) callRefused(r Reason) {
	m.Refused.add(string(r), 1)
}

func (m *metrics) callAnswered(cs *callState) {
	m.Answered.add(string(cs.route.Kind), 1)
}

// callEnded counts the end of a call.
func (m *metrics) callEnded(cs *callState, outcome string) {
	m.Requests.add(cs.route.Name+" "+outcome, 1)
	if cs.account.Name != "" {
		m.Accounts.add(cs.account.Name+" "+outcome, 1)
	}
	if cs.call.LastEvent != "" {
		m.Resumed.add(outcome, 1)
	}
	if cs.longestGap > 0 {
		m.Gap.observe(string(cs.route.Kind), cs.longestGap)
	}
}

// The causes of requests beyond the first of a call.
const (
	causeSentAgain         = "SentAgain"
	causePrefillRejected   = "PrefillRejected"
	causePrefillUnanswered = "PrefillUnanswered"
	causePrefillRepeated   = "PrefillRepeated"
)

// extraSent counts a request beyond the first of a call.
func (m *metrics) extraSent(pool, cause string) {
	m.Extra.add(pool+" "+cause, 1)
}

// promptPrefilled counts a prompt that a prefill engine computed.
func (m *metrics) promptPrefilled(tokens int, used bool) {
	name := "Wasted"
	if used {
		name = "Taken"
	}
	m.PrefillTokens.add(name, int64(tokens))
}

// memoryReserved counts reserved memory until the returned function is called.
func (m *metrics) memoryReserved(pool string, tokens int) func() {
	m.Reserved.add(pool, int64(tokens))
	return func() { m.Reserved.add(pool, -int64(tokens)) }
}

// Metrics returns the metrics, for expvar.
func (r *Relay) Metrics() expvar.Var {
	vars := new(expvar.Map).Init()
	m := r.metrics
	for name, v := range map[string]expvar.Var{
		"Requests": &m.Requests, "Answered": &m.Answered, "Refused": &m.Refused, "Late": &m.Late,
		"First": &m.First, "Gap": &m.Gap, "Queue": &m.Queue, "Prefill": &m.Prefill,
		"Retried": &m.Retried, "OverBudget": &m.OverBudget, "RetriesLeft": expvar.Func(r.retriesLeft),
		"Extra": &m.Extra, "BudgetEntries": expvar.Func(func() any { return r.fleet.Entries() }),
		"PrefillTokens": &m.PrefillTokens, "Reserved": &m.Reserved, "Resumed": &m.Resumed, "Accounts": &m.Accounts, "QuotaWait": &m.QuotaWait, "DecisionsDropped": r.decisions.Dropped,
		"Waiting": expvar.Func(r.queueLengths), "InFlight": expvar.Func(func() any { return r.inFlight.Load() }),
	} {
		vars.Set(name, v)
	}
	return vars
}

// retriesLeft returns the number of retries that the budget allows at once, by
// pool.
func (r *Relay) retriesLeft() any {
	out := map[string]float64{}
	entries := r.fleet.Entries()
	r.retryAccounts.Range(func(pool, account any) bool {
		out[pool.(string)] = account.(*retryAccount).balance(time.Now(), r.budget, entries)
		return true
	})
	return out
}

// queueLengths returns the number of calls that wait for engine memory, by pool.
func (r *Relay) queueLengths() any {
	out := map[string]int{}
	r.queues.Range(func(pool, q any) bool {
		out[pool.(string)] = q.(*queue).length()
		return true
	})
	return out
}
