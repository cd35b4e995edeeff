package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// rest keeps an entry's requests from a target until the end of the rest that the target
// asked for. After it, the target gets one request, two more for each that it accepts,
// and otherwise one each trialInterval, until it has accepted trialRequests: what has
// been queued for it meanwhile must not arrive at once. The zero value does not rest.
type rest struct {
	// active is set from the beginning of a rest until the end of the trial after it.
	active atomic.Bool

	mu sync.Mutex
	// end is the latest end of all rests.
	end time.Time
	// admitted and accepted count the requests since then.
	admitted, accepted int
	lastAdmitted       time.Time
}

const (
	trialRequests = 8
	trialInterval = 250 * time.Millisecond
)

// extend prolongs the rest until the given time. An earlier end than that of a former
// rest changes nothing.
func (r *rest) extend(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !until.After(r.end) {
		return
	}

	r.end, r.admitted, r.accepted = until, 0, 0
	r.active.Store(true)
}

// clear forgets the rest of a target's former process.
func (r *rest) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.end = time.Time{}
	r.active.Store(false)
}

// from returns when the target may be sent a request, or false if it may be sent one
// now.
func (r *rest) from(now time.Time) (time.Time, bool) {
	if !r.active.Load() {
		return time.Time{}, false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return r.next(now)
}

// admit counts a request that is about to be sent. It returns false if it must not be.
func (r *rest) admit(now time.Time) bool {
	if !r.active.Load() {
		return true
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if _, resting := r.next(now); resting {
		return false
	}

	r.admitted++
	r.lastAdmitted = now

	return true
}

// asked reports whether the target rests at now, apart from the trial after a rest.
func (r *rest) asked(now time.Time) bool {
	if !r.active.Load() {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return r.end.After(now)
}

// next is from for callers that hold the lock.
func (r *rest) next(now time.Time) (time.Time, bool) {
	switch trial := r.lastAdmitted.Add(trialInterval); {
	case r.end.After(now):
		return r.end, true
	case r.admitted <= 2*r.accepted: // One, and two for each that was accepted.
		return time.Time{}, false
	case trial.After(now):
		return trial, true
	}

	return time.Time{}, false
}

// accept records that the target has accepted a request.
func (r *rest) accept(now time.Time) {
	if !r.active.Load() {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if r.end.After(now) {
		return
	}

	if r.accepted++; r.accepted >= trialRequests {
		r.active.Store(false)
	}
}

// Rest keeps this entry's requests from the target until the given time, because the
// target asked for it. The latest of several ends holds.
func (t *Target) Rest(until time.Time) { t.rest.extend(until) }

// Accepted records that the target has accepted a request.
func (t *Target) Accepted(now time.Time) { t.rest.accept(now) }

const (
	// restSpreadPerEntry is the time by which each entry spreads the ends of the rests
	// that a target may have asked of all of them at the same moment. It is at most
	// maxRestSpread of the rest.
	restSpreadPerEntry = 10 * time.Millisecond
	maxRestSpread      = 0.5
)

// RestEnd returns when one of several entries ends a rest that begins now: at least after
// the rest, and at another time than the others.
func RestEnd(now time.Time, rest time.Duration, entries int) time.Time {
	spread := min(time.Duration(entries)*restSpreadPerEntry, time.Duration(maxRestSpread*float64(rest)))

	return now.Add(rest + time.Duration(rand.Float64()*float64(spread))) //nolint:gosec // No secret.
}
