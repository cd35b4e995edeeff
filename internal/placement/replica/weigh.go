package replica

import (
	"math"
	"time"
)

// The ends of the policy's range.
const (
	minKeepAlive = 30 * time.Second
	maxKeepAlive = 30 * time.Minute
	minWorth     = 20
	maxWorth     = 20000
)

// Weigh returns the terms for one weight, from 0, where idle accelerator
// hours alone count, to 1, where the tail of cold starts alone counts. In
// between, what a second of a caller's wait is worth grows by the same factor
// with each step.
func Weigh(coldStart float64) Terms {
	return Terms{
		Worth:        minWorth * math.Pow(maxWorth/minWorth, coldStart),
		KeepAlive:    minKeepAlive + time.Duration(coldStart*float64(maxKeepAlive-minKeepAlive)),
		ScaleUp:      1.5 - coldStart/2, //nolint:mnd // From one and a half to one target's slots.
		LoadsPerHour: 240,
		RetryBase:    500 * time.Millisecond,
		RetryMax:     time.Minute,
	}
}
