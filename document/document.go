// Package document holds the environment document: the one declaration of
// which models, adapters, versions and plain services serve which callers, in
// which roles and with which priorities.
//
// A document is checked and resolved once, when it is accepted. Every process
// then reads the same resolved bytes.
package document

import (
	"crypto/subtle"
	"net/http"
	"time"
)

// Level is the highest feature level of documents that this build understands.
const Level = 2

// Document is the declaration of one environment.
type Document struct {
	// Number orders the documents of an environment; it is at least 1.
	Number uint64
	// Level is the feature level that a process needs to serve the document.
	Level uint32
	// FailureDomains is sorted; names are unique. A process in any other
	// domain does not serve the environment.
	FailureDomains []string
	// Models is sorted by name; names are unique.
	Models []Model
	// Services is sorted by name; names are unique and differ from models'.
	Services []Service
	// Callers is sorted by name; names and keys are unique.
	Callers []Caller
	// Pools is sorted by name; names are unique. It needs level 2.
	Pools []Pool `json:",omitempty"`
	// Routes is sorted by name; names are unique, and so are pairs of host and
	// path prefix. It needs level 2.
	Routes []Route `json:",omitempty"`
	// Requests bounds what callers of routes may send.
	Requests Requests `json:",omitzero"`
	// Retention bounds what the control state keeps.
	Retention Retention

	// buckets spreads the callers by the hashes of their keys.
	buckets *[buckets][]Caller
	// table finds routes by host.
	table map[string][]Route
}

// Model declares one model and how it is served.
type Model struct {
	// Name is what callers write in the model field.
	Name string
	// Version is the version of the weights.
	Version string
	// Adapters is sorted; an empty list means that the base model serves.
	Adapters []string
	// Prefill and Decode are the numbers of endpoints in each role.
	Prefill int
	Decode  int
	// MaxOutputTokens bounds an answer that names no bound of its own.
	MaxOutputTokens int
	// PieceTokens is the size of one piece of engine memory, in tokens.
	PieceTokens int
	// BytesPerToken is the size of the KV cache of one token, in bytes.
	BytesPerToken int
	// FirstToken and BetweenTokens are the latency targets.
	FirstToken    Duration
	BetweenTokens Duration
}

// Service declares one plain service.
type Service struct {
	// Name is the first path element of its calls.
	Name string
	// Endpoints is the number of endpoints that serve it.
	Endpoints int
	// Concurrency bounds the calls in flight at one endpoint.
	Concurrency int
	// Calls lists what may be called; anything else is refused.
	Calls []Call
}

// Call declares one call of a plain service.
type Call struct {
	// Method is an HTTP method.
	Method string
	// Path is a prefix of the call's path, with its leading slash.
	Path string
	// Idempotent calls may be repeated; others run at most once.
	Idempotent bool
	// Timeout bounds one call.
	Timeout Duration
}

// Caller declares one client account.
type Caller struct {
	// Name identifies the caller in logs.
	Name string
	// KeyHash is the SHA-256 of the caller's key, in hexadecimal.
	KeyHash string
	// Models and Services list what the caller may use; both are sorted.
	Models   []string
	Services []string
	// Priority is higher for work that goes first, from 0 to 9.
	Priority int
	// RatePerSecond and Burst bound the calls that are taken.
	RatePerSecond float64
	Burst         int
	// Concurrency bounds the calls in flight at all entries together.
	Concurrency int
	// Patience is how long a call may wait for its first token; zero means
	// that the caller waits without limit.
	Patience Duration
}

// Retention bounds what the control state keeps.
type Retention struct {
	// Operations is how long the record of a finished operation is kept.
	Operations Duration
	// OperationsKept bounds the number of records.
	OperationsKept int
	// Strikes is how long the crashes of one content are remembered.
	Strikes Duration
	// Documents is the number of accepted documents kept in the history.
	Documents int
}

// Model returns the declaration of a model by name.
func (d *Document) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the declaration of a plain service by name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// CallerByKey returns the caller that owns a key. Hashes are compared in
// constant time.
func (d *Document) CallerByKey(key string) (Caller, bool) {
	if d.buckets == nil {
		return Caller{}, false
	}
	hash := Digest([]byte(key))
	for _, c := range d.buckets[bucketOf(hash)] {
		if subtle.ConstantTimeCompare([]byte(c.KeyHash), []byte(hash)) == 1 {
			return c, true
		}
	}
	return Caller{}, false
}

// Call returns the declaration that covers a method and a path. The longest
// matching path wins.
func (s Service) Call(method, path string) (Call, bool) {
	var best Call
	found := false
	for _, c := range s.Calls {
		if c.Method != method || !covers(c.Path, path) {
			continue
		}
		if !found || len(c.Path) > len(best.Path) {
			best, found = c, true
		}
	}
	return best, found
}

// covers reports whether a path equals a prefix or lies below it.
func covers(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

// Defaults that Resolve fills in.
const (
	defaultLevel           = 1
	defaultMaxOutputTokens = 512
	defaultPieceTokens     = 2000
	defaultBytesPerToken   = 100_000
	defaultFirstToken      = 330 * time.Millisecond
	defaultBetweenTokens   = 29 * time.Millisecond
	defaultConcurrency     = 64
	defaultCallTimeout     = 10 * time.Second
	defaultRatePerSecond   = 100
	defaultCallersInFlight = 1000
	defaultOperations      = 24 * time.Hour
	defaultOperationsKept  = 100_000
	defaultStrikes         = time.Hour
	defaultDocuments       = 200
)

// safe reports whether HTTP defines a method as safe (RFC 9110, 9.2.1).
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// DefaultRetention is what holds where a document says nothing.
func DefaultRetention() Retention {
	var d Document
	d.resolve()
	return d.Retention
}
