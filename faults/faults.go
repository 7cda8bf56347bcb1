// Package faults reads JSON files strictly and collects everything that is
// wrong with them, each fault with its field.
package faults

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	// Field is the path of the field, such as Models[0].Name.
	Field string
	// Value is what was found.
	Value string
	// Expected says what would have been right.
	Expected string
}

// String says what was found and what was expected.
func (f Fault) String() string {
	return fmt.Sprintf("%s: found %s, expected %s", f.Field, f.Value, f.Expected)
}

// List collects faults. Its zero value is empty.
type List struct {
	// All is in the order in which the fields were read.
	All []Fault
}

// MaxFaults bounds the faults that are collected from one file.
const MaxFaults = 100

// Add notes one fault, unless there are MaxFaults already.
func (l *List) Add(field string, value any, expected string) {
	if len(l.All) >= MaxFaults {
		return
	}
	l.All = append(l.All, Fault{Field: field, Value: fmt.Sprintf("%v", value), Expected: expected})
}

// Text notes a fault whose value is a text, which is shown in quotes and cut
// when it is long.
func (l *List) Text(field, value, expected string) {
	l.Add(field, quoteShort(value), expected)
}

// Join writes faults on one line.
func Join(all []Fault) string {
	parts := make([]string, 0, len(all))
	for _, f := range all {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// maxQuotedCharacters bounds the characters of a value that are shown.
const maxQuotedCharacters = 64

func quoteShort(s string) string {
	if r := []rune(s); len(r) > maxQuotedCharacters {
		s = string(r[:maxQuotedCharacters]) + "..."
	}
	return fmt.Sprintf("%q", s)
}

// Merge adds the faults of values to those of the reading. A field that could
// not be read, and what lies below it, is reported once.
func Merge(reading, values []Fault) []Fault {
	out := reading
	for _, f := range values {
		if !covered(reading, f.Field) {
			out = append(out, f)
		}
	}
	return out
}

// covered reports whether a field, or one that it lies in, has a fault.
func covered(all []Fault, field string) bool {
	for _, f := range all {
		rest, ok := strings.CutPrefix(field, f.Field)
		if f.Field == "JSON" || ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
