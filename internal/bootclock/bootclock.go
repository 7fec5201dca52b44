// Package bootclock reads a clock that is never set and that also advances while the
// VM is suspended. The monotonic clock of package time stops then.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: the system has no boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
