// Package decision records the placement of each request, or why it was refused.
// There is one record per request, written as a JSON line; the newest records are
// also kept in memory. Operators read them with ebonyreel explain.
package decision

import (
	"sync"
	"time"

	"ebonyreel/logs"
)

// Outcomes of requests that were not refused. The outcome of a refused request is
// its refusal code.
const (
	// Completed means that the whole answer was sent.
	Completed = "completed"
	// CallerGone means that the caller's connection broke.
	CallerGone = "caller_gone"
	// Failed means that a failure reported by the endpoint itself was passed on
	// to the caller.
	Failed = "failed"
	// Aborted means that the answer was aborted after its start.
	Aborted = "broken_off"
)

const (
	// maxSteps bounds the number of choices in a record, and that of failures.
	maxSteps = 32
	// maxReasonBytes bounds a reason in a record, as a reason may quote input from
	// outside.
	maxReasonBytes = 256
)

// Record is the record of one request, written as one line of the log. It holds no
// text of prompts or answers.
type Record struct {
	// Time is when the request was received.
	Time time.Time
	// Entry is the name of the entry that received the request.
	Entry string
	// Request is the ID of the request.
	Request string
	// Caller is the name of the caller; it is empty if the key is unknown.
	Caller string
	// Route is the name of the route that matched; it is empty for calls that
	// name a model or a service.
	Route string `json:",omitempty"`
	// Priority is that of the request, where its account may go before its route.
	Priority int `json:",omitempty"`
	// Serves is the name of the requested model, service or pool.
	Serves string `json:",omitempty"`
	// DocumentNumber is the number of the document that was in force.
	DocumentNumber uint64
	// DocumentAgeMilliseconds is how long that document had been in force here when the
	// request was judged by it.
	DocumentAgeMilliseconds int64 `json:",omitempty"`
	// PromptTokens, MaxOutput and ExpectedOutput are the sizes in tokens that the
	// request declares.
	PromptTokens   int `json:",omitempty"`
	MaxOutput      int `json:",omitempty"`
	ExpectedOutput int `json:",omitempty"`
	// PromptParts are the IDs of the parts of the prompt that other prompts may
	// share, truncated.
	PromptParts []string `json:",omitempty"`
	// ResumedRequest is the ID of the request that began the stream which the caller
	// resumes, and ResumedAfter that of the last event it has received.
	ResumedRequest string `json:",omitempty"`
	ResumedAfter   string `json:",omitempty"`
	// Choices and Failures are in chronological order, at most maxSteps each.
	Choices  []Choice  `json:",omitempty"`
	Failures []Failure `json:",omitempty"`
	// Full is the number of endpoints that had no capacity for the request when
	// they were asked.
	Full int `json:",omitempty"`
	// OverBudget is the number of further requests to endpoints that the retry budget did
	// not allow.
	OverBudget int `json:",omitempty"`
	// Outcome is one of the outcome constants or a refusal code.
	Outcome string
	// Reason is a text for operators; it is empty for Completed.
	Reason string `json:",omitempty"`
	// Late is true for an answer that missed a latency target of its route.
	Late bool `json:",omitempty"`
	// FirstMilliseconds is the time to the first event of a stream, and
	// LongestGapMilliseconds the longest time between two events. LastEvent is
	// the ID of the last event passed on to the caller.
	FirstMilliseconds      int64  `json:",omitempty"`
	LongestGapMilliseconds int64  `json:",omitempty"`
	LastEvent              string `json:",omitempty"`
	// RetryAfterMilliseconds is the retry delay that the caller was told.
	RetryAfterMilliseconds int64 `json:",omitempty"`
	// ElapsedMilliseconds is the time from Begin to End.
	ElapsedMilliseconds int64
}

// Choice is one placement decision.
type Choice struct {
	// Attempt is the number of the attempt, starting at one; it is zero for calls
	// to a plain service under /services.
	Attempt uint32
	// Role is the role of the endpoint: Prefill, Decode or Service.
	Role string
	// Members is the number of members to choose from.
	Members int
	// Candidates are the endpoints that were asked, best first, with their load
	// as known at that time.
	Candidates []Candidate
	// Chosen is the name of the chosen candidate; it is empty if there was none.
	Chosen string
	// Version is the software version of the chosen endpoint, where it is known.
	Version string `json:",omitempty"`
	// AfterMilliseconds is the time from the start of the request.
	AfterMilliseconds int64
}

// Candidate is an endpoint with its last known load.
type Candidate struct {
	Name string
	// Known is false if the endpoint has not reported a load yet.
	Known            bool
	PiecesFree       int
	Running          int
	Queued           int
	WaitMilliseconds int64
}

// Failure is one failed attempt.
type Failure struct {
	Attempt uint32
	Reason  string
	// AfterMilliseconds is the time from the start of the request.
	AfterMilliseconds int64
}

// Request collects the record of one request. It is safe for concurrent use.
type Request struct {
	log   *Log
	start time.Time

	mu sync.Mutex
	// record is guarded by mu until ended is true, and does not change after.
	record Record
	ended  bool
}

// Begin starts the record of a request.
func (l *Log) Begin(request string, now time.Time) *Request {
	return &Request{log: l, start: now, record: Record{Time: now, Entry: l.entry, Request: request}}
}

// Describe sets the caller, the requested model, service or pool, and the number
// of the document in force.
func (r *Request) Describe(caller, serves string, document uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Caller, r.record.Serves, r.record.DocumentNumber = caller, serves, document
}

// Update calls fill with the record, to set further fields. It does nothing after
// End. The function must not call methods of the request.
func (r *Request) Update(fill func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		fill(&r.record)
	}
}

// SetPromptParts sets the IDs of the shared parts of the prompt.
func (r *Request) SetPromptParts(ids []string) {
	r.Update(func(d *Record) { d.PromptParts = logs.TruncateList(ids) })
}

// AddChoice adds a placement decision.
func (r *Request) AddChoice(c Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || len(r.record.Choices) >= maxSteps {
		return
	}
	c.AfterMilliseconds = time.Since(r.start).Milliseconds()
	r.record.Choices = append(r.record.Choices, c)
}

// AddFailure adds a failed attempt.
func (r *Request) AddFailure(attempt uint32, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || len(r.record.Failures) >= maxSteps {
		return
	}
	r.record.Failures = append(r.record.Failures, Failure{Attempt: attempt, Reason: logs.TruncateText(reason, maxReasonBytes), AfterMilliseconds: time.Since(r.start).Milliseconds()})
}

// End completes the record and adds it to the log. Only the first call has an
// effect.
func (r *Request) End(outcome, reason string) {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.ended = true
	r.record.Outcome, r.record.Reason = outcome, logs.TruncateText(reason, maxReasonBytes)
	r.record.ElapsedMilliseconds = time.Since(r.start).Milliseconds()
	r.mu.Unlock()
	r.log.add(r.record)
}
