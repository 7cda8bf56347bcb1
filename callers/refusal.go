// Package callers is the entry's side towards callers: the completion and chat
// calls in the OpenAI style, server-sent events, and refusals.
package callers

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// KeyHeader carries a caller's key for a call that must run at most once.
const KeyHeader = "Idempotency-Key"

// Code is the kind of a refusal. The set is small and documented for callers.
type Code string

const (
	// NotRun means that the work did not happen and will not.
	NotRun Code = "not_run"
	// OutcomeUnknown means that the work may have happened.
	OutcomeUnknown Code = "outcome_unknown"
	// NotUnderstood means that the call itself is wrong.
	NotUnderstood Code = "not_understood"
	// NotAllowed means that the document does not let this caller do this.
	NotAllowed Code = "not_allowed"
	// Conflict means that the key was used with another body.
	Conflict Code = "conflict"
	// InProgress means that a call with this key is still running.
	InProgress Code = "in_progress"
	// TooMany means that the caller is over its rate or its calls in flight;
	// this call was not taken.
	TooMany Code = "too_many"
	// AnswerGone means that the call ran once, and that its answer is not kept.
	AnswerGone Code = "answer_gone"
	// Broken ends an answer that has started and cannot go on.
	Broken Code = "broken"
)

var statuses = map[Code]int{
	NotRun:         http.StatusServiceUnavailable,
	OutcomeUnknown: http.StatusBadGateway,
	NotUnderstood:  http.StatusBadRequest,
	NotAllowed:     http.StatusForbidden,
	Conflict:       http.StatusUnprocessableEntity,
	InProgress:     http.StatusConflict,
	TooMany:        http.StatusTooManyRequests,
	AnswerGone:     http.StatusGone,
	Broken:         http.StatusBadGateway,
}

// RefusalError is a refusal to a caller.
type RefusalError struct {
	Code    Code
	Message string
	// RetryAfter is when coming back makes sense; zero means that it does not.
	RetryAfter time.Duration
}

// Error gives the code and the message.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Status returns the HTTP status of the refusal.
func (e *RefusalError) Status() int {
	return statuses[e.Code]
}

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

func (e *RefusalError) body(request string) errorBody {
	return errorBody{Error: errorFields{
		Message:           e.Message,
		Type:              "refusal",
		Code:              e.Code,
		RequestID:         request,
		RetryAfterSeconds: seconds(e.RetryAfter),
	}}
}

// seconds rounds a duration up, as Retry-After has whole seconds.
func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// Refuse writes a refusal as a whole answer.
func Refuse(w http.ResponseWriter, request string, e *RefusalError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.body(request))
}
