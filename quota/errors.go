package quota

import (
	"fmt"
	"time"
)

// RefusedError reports a request over the quota of its account, or one of which that is not
// known.
type RefusedError struct {
	Account string
	// RetryAfter is when it may come back.
	RetryAfter time.Duration
	// Unknown is true where the Ledger did not say in time.
	Unknown bool
}

// Error returns a message with the account.
func (e *RefusedError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("control did not say whether account %s is within its quota", e.Account)
	}
	return fmt.Sprintf("account %s is over its quota", e.Account)
}
