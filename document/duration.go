package document

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is written as text, such as "330ms".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration from text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &DurationError{Value: string(b)}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &DurationError{Value: s}
	}
	*d = Duration(v)
	return nil
}

// DurationError reports a text that is no duration.
type DurationError struct {
	// Value is what was found.
	Value string
}

// Error says what was found and what was expected.
func (e *DurationError) Error() string {
	return "duration " + e.Value + ` is not understood, expected text such as "330ms" or "24h"`
}
