package reservation

import (
	"fmt"
	"time"
)

// DrainingError reports that the table was told to drain and takes no new
// requests.
type DrainingError struct{}

// Error returns the message.
func (*DrainingError) Error() string {
	return "endpoint is leaving"
}

// TooLargeError reports a request that needs more than the engine's total
// memory.
type TooLargeError struct {
	// Pieces is what the request needs, and Total what the engine has.
	Pieces int
	Total  int
}

// Error returns a message with both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("request needs %d pieces of memory, the engine has %d", e.Pieces, e.Total)
}

// QueueFullError reports that the queue is full, or that the expected wait is
// longer than the request's deadline allows.
type QueueFullError struct {
	// Queued is the number of waiting requests.
	Queued int
	// RetryAfter is the expected time until the memory is free.
	RetryAfter time.Duration
}

// Error returns a message with the queue length and the expected wait.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d requests wait, expected wait %s", e.Queued, e.RetryAfter)
}

// StaleError reports an attempt or a reservation that is not current.
type StaleError struct {
	Attempt Attempt
	// Current is the number of the request's current attempt, or zero if it has
	// none.
	Current uint32
}

// Error returns a message with the attempt.
func (e *StaleError) Error() string {
	return fmt.Sprintf("attempt %d of request %s is not current", e.Attempt.Number, e.Attempt.Request)
}
