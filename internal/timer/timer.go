// Package timer reads the clock that also counts while the machine is
// suspended. Leases and ages of samples rest on it: Go's monotonic clock stands
// still during a suspension, and the time of day may jump.
//
// # Usage
//
//	start := timer.Now()
//	age := timer.Now().Sub(start)
//
// The times returned compare only with each other.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, counting suspensions, as a
// time after the Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; a kernel without it cannot
		// run the proxy safely.
		panic("timer: read boot time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
