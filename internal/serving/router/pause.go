package router

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// Pause keeps this entry's requests from the target until now+d, because the
// target's rate limit leaves no room earlier. A pause that ends earlier stays.
func (t *Target) Pause(now time.Time, d time.Duration) {
	until := now.Add(d).UnixNano()
	if old := t.pausedUntil.Load(); old > now.UnixNano() && old <= until {
		return
	}

	t.pausedUntil.Store(until)
	t.pauseNs.Store(int64(d))
}

// Pause is when the first of several targets may be sent a request again.
type Pause struct {
	Until time.Time
	// Interval is the time after which that target is expected to accept another
	// one from this entry.
	Interval time.Duration
	// Resting says that the target asked for rest, and not that its rate limit leaves no
	// room.
	Resting bool
}

// restedInterval is the assumed time between two requests that a target accepts after a
// rest.
const restedInterval = 50 * time.Millisecond

// PauseOf returns the pause that ends first if all of the targets that can be used
// at all rest or are paused, and false otherwise.
func PauseOf(targets []*Target, now time.Time) (Pause, bool) {
	var first Pause

	for _, t := range targets {
		if t.Leaving() || t.Dead() || t.Info().Down {
			continue
		}

		p := t.pause(now)
		if !p.Until.After(now) {
			return Pause{}, false
		}

		if first.Until.IsZero() || p.Until.Before(first.Until) {
			first = p
		}
	}

	return first, !first.Until.IsZero()
}

// pause returns the target's own pause. It may have ended.
func (t *Target) pause(now time.Time) Pause {
	p := Pause{Until: time.Unix(0, t.pausedUntil.Load()), Interval: time.Duration(t.pauseNs.Load())}

	if from, resting := t.rest.from(now); resting {
		return Pause{Until: clock.Later(from, p.Until), Interval: max(restedInterval, p.Interval), Resting: true}
	}

	return p
}
