// Package timer reads a clock that also advances while the machine is suspended.
// Leases and the ages of samples depend on it: Go's monotonic clock stops during
// a suspension, and the wall clock may jump.
//
// # Usage
//
//	start := timer.Now()
//	age := timer.Now().Sub(start)
//
// The returned times can be compared only with each other.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspensions, as an offset from the
// Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it the proxy cannot run
		// safely.
		panic("timer: read boot time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
