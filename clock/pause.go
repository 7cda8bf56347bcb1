package clock

import (
	"context"
	"time"
)

// Sleep waits until a duration has passed or the context has ended. It reports
// whether the duration has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
