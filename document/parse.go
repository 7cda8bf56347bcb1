package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"ebonyreel/faults"
)

// MaxBytes is the size of the largest document that is read.
const MaxBytes = 8 << 20

// CheckError reports everything that is wrong with a document.
type CheckError struct {
	// Faults has at least one element.
	Faults []faults.Fault
}

// Error lists the faults.
func (e *CheckError) Error() string {
	return faults.Join(e.Faults)
}

// Parse reads a document, refuses unknown fields and wrong values, and fills
// in every default. The error is a *CheckError with all faults; its fields are
// paths in the document as it was written.
func Parse(b []byte) (*Document, error) {
	if len(b) > MaxBytes {
		return nil, single("JSON", fmt.Sprintf("%d bytes", len(b)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	d := &Document{}
	all := faults.Decode(b, d)
	d.resolve()
	if all = faults.Merge(all, d.check()); len(all) > 0 {
		return nil, &CheckError{Faults: all}
	}
	d.sort()
	d.buckets = d.spread()
	d.index()
	return d, nil
}

// Load reads the resolved bytes of an accepted document. They were checked
// when they were accepted, so that only the level is looked at again: reading
// costs each process a fraction of what Parse does. The error is a *CheckError.
func Load(resolved []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(resolved, d); err != nil {
		return nil, single("JSON", err.Error(), "a resolved document")
	}
	if d.Level > Level {
		return nil, single("Level", fmt.Sprint(d.Level), fmt.Sprintf("at most %d, the level of this build", Level))
	}
	if d.Number == 0 || d.Retention.Documents == 0 {
		return nil, single("JSON", "a document without its defaults", "a resolved document")
	}
	d.buckets = d.spread()
	d.index()
	return d, nil
}

func single(field, value, expected string) error {
	return &CheckError{Faults: []faults.Fault{{Field: field, Value: value, Expected: expected}}}
}

// Resolved returns the canonical bytes of a parsed document, on one line, and
// their digest. Parsing them gives the same bytes again.
func (d *Document) Resolved() ([]byte, string, error) {
	b, err := json.Marshal(d)
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

// resolve fills in the defaults.
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
	for i := range d.Routes {
		d.Routes[i].resolve()
	}
	orDuration(&d.Retention.Operations, defaultOperations)
	orInt(&d.Retention.OperationsKept, defaultOperationsKept)
	orDuration(&d.Retention.Strikes, defaultStrikes)
	orInt(&d.Retention.Documents, defaultDocuments)
}

// sort puts what has no order of its own into one, and makes lists that were
// not written empty ones.
func (d *Document) sort() {
	d.FailureDomains = sorted(d.FailureDomains)
	d.Models = append([]Model{}, d.Models...)
	d.Services = append([]Service{}, d.Services...)
	d.Callers = append([]Caller{}, d.Callers...)
	for i := range d.Models {
		d.Models[i].Adapters = sorted(d.Models[i].Adapters)
	}
	for i := range d.Callers {
		d.Callers[i].Models = sorted(d.Callers[i].Models)
		d.Callers[i].Services = sorted(d.Callers[i].Services)
	}
	sort.Slice(d.Models, func(i, j int) bool { return d.Models[i].Name < d.Models[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	sort.Slice(d.Callers, func(i, j int) bool { return d.Callers[i].Name < d.Callers[j].Name })
	d.sortRoutes()
}

func (m *Model) resolve() {
	orInt(&m.MaxOutputTokens, defaultMaxOutputTokens)
	orInt(&m.PieceTokens, defaultPieceTokens)
	orInt(&m.BytesPerToken, defaultBytesPerToken)
	orDuration(&m.FirstToken, defaultFirstToken)
	orDuration(&m.BetweenTokens, defaultBetweenTokens)
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
}

// sorted returns a sorted copy, which is empty and not nil for no values.
func sorted(all []string) []string {
	out := append([]string{}, all...)
	sort.Strings(out)
	return out
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
