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
	// The weight store counts as overloaded when a finished load took at least
	// slowFactor times its configured duration, or when a load that has not
	// ended has taken more than overdueFactor times that.
	slowFactor    = 1.3
	overdueFactor = 1.6
	// listDelay is the assumed time between the end of a load and the row of
	// the target list that shows it. See maxListDelay for its limit.
	listDelay = 800 * time.Millisecond
	// maxListGap is the time without a row of the target list after which the
	// loads in flight are not used for the estimate, because their ends may
	// have been missed.
	maxListGap = 2500 * time.Millisecond
	// probePause is the time after a slow load during which the estimate is not
	// raised, so that a capacity that was too large is not tried again at once.
	probePause = time.Minute
)

// storeCapacity estimates from the duration of loads how many concurrent loads
// the weight store serves at full speed, which is configured nowhere. The zero
// value has observed no load.
//
// With an estimate that is too high, loads end later than predicted, since the
// weight store shares its bandwidth among more loads than it can serve at full
// speed. With one that is too low, targets wait although the weight store is
// not fully used.
type storeCapacity struct {
	// estimate is the number of loads at full speed; zero means
	// initialCapacity, or cautiousCapacity if cautious is set.
	estimate float64
	// noProbeUntil is the time until which no larger estimate is tried, and pause how
	// long that was last.
	noProbeUntil time.Time
	pause        time.Duration
	// cautious reports that loads outlast the clients of streams (see
	// outlastsClients): the first estimate is cautiousCapacity.
	cautious bool
	// loadSeconds is the integral of the number of loads in flight over time,
	// up to at.
	loadSeconds float64
	at          time.Time
	lastRow     time.Time
	loads       map[instance.ID]storeLoad
}

// storeLoad is a load from the weight store that an engine has accepted.
type storeLoad struct {
	model    string
	began    time.Time
	expected time.Duration
	// startLoadSeconds is storeCapacity.loadSeconds at the start of the load.
	startLoadSeconds float64
	// listGap is true if no row of the target list arrived for maxListGap
	// during the load, so that its end may have been missed.
	listGap bool
}

// fullSpeed returns the estimated number of concurrent loads that the weight
// store serves at full speed.
func (c *storeCapacity) fullSpeed() float64 {
	if c.estimate == 0 && c.cautious {
		return cautiousCapacity
	}

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

	c.loads[id] = storeLoad{model: model, began: now, expected: max(expected, time.Second), startLoadSeconds: c.loadSeconds}
}

// observe applies a new row of the target list. When the row shows that its
// target's load has ended, the load is removed and the estimate updated. After
// a gap of maxListGap without rows, the loads in flight are excluded from the
// estimate.
func (c *storeCapacity) observe(t inventory.Target, now time.Time) {
	if now.Sub(c.lastRow) > maxListGap {
		for id, l := range c.loads {
			l.listGap = true
			c.loads[id] = l
		}
	}

	c.lastRow = now
	c.advance(now)

	l, loading := c.loads[t.ID]
	if !loading {
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

// adjust updates the estimate from the duration of a load until the given time:
// factor is slowFactor if the load ended then, and overdueFactor if it is still
// in flight. The estimate is lowered if the load took at least factor times its
// expected duration; only a load that has ended can raise it. loadSeconds must
// be up to date.
func (c *storeCapacity) adjust(l storeLoad, until time.Time, factor float64) {
	took := until.Sub(l.began)
	if l.listGap || took <= 0 {
		return
	}

	// The mean number of loads in flight during the load, itself included.
	concurrent := (c.loadSeconds - l.startLoadSeconds) / c.at.Sub(l.began).Seconds()
	ratio := took.Seconds() / l.expected.Seconds()

	switch {
	case ratio >= factor:
		c.estimate = max(1, min(c.fullSpeed(), concurrent/ratio))
		c.pauseProbes(until)
	case factor == slowFactor && concurrent+1 > c.fullSpeed() && until.After(c.noProbeUntil):
		c.estimate = c.fullSpeed() + c.step()
	}
}
