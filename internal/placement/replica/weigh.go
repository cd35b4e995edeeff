package replica

import "time"

// The ends of the policy's range.
const (
	minKeepAlive = 30 * time.Second
	maxKeepAlive = 30 * time.Minute
	minPreLoad   = 0
	maxPreLoad   = 5 * time.Minute
)

// Weigh returns the terms for one weight, from 0, where idle accelerator
// hours alone count, to 1, where the tail of cold starts alone counts.
func Weigh(coldStart float64) Terms {
	between := func(a, b time.Duration) time.Duration {
		return a + time.Duration(coldStart*float64(b-a))
	}

	return Terms{
		KeepAlive:    between(minKeepAlive, maxKeepAlive),
		PreLoad:      between(minPreLoad, maxPreLoad),
		KeepAhead:    between(minKeepAlive, 2*maxKeepAlive),
		ScaleUp:      1.5 - coldStart,
		LoadsPerHour: 240,
		RetryBase:    500 * time.Millisecond,
		RetryMax:     time.Minute,
	}
}
