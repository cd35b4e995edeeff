package replica

import (
	"math"
	"time"
)

// Bounds of the weights between which Weigh interpolates.
const (
	minKeepAlive = 30 * time.Second
	maxKeepAlive = 30 * time.Minute
	minWorth     = 20
	maxWorth     = 20000
)

// WeightsFor returns the weights for a position between 0, where only the idle time
// of accelerators counts, and 1, where only the slowest cold starts count. Each
// equal step in between multiplies the cost of a second of waiting by the same
// factor.
func WeightsFor(coldStart float64) Weights {
	return Weights{
		WaitCost:     minWorth * math.Pow(maxWorth/minWorth, coldStart),
		KeepAlive:    minKeepAlive + time.Duration(coldStart*float64(maxKeepAlive-minKeepAlive)),
		ScaleUp:      1.5 - coldStart/2, //nolint:mnd // From 1.5 to 1 times the slots.
		LoadsPerHour: 240,
		RetryBase:    500 * time.Millisecond,
		RetryMax:     time.Minute,
	}
}
