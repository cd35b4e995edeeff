// Package timeline records what happened, over all processes, in an order in
// which causes come before their effects.
package timeline

import (
	"sync/atomic"
	"time"
)

// Stamp is a hybrid logical time: milliseconds since 1970 in the upper 48
// bits and a counter in the lower 16 bits. Stamps order events of all
// processes such that a cause has a smaller stamp than its effect, even when
// the machines' clocks differ.
type Stamp uint64

const counterBits = 16

// Time returns the stamp's wall time, exact to a millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) } //nolint:gosec // 48 bits.

// Clock gives out stamps. The zero value is ready for use.
type Clock struct{ last atomic.Uint64 }

// Now returns a stamp above all stamps given out or observed.
func (c *Clock) Now() Stamp {
	for {
		last := c.last.Load()
		next := max(uint64(time.Now().UnixMilli())<<counterBits, last+1) //nolint:gosec // After 1970.

		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe takes in a stamp that came with a message, so that later events
// here are stamped after their cause there.
func (c *Clock) Observe(s Stamp) {
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}

// StampOf returns the first stamp of the millisecond.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMilli()) << counterBits } //nolint:gosec // After 1970.
