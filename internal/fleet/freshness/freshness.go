// Package freshness judges how old an entry's knowledge of the configuration may be, from
// evidence alone: an answer shows what was newest when it was requested, however long it
// took to arrive. The package does no I/O and reads no clock.
package freshness

import (
	"slices"
	"time"
)

// Evidence says that a version was the newest one at a time.
type Evidence struct {
	Version uint64
	// AsOf is never later than a time at which Version was the newest. Zero means that
	// the time is unknown.
	AsOf time.Time
}

// AsOfRead returns the time at which a read of the store shows the newest state. The read
// was sent at began, its answer had arrived at ended, and the store was asked to wait for a
// change for so long. An answer with a change may have been made at once.
func AsOfRead(began, ended time.Time, wait time.Duration, changed bool) time.Time {
	if changed || ended.Sub(began) < wait {
		return began
	}

	return began.Add(wait)
}

// Knowledge is what an entry knows of the versions of the configuration. The zero value
// knows nothing.
type Knowledge struct {
	// inForce is the version in force here. It never decreases.
	inForce uint64
	// currentAsOf is the latest time at which inForce was the newest version.
	currentAsOf time.Time
	// newer are the versions above inForce that this entry has heard of, in the order of
	// both their numbers and their times.
	newer []heardVersion
}

// heardVersion is a version with the time at which this entry first heard of it.
type heardVersion struct {
	version uint64
	at      time.Time
}

// maxNewer limits the versions that are kept. Of more, the latest but one is forgotten.
const maxNewer = 32

// Hear applies evidence that arrived at now. It reports whether it names a version that is
// newer than all before.
func (k *Knowledge) Hear(e Evidence, now time.Time) bool {
	// A lower version than the one in force shows only that its sender is behind.
	if e.Version == k.inForce && e.AsOf.After(k.currentAsOf) {
		k.currentAsOf = e.AsOf
	}

	if e.Version <= k.Newest() {
		return false
	}

	if len(k.newer) == maxNewer {
		k.newer = slices.Delete(k.newer, maxNewer-1, maxNewer)
	}

	k.newer = append(k.newer, heardVersion{version: e.Version, at: now})

	return true
}

// Activate records that a version is in force. It reports false, and changes nothing, if
// it is not newer than the one before.
func (k *Knowledge) Activate(version uint64) bool {
	if version <= k.inForce {
		return false
	}

	k.inForce, k.currentAsOf = version, time.Time{}
	k.newer = slices.DeleteFunc(k.newer, func(h heardVersion) bool { return h.version <= version })

	return true
}

// InForce returns the version in force, zero if there is none.
func (k *Knowledge) InForce() uint64 { return k.inForce }

// Newest returns the newest version that this entry has heard of.
func (k *Knowledge) Newest() uint64 {
	if n := len(k.newer); n > 0 {
		return k.newer[n-1].version
	}

	return k.inForce
}

// Outdated reports whether a newer version than the one in force is known.
func (k *Knowledge) Outdated() bool { return len(k.newer) > 0 }

// OutdatedFor returns for how long a newer version than the one in force has been known,
// zero if none is.
func (k *Knowledge) OutdatedFor(now time.Time) time.Duration {
	if !k.Outdated() {
		return 0
	}

	return now.Sub(k.newer[0].at)
}

// Evidence returns what this entry can prove to others: the newest version that it knows
// of, and the time of that if it is in force here.
func (k *Knowledge) Evidence() Evidence {
	if k.Outdated() {
		return Evidence{Version: k.Newest()}
	}

	return Evidence{Version: k.inForce, AsOf: k.currentAsOf}
}

// CurrentSince reports whether the version in force was the newest at the time given or
// later.
func (k *Knowledge) CurrentSince(t time.Time) bool {
	return k.inForce > 0 && !k.Outdated() && !k.currentAsOf.IsZero() && !k.currentAsOf.Before(t)
}
