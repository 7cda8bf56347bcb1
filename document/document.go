// Package document reads, checks and compares environment documents. A document
// declares which models, adapters, versions and plain services an environment
// serves, in which roles, to which callers and with which priorities.
//
// A document is checked, and its defaults are filled in, once when it is
// accepted. Every process then reads the same resolved bytes.
package document

import (
	"crypto/subtle"
	"net/http"
	"sort"
	"time"
)

// Level is the highest feature level of a document that this build supports.
const Level = 3

// Document is the declaration of one environment.
type Document struct {
	// Number is the sequence number of the document in its environment, from 1.
	Number uint64
	// Level is the feature level that a process needs to serve the document.
	Level uint32
	// FailureDomains is sorted, and its names are unique. A process in any other
	// failure domain does not serve the environment.
	FailureDomains []string
	// Models is sorted by name; names are unique.
	Models []Model
	// Services is sorted by name; names are unique and differ from the models'.
	Services []Service
	// Callers is sorted by name; names and keys are unique.
	Callers []Caller
	// Pools is sorted by name; names are unique. It needs level 2.
	Pools []Pool `json:",omitempty"`
	// Routes is sorted by name; names are unique, and so are pairs of host and
	// path prefix. It needs level 2.
	Routes []Route `json:",omitempty"`
	// Requests bounds the requests that callers of routes may send.
	Requests Requests `json:",omitzero"`
	// Retention bounds the history that the control state keeps.
	Retention Retention

	// callerBuckets holds the callers by bucketOf the hash of their key.
	callerBuckets *[bucketCount][]Caller
	// routesByHost holds the routes by host in lower case, those with the
	// longest prefix first.
	routesByHost map[string][]Route
}

// Model declares one model and how it is served.
type Model struct {
	// Name is the name that callers put into the model field of a request.
	Name string
	// Version is the version of the weights.
	Version string
	// Adapters is sorted; if it is empty, the base model serves.
	Adapters []string
	// Prefill is the number of endpoints in the prefill role.
	Prefill int
	// Decode is the number of endpoints in the decode role.
	Decode int
	// MaxOutputTokens bounds the answer to a request without a bound of its own.
	MaxOutputTokens int
	// PieceTokens is the size of one piece of engine memory, in tokens.
	PieceTokens int
	// BytesPerToken is the size of the KV cache of one token, in bytes.
	BytesPerToken int
	// FirstToken is the latency target for the first token.
	FirstToken Duration
	// BetweenTokens is the latency target for the time between two tokens.
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
	// Calls lists the calls that are allowed; any other is refused.
	Calls []Call
}

// Call declares one call of a plain service.
type Call struct {
	// Method is an HTTP method.
	Method string
	// Path is a prefix of the path of the call, with a leading slash. It matches
	// whole path elements only.
	Path string
	// Idempotent is true for calls that may be repeated; others run at most once.
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
	// KeyHashes are those of its further keys; they are sorted and unique, and differ
	// from KeyHash. They need level 3.
	KeyHashes []string `json:",omitempty"`
	// Models lists the models that the caller may use; it is sorted.
	Models []string
	// Services lists the services that the caller may use; it is sorted.
	Services []string
	// Priority is from 0 to 9; calls of a higher priority go first.
	Priority int
	// RatePerSecond bounds the rate of calls that are admitted.
	RatePerSecond float64
	// Burst is the size of the token bucket: the calls that may be admitted at
	// once.
	Burst int
	// Concurrency bounds the calls in flight at all entries together.
	Concurrency int
	// Patience is the longest wait of a call for its first token; zero means no
	// limit.
	Patience Duration
	// RoutePriority goes before the Priority of a route, where 0 is the most urgent:
	// requests of accounts with the same one are told apart by that of the route. nil
	// leaves that of the route alone. It needs level 3.
	RoutePriority *int `json:",omitempty"`
	// Quota bounds the requests on routes at all entries together. It needs level 3.
	Quota Quota `json:",omitzero"`
}

// Retention bounds the history that the control state keeps.
type Retention struct {
	// Operations is how long the record of a finished operation is kept.
	Operations Duration
	// OperationsKept bounds the number of operation records.
	OperationsKept int
	// Strikes is how long the crashes counted against a content are kept.
	Strikes Duration
	// Documents is the number of accepted documents kept in the history.
	Documents int
}

// Model returns the model of a name.
func (d *Document) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service of a name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// CallerByKey returns the caller that owns a key. It compares the hashes of the
// keys in constant time.
func (d *Document) CallerByKey(key string) (Caller, bool) {
	return d.CallerByKeyHash(Digest([]byte(key)))
}

// CallerByKeyHash returns the caller that owns the key with a SHA-256 in hexadecimal, in
// lower case.
func (d *Document) CallerByKeyHash(hash string) (Caller, bool) {
	if d.callerBuckets == nil || len(hash) < bucketDigits {
		return Caller{}, false
	}
	for _, c := range d.callerBuckets[bucketOf(hash)] {
		if subtle.ConstantTimeCompare([]byte(c.KeyHash), []byte(hash)) == 1 {
			return c, true
		}
	}
	return Caller{}, false
}

// CallerByName returns the caller of a name in a document that Parse or Load returned.
func (d *Document) CallerByName(name string) (Caller, bool) {
	i := sort.Search(len(d.Callers), func(i int) bool { return d.Callers[i].Name >= name })
	if i < len(d.Callers) && d.Callers[i].Name == name {
		return d.Callers[i], true
	}
	return Caller{}, false
}

// Call returns the call that matches a method and a path. If several do, it is
// the one with the longest path.
func (s Service) Call(method, path string) (Call, bool) {
	var longest Call
	found := false
	for _, c := range s.Calls {
		if c.Method != method || !matchesPrefix(c.Path, path) {
			continue
		}
		if !found || len(c.Path) > len(longest.Path) {
			longest, found = c, true
		}
	}
	return longest, found
}

// matchesPrefix reports whether a path equals a prefix or is below it.
func matchesPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

// Default values of fields that a document leaves out.
const (
	defaultLevel             = 1
	defaultMaxOutputTokens   = 512
	defaultPieceTokens       = 2000
	defaultBytesPerToken     = 100_000
	defaultFirstToken        = 330 * time.Millisecond
	defaultBetweenTokens     = 29 * time.Millisecond
	defaultConcurrency       = 64
	defaultCallTimeout       = 10 * time.Second
	defaultRatePerSecond     = 100
	defaultCallerConcurrency = 1000
	defaultOperations        = 24 * time.Hour
	defaultOperationsKept    = 100_000
	defaultStrikes           = time.Hour
	defaultDocuments         = 200
)

// isSafeMethod reports whether HTTP defines a method as safe (RFC 9110, 9.2.1).
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// DefaultRetention returns the retention of a document that declares none.
func DefaultRetention() Retention {
	var d Document
	d.resolve()
	return d.Retention
}
