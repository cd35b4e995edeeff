// Package timeline records events of all processes in causal order: a cause
// comes before its effects.
package timeline

import (
	"sync/atomic"
	"time"
)

// Stamp is a hybrid logical time: milliseconds since 1970 in the upper 48 bits
// and a counter in the lower 16 bits. A cause has a smaller stamp than its
// effect even if the clocks of the instances differ, provided that every
// receiver of a message passes its stamp to Clock.Observe.
type Stamp uint64

const counterBits = 16

// Time returns the stamp's wall time, with a resolution of one millisecond. It
// is ahead of the local clock if the Clock has observed a later stamp, or if
// more than 65,536 stamps were issued in a millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) } //nolint:gosec // 48 bits.

// Clock issues stamps. The zero value is ready for use.
type Clock struct{ last atomic.Uint64 }

// Now returns a stamp greater than all stamps issued or observed before.
func (c *Clock) Now() Stamp {
	for {
		last := c.last.Load()
		next := max(uint64(time.Now().UnixMilli())<<counterBits, last+1) //nolint:gosec // After 1970.

		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe records the stamp of a received message, so that later local stamps
// are greater.
func (c *Clock) Observe(s Stamp) {
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}

// StampOf returns the lowest stamp of t's millisecond.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMilli()) << counterBits } //nolint:gosec // After 1970.
