package relay

import "time"

// recentSlots is the number of slots that a window is divided into.
const recentSlots = 20

// recentCounts counts requests and retries by the time at which they were sent, for a little more
// than a window. The zero value is empty.
type recentCounts struct {
	// newest is the number of the newest slot since the epoch; slots has those up to it.
	newest int64
	slots  [recentSlots + 1]recentSlot
}

// recentSlot is what a slot counts.
type recentSlot struct{ requests, retries float64 }

// at returns the slot of now, which is not before any earlier call's.
func (c *recentCounts) at(now time.Time, window time.Duration) *recentSlot {
	n := c.newest
	if window > 0 {
		n = max(n, now.UnixNano()/int64(window/recentSlots))
	}

	for i := max(c.newest, n-recentSlots-1) + 1; i <= n; i++ {
		c.slots[i%int64(len(c.slots))] = recentSlot{}
	}

	c.newest = n

	return &c.slots[n%int64(len(c.slots))]
}

// sum returns the requests of at most the last window, and the retries of at least that.
func (c *recentCounts) sum(now time.Time, window time.Duration) (requests, retries float64) {
	c.at(now, window)

	for i, s := range c.slots {
		retries += s.retries

		if oldest := (c.newest + 1) % int64(len(c.slots)); int64(i) != oldest {
			requests += s.requests
		}
	}

	return requests, retries
}
