package router

import "time"

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
}

// PauseOf returns the pause that ends first if all of the targets that can be used
// at all are paused, and false otherwise.
func PauseOf(targets []*Target, now time.Time) (Pause, bool) {
	var first Pause

	for _, t := range targets {
		if t.Leaving() || t.Dead() || t.Info().Down {
			continue
		}

		until := time.Unix(0, t.pausedUntil.Load())
		if !until.After(now) {
			return Pause{}, false
		}

		if first.Until.IsZero() || until.Before(first.Until) {
			first = Pause{Until: until, Interval: time.Duration(t.pauseNs.Load())}
		}
	}

	return first, !first.Until.IsZero()
}
