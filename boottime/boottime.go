// Package boottime provides a monotonic clock that also advances while the
// instance is suspended. The age of what expires (a confirmation, a share, a
// heartbeat) is measured with it, as the monotonic clock of the Go runtime does
// not advance during a suspend.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment before the process started.
type Clock func() time.Duration

// started is the origin of the fallback clock.
var started = time.Now()

// Now is a Clock that reads CLOCK_BOOTTIME of the kernel.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// On kernels without this clock there is no suspend to account for.
		return time.Since(started)
	}
	return time.Duration(t.Nano())
}
