// Package engines is the agent's side towards a model engine: the messages of
// its HTTP interface and a client.
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
	// Position is the number of output tokens that follow the prompt already.
	Position int
	// Priority is higher for work that goes first.
	Priority int
}

// PrefillResult names an exported KV cache.
type PrefillResult struct {
	Handle       string
	PromptTokens int
	CachedTokens int
	Bytes        uint64
	// LivesMilliseconds is how long the engine keeps it.
	LivesMilliseconds int64
}

// ImportCall asks a decode engine to fetch a KV cache from another engine.
type ImportCall struct {
	Request string
	From    netip.AddrPort
	Handle  string
	// Pieces is the engine memory that the request may use.
	Pieces int
}

// DecodeCall asks for the tokens of an imported request.
type DecodeCall struct {
	Request      string
	FromPosition int
	MaxTokens    int
	Priority     int
}

// Token is one line of a decode stream.
type Token struct {
	Position int
	Text     string
	// End is true on the last line of a whole answer, which has no text.
	End          bool
	FinishReason string
}

// CancelCall asks an engine to forget a request, its memory and its exports.
type CancelCall struct {
	Request string
}

// Running lists what an engine runs and holds.
type Running struct {
	Instance string
	Requests []string
	// PiecesUsed is the engine memory in use.
	PiecesUsed int
	// Exports are the requests whose exported KV cache is kept.
	Exports []string
}

// Load is an engine's own report; it lags.
type Load struct {
	PiecesFree int
	Running    int
	Queued     int
	// PrefillTokens and WastedTokens count the prompt tokens computed, and
	// those whose result was thrown away before a decode engine had it.
	PrefillTokens uint64
	WastedTokens  uint64
}

// Order tells an engine to change what it is.
type Order struct {
	FencingNumber uint64
	Role          string
	Version       string
	Adapters      []string
}

// Export is what one engine sends to another in place of a KV cache.
type Export struct {
	Prompt   string
	Position int
	Tokens   int
}

// StatusError reports an engine's refusal. It leaves out the engine's text,
// which may repeat the prompt: errors go into logs, traces and decisions.
type StatusError struct {
	// Path is the call that was refused.
	Path string
	// Status is the HTTP status.
	Status int
}

// Error names the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %s with %d", e.Path, e.Status)
}

// SilentError reports a call of which nothing is heard any more.
type SilentError struct {
	Request string
}

// Error names the request.
func (e *SilentError) Error() string {
	return "engine is silent about request " + e.Request
}

// BrokenStreamError reports a decode stream without its end.
type BrokenStreamError struct {
	// Position is that of the last token received.
	Position int
}

// Error says where it broke.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("decode stream broke after position %d", e.Position)
}

// Lives returns how long the engine keeps the export.
func (r PrefillResult) Lives() time.Duration {
	return time.Duration(r.LivesMilliseconds) * time.Millisecond
}
