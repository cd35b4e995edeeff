package router

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// brittleSpread is the number of standard deviations by which the expected number of
	// requests stays below a brittle target's slots, since entries that draw lots may all
	// win and none may be allowed to wait there. At least minBrittleShare of the slots is
	// used.
	brittleSpread   = 1.5
	minBrittleShare = 0.5
	// rejectionShare is the part of the rejections that a brittle target bears which
	// entries may cause.
	rejectionShare = 0.5
	// minBrittlePause and maxBrittlePause bound the pause after a rejection.
	minBrittlePause = 300 * time.Millisecond
	maxBrittlePause = 1500 * time.Millisecond
)

// brittle is a target's statement that it fails if it has to reject too many requests in a
// second for want of room. The zero value is a target that is not brittle.
type brittle struct {
	// rejections holds the bits of one more than the number of rejections that it bears in
	// a second, and zero if it is not brittle.
	rejections atomic.Uint64
}

func (b *brittle) state(stated bool, rejections float64) {
	if !stated {
		b.rejections.Store(0)

		return
	}

	b.rejections.Store(math.Float64bits(1 + rejections))
}

func (b *brittle) stated() (float64, bool) {
	bits := b.rejections.Load()
	if bits == 0 {
		return 0, false
	}

	return math.Float64frombits(bits) - 1, true
}

// StateBrittle records whether the target is brittle, and how many rejections it bears in a
// second.
func (t *Target) StateBrittle(stated bool, rejections float64) {
	t.brittle.state(stated, rejections)
}

// Rejected records that the target rejected a request for want of room. If it is brittle, this
// entry pauses: all entries together cause no more rejections than it bears.
func (t *Target) Rejected(now time.Time, entries int) {
	if rejections, ok := t.brittle.stated(); ok {
		t.Pause(now, brittlePause(rejections, entries, rand.Float64())) //nolint:gosec // No secret.
	}
}

// brittlePause returns the pause of one of several entries, with a random number from
// [0, 1): entries that were rejected at the same time return apart.
func brittlePause(rejections float64, entries int, random float64) time.Duration {
	mean := maxBrittlePause.Seconds()
	if allowed := rejections * rejectionShare; allowed > 0 {
		mean = float64(max(1, entries)) / allowed
	}

	pause := time.Duration(min(mean, maxBrittlePause.Seconds()) * float64(time.Second))

	return max(minBrittlePause, time.Duration((0.5+random)*float64(pause))) //nolint:mnd // From half to one and a half.
}

// brittleSlots returns how many requests the entries together may have on a brittle target.
func brittleSlots(slots int) float64 {
	all := float64(max(1, slots))

	return max(minBrittleShare*all, all-brittleSpread*math.Sqrt(all))
}

// brittleWindow returns how many requests this entry may have on a brittle target: its share
// of the slots, or what it had at the last count and its share of those that are free, but
// none beyond the slots that others have not taken.
func (t *Target) brittleWindow(info *TargetInfo, entries int) int64 {
	slots := brittleSlots(info.Slots)
	draw := math.Float64frombits(t.remainderDraw.Load())
	share := int64(slots/float64(entries) + draw)

	// Without a count of the requests of all entries, every slot may be taken.
	if info.CountID == 0 {
		return share
	}

	free := slots - float64(info.Running+info.Waiting)
	if free <= 0 {
		return min(share, t.inFlightAtCount.Load())
	}

	return max(share, t.inFlightAtCount.Load()+int64(free/float64(entries)+draw))
}
