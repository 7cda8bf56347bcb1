// Package faults decodes JSON files strictly. It collects all faults of a file
// instead of stopping at the first one, and names the field of each. Packages
// document and settings use it.
package faults

import (
	"fmt"
	"strings"
)

// Fault describes one invalid or missing value in a file.
type Fault struct {
	// Field is the path of the field, such as Models[0].Name.
	Field string
	// Value describes the value that was found.
	Value string
	// Expected describes the values that are valid.
	Expected string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: found %s, expected %s", f.Field, f.Value, f.Expected)
}

// List collects faults. Its zero value is empty.
type List struct {
	// All holds the faults in the order in which they were added.
	All []Fault
}

// MaxFaults is the largest number of faults that a List holds.
const MaxFaults = 100

// Add records a fault, unless the list already holds MaxFaults.
func (l *List) Add(field string, value any, expected string) {
	if len(l.All) >= MaxFaults {
		return
	}
	l.All = append(l.All, Fault{Field: field, Value: fmt.Sprintf("%v", value), Expected: expected})
}

// AddText records a fault whose value is a string. The value is quoted, and
// truncated when it is long.
func (l *List) AddText(field, value, expected string) {
	l.Add(field, quoteShort(value), expected)
}

// Join returns the faults as one line of text.
func Join(faults []Fault) string {
	parts := make([]string, 0, len(faults))
	for _, f := range faults {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// maxQuotedCharacters is the largest number of characters of a value that a
// message quotes.
const maxQuotedCharacters = 64

// quoteShort quotes a string, truncated to maxQuotedCharacters.
func quoteShort(s string) string {
	if r := []rune(s); len(r) > maxQuotedCharacters {
		s = string(r[:maxQuotedCharacters]) + "..."
	}
	return fmt.Sprintf("%q", s)
}

// Merge appends to the faults found while decoding those found while checking
// values. A check fault is left out when its field, or a field that contains
// it, could not be decoded, so that each field is reported once.
func Merge(decoding, checking []Fault) []Fault {
	out := decoding
	for _, f := range checking {
		if !covered(decoding, f.Field) {
			out = append(out, f)
		}
	}
	return out
}

// covered reports whether the faults include one of the field, of a field that
// contains it, or of the file as a whole.
func covered(faults []Fault, field string) bool {
	for _, f := range faults {
		rest, ok := strings.CutPrefix(field, f.Field)
		if f.Field == "JSON" || ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
