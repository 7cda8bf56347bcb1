// Package relay sends calls, whose bodies it does not interpret, to the endpoints
// of their routes, and forwards the answers byte for byte. It chooses endpoints,
// queues for the memory of model engines, and retries within the limits of the
// route and of the retry budget. An entry with the protocol Platform serves its
// callers with it, through package platform and without agents.
package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Call is one request of a caller. It is not modified while it is served.
type Call struct {
	// ID is unique to the request. Endpoints echo it.
	ID     string
	Method string
	// Authority is the host as received, and Host is the same without its port.
	Authority string
	Host      string
	// Path selects the route. Target is the path with its query, as received.
	Path   string
	Target string
	// Header is sent to the endpoint unchanged.
	Header http.Header
	Body   []byte
	// Arrived is when the request had been read.
	Arrived time.Time
	// Timeout is how long after Arrived the caller stops waiting; zero means that
	// it did not say.
	Timeout time.Duration
	// LastEvent is the ID of the event after which the caller resumes a stream;
	// empty for a stream from its start.
	LastEvent string
	// ResumedRequest is the ID of the request whose answer brought the first event of
	// the stream that the caller resumes; empty where the caller does not say.
	ResumedRequest string
	// Prompt is declared by requests to model engines.
	Prompt Prompt
	// KeyHash is the SHA-256 of the caller's key, in hexadecimal; empty for none.
	KeyHash string
}

// Prompt is what a request declares about its prompt. The zero value declares
// nothing.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the longest answer, and
	// ExpectedOutput the caller's estimate of the answer, all in tokens; zero means
	// unknown.
	Tokens         int
	MaxOutput      int
	ExpectedOutput int
	// Parts are the parts of the prompt in order. Other prompts may share them.
	Parts []Part
}

// sharedParts returns the IDs of the parts that other prompts may share: all but the
// last, which belongs to the request or its session.
func (p Prompt) sharedParts() []string {
	var out []string
	for i := range len(p.Parts) - 1 {
		out = append(out, p.Parts[i].ID)
	}
	return out
}

// Part is one part of a prompt. Tokens is its length.
type Part struct {
	ID     string
	Tokens int
}

// Endpoint names a model engine or plain service and its address.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
	// Lifetime tells the starts of an endpoint apart.
	Lifetime int64
	// Version is that of the endpoint's software.
	Version string
}

// Attempt is one dispatch of a call to an endpoint.
type Attempt struct {
	Endpoint Endpoint
	// Deadline is when the endpoint stops working on the call.
	Deadline time.Time
	// LastEvent is the ID of the event after which a stream is resumed, or empty.
	LastEvent string
	// Source is the result of the call's prefill; zero where the endpoint computes
	// the prompt itself.
	Source Handle
	// ReservationID is the ID of the reservation of the engine's memory, or empty.
	ReservationID string
	// Account is the name of the client account that holds the caller's key, or empty.
	Account string
}

// Reply is the head of an endpoint's answer, with its body still to be read.
type Reply struct {
	Status int
	// Header is sent to the caller unchanged.
	Header http.Header
	// Events is true for a stream of events.
	Events bool
	// Unframed is true for an answer whose end is that of the connection, so that it looks
	// the same where the endpoint broke it off.
	Unframed bool
	// NotRun is true where the endpoint says that it did not run the request.
	NotRun bool
	// Misdirected is true where another endpoint now has the address.
	Misdirected bool
	// RetryAfter is when the endpoint asks to be called again; zero means that it
	// does not say.
	RetryAfter time.Duration
	// Body must be closed by the receiver. Closing it early ends the endpoint's work
	// on the call.
	Body io.ReadCloser
}

// Sender sends calls to endpoints.
type Sender interface {
	// Send sends a call to an endpoint. The error is a *transport.DialError where
	// nothing was sent, and a *WrongRequestError where the answer belongs to another
	// request.
	Send(ctx context.Context, c *Call, t Attempt) (*Reply, error)
}

// WrongRequestError reports an answer that belongs to another request.
type WrongRequestError struct {
	// Expected and Got are request IDs. Got is empty where the answer has none.
	Expected string
	Got      string
}

// Error returns a message with the IDs of both requests.
func (e *WrongRequestError) Error() string {
	return fmt.Sprintf("answer of request %.40q came in place of %.40q", e.Got, e.Expected)
}

// Reason is why a call was refused. Callers see it, and decision records keep it.
type Reason string

// The reasons of refusals. Only those for which NotRun reports true guarantee that
// the request has not run.
const (
	// Unready means that no document is known yet.
	Unready Reason = "unready"
	// Stopping means that the process is stopping.
	Stopping Reason = "stopping"
	// NoRoute means that no route matches.
	NoRoute Reason = "no_route"
	// NoEndpoint means that no endpoint of the route's pool is known.
	NoEndpoint Reason = "no_endpoint"
	// UnknownStream means that it is not known where the stream began that the caller
	// resumes, so that no endpoint may go on with it.
	UnknownStream Reason = "unknown_stream"
	// Busy means that the endpoints that were asked had no capacity left.
	Busy Reason = "busy"
	// Unreachable means that no connection to an endpoint was made.
	Unreachable Reason = "unreachable"
	// Expired means that the deadline passed before an endpoint could run the request.
	Expired Reason = "late"
	// TimedOut means that the deadline passed after an endpoint may have run the
	// request.
	TimedOut Reason = "timed_out"
	// OutcomeUnknown means that an endpoint may have run the request, but its
	// answer was lost.
	OutcomeUnknown Reason = "outcome_unknown"
	// Crashing means that endpoints crashed while they ran the request's content,
	// so that no other endpoint is attempted.
	Crashing Reason = "crashing"
	// UnknownKey means that the caller's key is none of the document, or none any more.
	UnknownKey Reason = "unknown_key"
	// OverQuota means that the caller's account has used up its quota.
	OverQuota Reason = "over_quota"
	// QuotaUnknown means that it is not known whether the account has used up its quota.
	QuotaUnknown Reason = "quota_unknown"
)

// NotRun reports whether the reason guarantees that the request has not run.
func (r Reason) NotRun() bool {
	switch r {
	case Unready, Stopping, NoEndpoint, UnknownStream, Busy, Unreachable, Expired, Crashing, UnknownKey, OverQuota, QuotaUnknown:
		return true
	}
	return false
}

// Refusal is the final answer to a call that no endpoint answered.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller may retry; zero leaves it to the caller.
	RetryAfter time.Duration
}

// AnswerWriter writes the answer to a caller. At most one of WriteRefusal,
// WriteAnswer and BeginStream is called, once.
type AnswerWriter interface {
	// WriteRefusal ends the call with a refusal.
	WriteRefusal(Refusal) error
	// WriteAnswer ends the call with an endpoint's whole answer.
	WriteAnswer(r *Reply, body []byte) error
	// BeginStream starts a stream of events.
	BeginStream(r *Reply) error
	// WriteEvent sends one event to the caller without delay.
	WriteEvent(b []byte) error
	// Abort breaks the connection, so that an incomplete answer does not look
	// complete.
	Abort()
}
