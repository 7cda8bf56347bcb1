// Package callers reads the calls of callers and writes the answers to them:
// completion and chat completion calls in the style of OpenAI, server-sent events,
// and refusals. Package entry serves the calls, and package platform reads the
// calls of the users' platform.
package callers

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// IdempotencyKeyHeader is the HTTP header with the caller's idempotency key of
// a call that must run at most once.
const IdempotencyKeyHeader = "Idempotency-Key"

// Code is the kind of a refusal. The set is small and documented for callers.
type Code string

const (
	// NotRun means that the call did not run and will not.
	NotRun Code = "not_run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Code = "outcome_unknown"
	// InvalidRequest means that the call is invalid.
	InvalidRequest Code = "not_understood"
	// NotAllowed means that the document does not permit this call to the caller.
	NotAllowed Code = "not_allowed"
	// Conflict means that the idempotency key was used with another call.
	Conflict Code = "conflict"
	// InProgress means that a call with this idempotency key is still running.
	InProgress Code = "in_progress"
	// LimitExceeded means that the caller exceeds its rate limit or its limit of calls
	// in flight. The call did not run.
	LimitExceeded Code = "too_many"
	// AnswerNotStored means that the call ran once, and that its answer was not stored.
	AnswerNotStored Code = "answer_gone"
	// Aborted means that an answer was aborted after its start.
	Aborted Code = "broken"
)

// httpStatuses maps each code to its HTTP status.
var httpStatuses = map[Code]int{
	NotRun:          http.StatusServiceUnavailable,
	OutcomeUnknown:  http.StatusBadGateway,
	InvalidRequest:  http.StatusBadRequest,
	NotAllowed:      http.StatusForbidden,
	Conflict:        http.StatusUnprocessableEntity,
	InProgress:      http.StatusConflict,
	LimitExceeded:   http.StatusTooManyRequests,
	AnswerNotStored: http.StatusGone,
	Aborted:         http.StatusBadGateway,
}

// RefusalError is the refusal of a call.
type RefusalError struct {
	Code    Code
	Message string
	// RetryAfter is the delay before a retry makes sense; zero means that a retry
	// is of no use.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Status returns the HTTP status of the refusal.
func (e *RefusalError) Status() int {
	return httpStatuses[e.Code]
}

// errorBody is a refusal on the wire.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message           string `json:"message"`
	Type              string `json:"type"`
	Code              Code   `json:"code"`
	RequestID         string `json:"request_id"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

// body returns the wire form of the refusal of a request.
func (e *RefusalError) body(requestID string) errorBody {
	return errorBody{Error: errorFields{
		Message:           e.Message,
		Type:              "refusal",
		Code:              e.Code,
		RequestID:         requestID,
		RetryAfterSeconds: wholeSeconds(e.RetryAfter),
	}}
}

// wholeSeconds rounds a duration up, as Retry-After has whole seconds.
func wholeSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// WriteRefusal writes a refusal as an HTTP error response.
func WriteRefusal(w http.ResponseWriter, requestID string, e *RefusalError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.body(requestID))
}
