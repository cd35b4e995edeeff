package holder

import (
	"math"
	"slices"
	"time"
)

const (
	// turnoverSpan is over what time targets that left are counted.
	turnoverSpan = 8 * time.Second
	// crashRisk is how likely a target is gone within some seconds while none
	// has left lately.
	crashRisk = 0.02
)

// turnover tells how fast the targets of a service leave. The zero value has
// seen none leave.
type turnover struct{ left []time.Time }

// note records that a target leaves, or has gone.
func (t *turnover) note(now time.Time) {
	t.left = slices.DeleteFunc(t.left, func(at time.Time) bool { return now.Sub(at) > turnoverSpan })
	t.left = append(t.left, now)
}

// risk returns how likely one of so many targets leaves within d, if they go
// on to leave as fast as of late.
func (t *turnover) risk(targets int, d time.Duration, now time.Time) float64 {
	n := 0

	for _, at := range t.left {
		if now.Sub(at) <= turnoverSpan {
			n++
		}
	}

	rate := float64(n) / turnoverSpan.Seconds() / float64(max(1, targets))

	return max(crashRisk, 1-math.Exp(-rate*d.Seconds()))
}
