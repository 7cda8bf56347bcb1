// Package engines contains the client with which an agent calls the model engine
// beside it, and the messages of the engine's HTTP interface. Package services is
// the same for plain services, package endpoints receives what both announce, and
// package platform calls the engines of the users' platform.
package engines

import (
	"fmt"
	"net/netip"
	"time"
)

// PrefillCall asks an engine to compute the KV cache of a prompt.
type PrefillCall struct {
	Request string
	Prompt  string
	// Position is the number of output tokens that were generated before and
	// follow the prompt.
	Position int
	// Priority is higher for requests that go first.
	Priority int
}

// PrefillResult names an exported KV cache.
type PrefillResult struct {
	Handle       string
	PromptTokens int
	CachedTokens int
	Bytes        uint64
	// LivesMilliseconds is how long the engine keeps the export.
	LivesMilliseconds int64
}

// ImportCall asks a decode engine to fetch a KV cache from another engine.
type ImportCall struct {
	Request string
	From    netip.AddrPort
	Handle  string
	// Pieces is the number of pieces of engine memory that the request may use.
	Pieces int
}

// DecodeCall asks an engine to generate the tokens of an imported request.
type DecodeCall struct {
	Request string
	// FromPosition is the position of the first token to generate.
	FromPosition int
	MaxTokens    int
	Priority     int
}

// Token is one line of a decode stream.
type Token struct {
	Position int
	Text     string
	// End is true on the last line of a complete answer, which has no text.
	End          bool
	FinishReason string
}

// CancelCall asks an engine to drop a request, its memory and its exports.
type CancelCall struct {
	Request string
}

// Running lists the requests and exports that an engine holds.
type Running struct {
	// Instance differs with every start of the engine.
	Instance string
	Requests []string
	// PiecesUsed is the engine memory in use, in pieces.
	PiecesUsed int
	// Exports are the requests whose exported KV cache the engine keeps.
	Exports []string
}

// Load is an engine's report of its load; it lags behind.
type Load struct {
	PiecesFree int
	Running    int
	Queued     int
	// PrefillTokens counts the prompt tokens computed, and WastedTokens those
	// whose KV cache was dropped before a decode engine imported it.
	PrefillTokens uint64
	WastedTokens  uint64
}

// Order tells an engine to change its role, version or adapters.
type Order struct {
	FencingNumber uint64
	Role          string
	Version       string
	Adapters      []string
}

// Export is what one engine sends to another in place of a real KV cache.
type Export struct {
	Prompt   string
	Position int
	Tokens   int
}

// StatusError reports a status other than success. It leaves out the engine's
// text, which may repeat the prompt, as errors go into logs, traces and decision
// records.
type StatusError struct {
	// Path is the HTTP path of the call.
	Path string
	// Status is the HTTP status.
	Status int
}

// Error returns a message with the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %s with %d", e.Path, e.Status)
}

// StallError reports a call that the engine no longer makes progress on.
type StallError struct {
	Request string
}

// Error returns a message with the request.
func (e *StallError) Error() string {
	return "engine is silent about request " + e.Request
}

// BrokenStreamError reports a decode stream that ended without an end marker or
// has a line that cannot be parsed.
type BrokenStreamError struct {
	// Position is the position of the last token received.
	Position int
}

// Error returns a message with the position.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("decode stream broke after position %d", e.Position)
}

// Lifetime returns how long the engine keeps the export.
func (r PrefillResult) Lifetime() time.Duration {
	return time.Duration(r.LivesMilliseconds) * time.Millisecond
}
