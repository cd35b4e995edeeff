package holder

import (
	"math"
	"slices"
	"time"
)

const (
	// churnWindow is the time over which departed targets are counted.
	churnWindow = 8 * time.Second
	// minRisk is the lowest probability that risk returns, and the one for a
	// service that no target has left recently.
	minRisk = 0.02
)

// churn measures how fast the targets of a service leave. The zero value has
// recorded no departure.
type churn struct{ departures []time.Time }

// record records that a target is leaving or gone.
func (c *churn) record(now time.Time) {
	c.departures = slices.DeleteFunc(c.departures, func(at time.Time) bool { return now.Sub(at) > churnWindow })
	c.departures = append(c.departures, now)
}

// risk returns the probability that a given one of the service's targets
// leaves within d, if they continue to leave at the recent rate.
func (c *churn) risk(targets int, d time.Duration, now time.Time) float64 {
	n := 0

	for _, at := range c.departures {
		if now.Sub(at) <= churnWindow {
			n++
		}
	}

	rate := float64(n) / churnWindow.Seconds() / float64(max(1, targets))

	return max(minRisk, 1-math.Exp(-rate*d.Seconds()))
}
