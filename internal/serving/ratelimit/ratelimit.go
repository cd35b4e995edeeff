// Package ratelimit keeps what targets state about the requests that they accept
// from all entries together. It does no I/O and reads no clock.
package ratelimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Limit is a target's rate limit. The zero value means that the target states
// none.
type Limit struct {
	Stated bool
	// PerSecond is a number of requests, at least zero.
	PerSecond float64
}

// Observation is what a target stated at a time.
type Observation struct {
	Target instance.ID
	Limit  Limit
	// At is when the answer that states a limit arrived. For an answer without a
	// limit it is when its request was sent: a target may have sent that answer
	// before it stated the limit.
	At time.Time
}

// Registry keeps the newest observation of each target that has stated a limit.
// The zero value is empty. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	latest map[instance.ID]Observation
}

// Record keeps the observation if it is newer than the one known. It returns the limit
// that was known of the target and whether that changed. An answer without a limit is
// ignored if no limit is known.
func (r *Registry) Record(o Observation) (before Limit, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	old, known := r.latest[o.Target]
	if !known && !o.Limit.Stated || known && !o.At.After(old.At) {
		return old.Limit, false
	}

	if r.latest == nil {
		r.latest = make(map[instance.ID]Observation)
	}

	r.latest[o.Target] = o

	return old.Limit, old.Limit != o.Limit
}

// Limit returns the target's rate limit.
func (r *Registry) Limit(target instance.ID) Limit { return r.Observation(target).Limit }

// Observation returns the newest observation of the target, or a zero one.
func (r *Registry) Observation(target instance.ID) Observation {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.latest[target]
}

// Of returns the observations of the given targets that are known.
func (r *Registry) Of(targets []instance.ID) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()

	var out []Observation

	for _, id := range targets {
		if o, known := r.latest[id]; known {
			out = append(out, o)
		}
	}

	return out
}

// Newer returns the observations that are newer than the given ones of the same
// targets.
func (r *Registry) Newer(than []Observation) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()

	var out []Observation

	for _, o := range than {
		if mine, known := r.latest[o.Target]; known && mine.At.After(o.At) {
			out = append(out, mine)
		}
	}

	return out
}

// Sample returns at most n observations, drawn at random.
func (r *Registry) Sample(n int) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := slices.Collect(maps.Values(r.latest))
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out[:min(n, len(out))]
}

// Limited returns the number of targets that state a limit.
func (r *Registry) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := 0

	for _, o := range r.latest {
		if o.Limit.Stated {
			n++
		}
	}

	return n
}

// Empty reports that there are no observations.
func (r *Registry) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.latest) == 0
}

// withdrawnRetention is how long it is remembered that a target withdrew its
// limit. In that time every entry has received it.
const withdrawnRetention = 30 * time.Second

// Retain deletes the observations of the targets for which listed returns false,
// and limits that were withdrawn long ago.
func (r *Registry) Retain(listed func(instance.ID) bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	maps.DeleteFunc(r.latest, func(id instance.ID, o Observation) bool {
		return !listed(id) || !o.Limit.Stated && now.Sub(o.At) > withdrawnRetention
	})
}
