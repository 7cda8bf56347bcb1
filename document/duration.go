package document

import "time"

// Duration is a time.Duration that is written as text, such as "330ms".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration from text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return &DurationError{Value: string(b)}
	}
	*d = Duration(v)
	return nil
}

// Expected describes a duration.
func (Duration) Expected() string {
	return `a duration such as "330ms" or "24h"`
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
