package document

import "time"

// Duration is a time.Duration that JSON holds as text, such as "330ms".
type Duration time.Duration

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration. The error is a *DurationError.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return &DurationError{Value: string(b)}
	}
	*d = Duration(v)
	return nil
}

// Expected describes the text of a duration, for faults.
func (Duration) Expected() string {
	return `a duration such as "330ms" or "24h"`
}

// DurationError reports a text that is not a duration.
type DurationError struct {
	// Value is the text.
	Value string
}

// Error names the text and the expected format.
func (e *DurationError) Error() string {
	return "duration " + e.Value + ` is not understood, expected text such as "330ms" or "24h"`
}
