package mesh

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock returns the current time. Only times of the same clock may be compared.
type clock func() time.Time

// bootTime returns the time since the VM was booted, as a time after the Unix epoch. Unlike
// the monotonic clock, it counts the time for which the VM was suspended.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Unix())
}
