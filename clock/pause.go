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

// Every calls a function with the time after each interval, until the context ends.
// It calls it less often where the function takes longer than the interval.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}
