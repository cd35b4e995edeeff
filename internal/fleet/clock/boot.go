package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedAtStart is how long the machine had been suspended at the first call.
var suspendedAtStart = sync.OnceValue(suspendedSinceBoot)

// Now returns the runtime's clock, advanced by the time that the machine was
// suspended since the process started.
//
// It guards against a holder that was suspended past the end of its lease: the
// monotonic clock does not count that time, so the lease would still appear valid.
// The time of day is not used, because it jumps.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the machine was suspended since the process started.
func Suspended() time.Duration {
	before := suspendedAtStart()

	return max(0, suspendedSinceBoot()-before)
}

// suspendedSinceBoot returns the time that the boot clock counts and the monotonic
// clock does not. Without a boot clock it returns zero.
func suspendedSinceBoot() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}

	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(time.Millisecond)
}
