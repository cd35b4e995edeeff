package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedAtFirstCall is how long the machine had been suspended when Now or Suspended
// was first called.
var suspendedAtFirstCall = sync.OnceValue(suspendedSinceBoot)

// Now returns the runtime's clock, advanced by Suspended.
//
// Without this, a holder that was suspended past the end of its lease would go on
// using it, because by the monotonic clock, which does not count that time, the
// lease would still be valid. The time of day is not used, because it jumps.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the machine was suspended since Now or Suspended was
// first called.
func Suspended() time.Duration {
	before := suspendedAtFirstCall()

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
