package holder

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

const (
	// initialCapacity is the number of concurrent loads that the weight store
	// is assumed to serve at full speed until the duration of loads shows
	// otherwise. capacityStep is the number of additional loads that are
	// tried.
	initialCapacity = 4
	capacityStep    = 2
	// slowFactor is the ratio of a finished load's duration to its configured
	// one from which the store counts as overloaded, and overdueFactor the
	// same for a load that has not ended.
	slowFactor    = 1.3
	overdueFactor = 1.6
	// listDelay is the time between the end of a load and the row of the
	// target list that shows it.
	listDelay = 800 * time.Millisecond
	// maxListGap is the time without a row of the target list after which the
	// loads in flight say nothing about the capacity, because their ends may
	// have been missed.
	maxListGap = 2500 * time.Millisecond
	// probePause is the time for which a capacity that was too large is not
	// tried again.
	probePause = time.Minute
)

// storeCapacity estimates from the duration of loads how many concurrent loads
// the weight store serves at full speed, which is configured nowhere. The zero
// value has observed none.
//
// An estimate that is too high makes predictions too early, since the store
// shares its bandwidth among more loads than it can serve at full speed. One
// that is too low keeps targets waiting for a store that is not fully used.
type storeCapacity struct {
	// estimate is the number of loads at full speed; zero means
	// initialCapacity.
	estimate float64
	// noProbeUntil is the time until which no larger estimate is tried.
	noProbeUntil time.Time
	// loadSeconds is the integral of the number of loads in flight over time,
	// up to at.
	loadSeconds float64
	at          time.Time
	lastRow     time.Time
	loads       map[instance.ID]storeLoad
}

// storeLoad is a load from the weight store that an engine has accepted.
type storeLoad struct {
	model       string
	began       time.Time
	expected    time.Duration
	loadSeconds float64
	unobserved  bool
}

// fullSpeed returns the number of concurrent loads that the store serves at
// full speed.
func (c *storeCapacity) fullSpeed() float64 {
	if c.estimate == 0 {
		return initialCapacity
	}

	return c.estimate
}

// slowdown returns the factor by which a load takes longer than alone when it
// starts beside the given number of others.
func (c *storeCapacity) slowdown(others int) float64 {
	return max(1, float64(others+1)/c.fullSpeed())
}

func (c *storeCapacity) advance(now time.Time) {
	c.loadSeconds += float64(len(c.loads)) * now.Sub(c.at).Seconds()
	c.at = now
}

// start records a load that an engine has accepted.
func (c *storeCapacity) start(id instance.ID, model string, expected time.Duration, now time.Time) {
	c.advance(now)

	if c.loads == nil {
		c.loads = make(map[instance.ID]storeLoad)
	}

	c.loads[id] = storeLoad{model: model, began: now, expected: max(expected, time.Second), loadSeconds: c.loadSeconds}
}

// observe applies a new row of the target list.
func (c *storeCapacity) observe(t inventory.Target, now time.Time) {
	if now.Sub(c.lastRow) > maxListGap {
		for id, l := range c.loads {
			l.unobserved = true
			c.loads[id] = l
		}
	}

	c.lastRow = now
	c.advance(now)

	l, loads := c.loads[t.ID]
	if !loads {
		return
	}

	for _, held := range t.Resident {
		if held.Model == l.model {
			c.adjust(l, now.Add(-listDelay), slowFactor)
			c.remove(t.ID, now)

			return
		}
	}
}

// remove deletes a load that has ended, or whose target is gone.
func (c *storeCapacity) remove(id instance.ID, now time.Time) {
	c.advance(now)
	delete(c.loads, id)
}

// checkOverdue lowers the estimate for loads that should have ended.
func (c *storeCapacity) checkOverdue(now time.Time) {
	c.advance(now)

	for _, l := range c.loads {
		if now.Sub(l.began) > time.Duration(overdueFactor*float64(l.expected)) {
			c.adjust(l, now, overdueFactor)
		}
	}
}

// adjust updates the estimate by a load that ended at the given time, or that
// is still in flight then. loadSeconds must be up to date.
func (c *storeCapacity) adjust(l storeLoad, until time.Time, factor float64) {
	took := until.Sub(l.began)
	if l.unobserved || took <= 0 {
		return
	}

	others := (c.loadSeconds - l.loadSeconds) / c.at.Sub(l.began).Seconds()
	ratio := took.Seconds() / l.expected.Seconds()

	switch {
	case ratio >= factor:
		c.estimate = max(1, min(c.fullSpeed(), others/ratio))
		c.noProbeUntil = until.Add(probePause)
	case factor == slowFactor && others+1 > c.fullSpeed() && until.After(c.noProbeUntil):
		c.estimate = c.fullSpeed() + capacityStep
	}
}
