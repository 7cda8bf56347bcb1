package reservation

import (
	"fmt"
	"time"
)

// LeavingError reports that the endpoint takes no new work.
type LeavingError struct{}

// Error says so.
func (*LeavingError) Error() string {
	return "endpoint is leaving"
}

// TooLargeError reports a request that the whole memory could not hold.
type TooLargeError struct {
	// Pieces is what the request needs, and Total what there is.
	Pieces int
	Total  int
}

// Error names both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("request needs %d pieces of memory, the engine has %d", e.Pieces, e.Total)
}

// FullError reports that waiting would last too long.
type FullError struct {
	// Queued is the number of requests that wait.
	Queued int
	// RetryAfter is when memory is expected to be free.
	RetryAfter time.Duration
}

// Error gives the expected wait.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d requests wait, expected wait %s", e.Queued, e.RetryAfter)
}

// StaleError reports an attempt or a promise that is not current.
type StaleError struct {
	Attempt Attempt
	// Current is the number of the current attempt, or zero.
	Current uint32
}

// Error names the attempt.
func (e *StaleError) Error() string {
	return fmt.Sprintf("attempt %d of request %s is not current", e.Attempt.Number, e.Attempt.Request)
}
