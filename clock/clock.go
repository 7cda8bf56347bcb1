// Package clock reads the boot-time clock, which includes the time for which the
// machine was suspended, unlike the monotonic clock of the Go runtime. It also
// waits with a context.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was started, including the time
// for which it was suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}
