package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspended is how long the machine had been suspended when first asked.
var suspended = sync.OnceValue(sleptSinceBoot)

// Now returns the runtime's clock, moved on by the time that the machine was
// suspended since the process started.
//
// It guards against a holder that was suspended past its lease: the steady
// clock does not count that time, so the lease would still look valid. Never
// the time of day is used, which jumps.
func Now() time.Time { return time.Now().Add(Slept()) }

// Slept returns how long the machine was suspended since the process started.
func Slept() time.Duration {
	before := suspended()

	return max(0, sleptSinceBoot()-before)
}

// sleptSinceBoot returns what the boot clock counts and the steady clock does
// not. Without a boot clock that is nothing.
func sleptSinceBoot() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}

	return time.Duration(boot.Nano() - steady.Nano()).Truncate(time.Millisecond)
}
