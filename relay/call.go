// Package relay places requests whose bodies are opaque to it on the endpoints
// of their routes, and carries the answers back byte for byte.
package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Call is one request of a caller. It does not change while it is served.
type Call struct {
	// ID is unique to the request; endpoints echo it.
	ID     string
	Method string
	// Authority is the host as it was sent, and Host without its port.
	Authority string
	Host      string
	// Path selects the route; Target is the path with its query, as it came.
	Path   string
	Target string
	// Header has what goes to the endpoint unchanged.
	Header http.Header
	Body   []byte
	// Arrived is when the request had been read.
	Arrived time.Time
	// Patience is how long the caller waits from then on; zero means that it
	// did not say.
	Patience time.Duration
	// LastEvent is the event after which a stream goes on; it is empty for a
	// stream from its start.
	LastEvent string
	// Prompt is declared by requests to model engines.
	Prompt Prompt
}

// Prompt is what a request declares of its prompt. Its zero value declares
// nothing.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the longest answer, and
	// ExpectedOutput the caller's estimate of it; zero means unknown.
	Tokens         int
	MaxOutput      int
	ExpectedOutput int
	// Parts are the parts of the prompt in order; other prompts share them.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Endpoint is where a request is sent.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
}

// Try is one dispatch of a call.
type Try struct {
	Endpoint Endpoint
	// Deadline is when the endpoint stops its work.
	Deadline time.Time
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// Source is the result of the call's prefill; it is zero where the engine
	// computes the prompt itself.
	Source Handle
	// Hold is the reservation of the engine's memory; it may be empty.
	Hold string
}

// Reply is the beginning of an endpoint's answer.
type Reply struct {
	Status int
	// Header has what goes to the caller unchanged.
	Header http.Header
	// Events is true for a stream of events.
	Events bool
	// NotRun is true where the endpoint says that it did not run the request.
	NotRun bool
	// Elsewhere is true where another endpoint has the address now.
	Elsewhere bool
	// RetryAfter is when the endpoint asks to be called again.
	RetryAfter time.Duration
	// Body is closed by the receiver. Closing it early ends the work.
	Body io.ReadCloser
}

// Sender sends a call to an endpoint. The error is a *transport.DialError where
// nothing was sent, and a *ForeignError where the answer was not the call's.
type Sender interface {
	Send(ctx context.Context, c *Call, t Try) (*Reply, error)
}

// ForeignError reports an answer that belongs to another request.
type ForeignError struct {
	Expected string
	Got      string
}

// Error names both requests.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("answer of request %.40q came in place of %.40q", e.Got, e.Expected)
}

// Reason is why a call was refused.
type Reason string

// The reasons of refusals. Only those of which NotRun is true promise that the
// request has not run.
const (
	// Unready means that no document is known yet.
	Unready Reason = "unready"
	// Stopping means that the process is stopping.
	Stopping Reason = "stopping"
	// NoRoute means that no route matches.
	NoRoute Reason = "no_route"
	// NoEndpoint means that no endpoint of the route's pool is known.
	NoEndpoint Reason = "no_endpoint"
	// Busy means that the endpoints asked took no more work.
	Busy Reason = "busy"
	// Unreachable means that no connection was made.
	Unreachable Reason = "unreachable"
	// Late means that the time was over before the request was sent.
	Late Reason = "late"
	// TimedOut means that the time was over after the request was sent.
	TimedOut Reason = "timed_out"
	// Unknown means that the request was sent and its answer was lost.
	Unknown Reason = "outcome_unknown"
	// Crashing means that its content crashed endpoints before, and that it was
	// not sent to another.
	Crashing Reason = "crashing"
)

// NotRun reports whether the reason says that the request has not run.
func (r Reason) NotRun() bool {
	switch r {
	case Unready, Stopping, NoEndpoint, Busy, Unreachable, Late, Crashing:
		return true
	}
	return false
}

// Refusal is the final answer to a call that no endpoint answered.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller may come back; zero leaves it to the
	// caller.
	RetryAfter time.Duration
}

// Answer is the way back to the caller. One of Refuse, Whole and Begin is
// called, once.
type Answer interface {
	// Refuse ends the call with a refusal.
	Refuse(Refusal) error
	// Whole ends the call with an endpoint's answer.
	Whole(r *Reply, body []byte) error
	// Begin starts a stream of events.
	Begin(r *Reply) error
	// Event passes one event on, at once.
	Event(b []byte) error
	// Abort ends a stream that is not complete, so that it does not look so.
	Abort()
}
