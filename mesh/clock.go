package mesh

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// bootClock returns the time since the VM was started, with the time for which the VM was
// suspended. Nothing sets it.
type bootClock func() time.Duration

// newBootClock returns CLOCK_BOOTTIME. The clock that package time uses does not count the
// time for which the VM is suspended, and the wall clock may jump.
func newBootClock() (clock bootClock, err error) {
	defer func() { err = eris.Wrap(err, "read CLOCK_BOOTTIME") }()
	var now unix.Timespec
	if err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return nil, err
	}
	return func() time.Duration {
		var now unix.Timespec
		// The only errors are an unknown clock and an invalid address.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
		return time.Duration(now.Nano())
	}, nil
}

// now returns the time of the clock as a time after the Unix epoch. Only such times may be
// compared with each other.
func (c bootClock) now() time.Time { return time.Unix(0, int64(c())) }
