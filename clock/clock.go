// Package clock waits, and reads the clock that counts the time in which a machine
// was suspended, which the monotonic clock of the runtime does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was started, suspensions
// included.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock is there on every Linux since 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}
