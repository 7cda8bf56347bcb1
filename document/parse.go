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

// MaxBytes is the size of the largest document that Parse accepts, in bytes.
const MaxBytes = 8 << 20

// CheckError reports all faults of a document.
type CheckError struct {
	// Faults has at least one element.
	Faults []faults.Fault
}

// Error lists the faults.
func (e *CheckError) Error() string {
	return faults.Join(e.Faults)
}

// Parse parses a document, fills in the defaults, and refuses unknown fields and
// wrong values. The error is a *CheckError with all faults. Their fields are paths
// in the document as it was written, before its lists are sorted.
func Parse(b []byte) (*Document, error) {
	if len(b) > MaxBytes {
		return nil, singleFault("JSON", fmt.Sprintf("%d bytes", len(b)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	d := &Document{}
	found := faults.Decode(b, d)
	d.resolve()
	if found = faults.Merge(found, d.check()); len(found) > 0 {
		return nil, &CheckError{Faults: found}
	}
	d.sort()
	d.callerBuckets = d.bucketCallers()
	d.indexRoutes()
	return d, nil
}

// Load reads the resolved bytes of an accepted document. The document was checked
// when it was accepted, so that Load checks only the level and that the defaults
// are filled in. This costs each process a fraction of Parse. The error is a
// *CheckError.
func Load(resolved []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(resolved, d); err != nil {
		return nil, singleFault("JSON", err.Error(), "a resolved document")
	}
	if d.Level > Level {
		return nil, singleFault("Level", fmt.Sprint(d.Level), fmt.Sprintf("at most %d, the level of this build", Level))
	}
	if d.Number == 0 || d.Retention.Documents == 0 {
		return nil, singleFault("JSON", "a document without its defaults", "a resolved document")
	}
	d.callerBuckets = d.bucketCallers()
	d.indexRoutes()
	return d, nil
}

// singleFault returns a *CheckError with one fault.
func singleFault(field, value, expected string) error {
	return &CheckError{Faults: []faults.Fault{{Field: field, Value: value, Expected: expected}}}
}

// Resolved returns the canonical JSON of a parsed document, on one line, and its
// digest. Parsing it and calling Resolved again gives the same bytes.
func (d *Document) Resolved() ([]byte, string, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, "", err
	}
	b = append(b, '\n')
	return b, Digest(b), nil
}

// Digest returns the SHA-256 of b, in hexadecimal.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// resolve fills in the defaults.
func (d *Document) resolve() {
	defaultUint32(&d.Level, defaultLevel)
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
	defaultDuration(&d.Retention.Operations, defaultOperations)
	defaultInt(&d.Retention.OperationsKept, defaultOperationsKept)
	defaultDuration(&d.Retention.Strikes, defaultStrikes)
	defaultInt(&d.Retention.Documents, defaultDocuments)
}

// sort sorts the lists whose order has no meaning, and replaces lists that are
// nil by empty ones.
func (d *Document) sort() {
	d.FailureDomains = sortedCopy(d.FailureDomains)
	d.Models = append([]Model{}, d.Models...)
	d.Services = append([]Service{}, d.Services...)
	d.Callers = append([]Caller{}, d.Callers...)
	for i := range d.Models {
		d.Models[i].Adapters = sortedCopy(d.Models[i].Adapters)
	}
	for i := range d.Callers {
		d.Callers[i].Models = sortedCopy(d.Callers[i].Models)
		d.Callers[i].Services = sortedCopy(d.Callers[i].Services)
	}
	sort.Slice(d.Models, func(i, j int) bool { return d.Models[i].Name < d.Models[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	sort.Slice(d.Callers, func(i, j int) bool { return d.Callers[i].Name < d.Callers[j].Name })
	d.sortRoutes()
}

func (m *Model) resolve() {
	defaultInt(&m.MaxOutputTokens, defaultMaxOutputTokens)
	defaultInt(&m.PieceTokens, defaultPieceTokens)
	defaultInt(&m.BytesPerToken, defaultBytesPerToken)
	defaultDuration(&m.FirstToken, defaultFirstToken)
	defaultDuration(&m.BetweenTokens, defaultBetweenTokens)
}

func (s *Service) resolve() {
	defaultInt(&s.Endpoints, 1)
	defaultInt(&s.Concurrency, defaultConcurrency)
	for i := range s.Calls {
		c := &s.Calls[i]
		c.Idempotent = c.Idempotent || isSafeMethod(c.Method)
		defaultDuration(&c.Timeout, defaultCallTimeout)
	}
}

func (c *Caller) resolve() {
	if c.RatePerSecond == 0 {
		c.RatePerSecond = defaultRatePerSecond
	}
	defaultInt(&c.Burst, int(max(1, c.RatePerSecond)))
	defaultInt(&c.Concurrency, defaultCallerConcurrency)
	c.KeyHash = strings.ToLower(c.KeyHash)
	c.sortKeys()
}

// sortedCopy returns a sorted copy that is never nil.
func sortedCopy(values []string) []string {
	out := append([]string{}, values...)
	sort.Strings(out)
	return out
}

func defaultInt(v *int, fallback int) {
	if *v == 0 {
		*v = fallback
	}
}

func defaultUint32(v *uint32, fallback uint32) {
	if *v == 0 {
		*v = fallback
	}
}

func defaultDuration(v *Duration, fallback interface{ Nanoseconds() int64 }) {
	if *v == 0 {
		*v = Duration(fallback.Nanoseconds())
	}
}
