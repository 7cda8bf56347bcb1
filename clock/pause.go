package clock

import (
	"context"
	"time"
)

// Pause waits for a time or the end of the context. It reports whether the time
// has passed.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
