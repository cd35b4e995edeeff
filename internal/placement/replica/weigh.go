package replica

import (
	"math"
	"time"
)

// Bounds of the weights between which WeightsFor interpolates.
const (
	minKeepAlive = 30 * time.Second
	maxKeepAlive = 30 * time.Minute
	minWaitCost  = 20
	maxWaitCost  = 20000
)

// WeightsFor returns the weights for a coldStart between 0, which favours few
// idle accelerators, and 1, which favours short cold starts. Equal steps of
// coldStart multiply the cost of a second of waiting by equal factors.
func WeightsFor(coldStart float64) Weights {
	return Weights{
		WaitCost:     minWaitCost * math.Pow(maxWaitCost/minWaitCost, coldStart),
		KeepAlive:    minKeepAlive + time.Duration(coldStart*float64(maxKeepAlive-minKeepAlive)),
		ScaleUp:      1.5 - coldStart/2, //nolint:mnd // From 1.5 to 1 times the slots.
		LoadsPerHour: 240,
		RetryBase:    500 * time.Millisecond,
		RetryMax:     time.Minute,
	}
}
