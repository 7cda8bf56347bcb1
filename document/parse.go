package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
)

const (
	// MaxBytes is the size of the largest document that is read.
	MaxBytes = 8 << 20
	maxDepth = 16
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Field is the path of the field, such as Models[0].Name.
	Field string
	// Value is what was found.
	Value string
	// Expected says what would have been right.
	Expected string
}

// CheckError reports everything that is wrong with a document.
type CheckError struct {
	// Faults has at least one element.
	Faults []Fault
}

// Error lists the faults.
func (e *CheckError) Error() string {
	parts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		parts = append(parts, fmt.Sprintf("%s: found %s, expected %s", f.Field, f.Value, f.Expected))
	}
	return strings.Join(parts, "; ")
}

func fault(field, value, expected string) error {
	return &CheckError{Faults: []Fault{{Field: field, Value: value, Expected: expected}}}
}

// Parse reads a document, refuses unknown fields and wrong values, and fills
// in every default. The error is a *CheckError.
func Parse(b []byte) (*Document, error) {
	if len(b) > MaxBytes {
		return nil, fault("Document", fmt.Sprintf("%d bytes", len(b)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	if depth(b) > maxDepth {
		return nil, fault("Document", "deeper nesting", fmt.Sprintf("at most %d levels", maxDepth))
	}
	d := &Document{}
	if err := decodeStrict(b, d); err != nil {
		return nil, err
	}
	d.resolve()
	if faults := d.check(); len(faults) > 0 {
		return nil, &CheckError{Faults: faults}
	}
	d.index()
	return d, nil
}

// Resolved returns the canonical bytes of a parsed document and their digest.
func (d *Document) Resolved() ([]byte, string, error) {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, "", err
	}
	b = append(b, '\n')
	return b, Digest(b), nil
}

// Digest is the SHA-256 of some bytes, in hexadecimal.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func decodeStrict(b []byte, d *Document) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		return explain(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fault("Document", "more text after the end", "one JSON object")
	}
	return nil
}

// explain turns an error of the JSON decoder into a fault with its field.
func explain(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		field := te.Field
		if field == "" {
			field = "Document"
		}
		return fault(field, te.Value, te.Type.String())
	}
	var de *DurationError
	if errors.As(err, &de) {
		return fault("Duration", de.Value, `text such as "330ms"`)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fault(strings.Trim(name, `"`), "unknown field", "a field of the document format")
	}
	return fault("Document", err.Error(), "one JSON object")
}

// depth returns the deepest nesting of brackets outside of strings.
func depth(b []byte) int {
	deepest, now := 0, 0
	quoted, escaped := false, false
	for _, c := range b {
		switch {
		case escaped:
			escaped = false
		case quoted && c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			now++
			deepest = max(deepest, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return deepest
}

// resolve fills in the defaults and sorts what has no order of its own.
func (d *Document) resolve() {
	orUint32(&d.Level, defaultLevel)
	for i := range d.Models {
		d.Models[i].resolve()
	}
	for i := range d.Services {
		d.Services[i].resolve()
	}
	for i := range d.Callers {
		d.Callers[i].resolve()
	}
	orDuration(&d.Retention.Operations, defaultOperations)
	orInt(&d.Retention.OperationsKept, defaultOperationsKept)
	orDuration(&d.Retention.Strikes, defaultStrikes)
	orInt(&d.Retention.Documents, defaultDocuments)
	sort.Strings(d.FailureDomains)
	sort.Slice(d.Models, func(i, j int) bool { return d.Models[i].Name < d.Models[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	sort.Slice(d.Callers, func(i, j int) bool { return d.Callers[i].Name < d.Callers[j].Name })
}

func (m *Model) resolve() {
	orInt(&m.MaxOutputTokens, defaultMaxOutputTokens)
	orInt(&m.PieceTokens, defaultPieceTokens)
	orInt(&m.BytesPerToken, defaultBytesPerToken)
	orDuration(&m.FirstToken, defaultFirstToken)
	orDuration(&m.BetweenTokens, defaultBetweenTokens)
	sort.Strings(m.Adapters)
}

func (s *Service) resolve() {
	orInt(&s.Endpoints, 1)
	orInt(&s.Concurrency, defaultConcurrency)
	for i := range s.Calls {
		c := &s.Calls[i]
		c.Idempotent = c.Idempotent || safe(c.Method)
		orDuration(&c.Timeout, defaultCallTimeout)
	}
}

func (c *Caller) resolve() {
	if c.RatePerSecond == 0 {
		c.RatePerSecond = defaultRatePerSecond
	}
	orInt(&c.Burst, int(max(1, c.RatePerSecond)))
	orInt(&c.Concurrency, defaultCallersInFlight)
	c.KeyHash = strings.ToLower(c.KeyHash)
	sort.Strings(c.Models)
	sort.Strings(c.Services)
}

func orInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func orUint32(v *uint32, def uint32) {
	if *v == 0 {
		*v = def
	}
}

func orDuration(v *Duration, def interface{ Nanoseconds() int64 }) {
	if *v == 0 {
		*v = Duration(def.Nanoseconds())
	}
}
