package holder

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// versionsKept is the number of snapshots for which deltas are available. It
// covers some seconds of a holder that publishes often.
const versionsKept = 128

// History keeps the newest snapshot that an entry received or published and
// when its parts changed, so that other entries receive only what is new to
// them.
//
// A holder publishes changes to a few engines among thousands, several times a
// second, to hundreds of entries. An entry that acquires the lease continues
// from the snapshot that it received, so that the other entries need no full
// snapshot.
//
// The zero value is empty. It is not safe for concurrent use.
type History struct {
	snapshot Snapshot
	// index maps targets to the positions of their engines in the snapshot.
	index map[instance.ID]int
	// step counts the snapshots recorded.
	step uint64
	// steps has the steps at which the engines of the snapshot last changed, in
	// the same order, and removed those at which targets disappeared.
	steps   []engineSteps
	removed map[instance.ID]uint64
	// versions are those of the last snapshots with their steps, the newest
	// last.
	versions []versionStep
	// deltas caches the deltas to the newest snapshot, by the step of their
	// base.
	deltas map[uint64]Delta
}

// engineSteps are the steps at which an engine, or its counts alone, last
// changed.
type engineSteps struct{ changed, counted uint64 }

type versionStep struct {
	Version

	step uint64
}

// Snapshot returns the newest snapshot. Its engines must not be modified.
func (h *History) Snapshot() Snapshot { return h.snapshot }

// Publish records a snapshot that this entry publishes. A change in an engine's
// number of running requests by less than runningStep is not recorded on its
// own.
func (h *History) Publish(latest Snapshot, now time.Time) { h.update(latest, now, runningStep) }

// Receive records a snapshot that this entry has received.
func (h *History) Receive(latest Snapshot, now time.Time) { h.update(latest, now, 1) }

func (h *History) update(latest Snapshot, now time.Time, minDiff int) {
	h.step++

	if h.removed == nil {
		h.removed = make(map[instance.ID]uint64)
	}

	if !sameTargets(h.snapshot.Engines, latest.Engines) {
		h.reorder(latest.Engines)
	}

	engines := make([]EngineState, len(latest.Engines))

	for i := range latest.Engines {
		engines[i] = h.updateEngine(i, &latest.Engines[i], now, minDiff)
	}

	h.snapshot, h.deltas = latest, nil
	h.snapshot.Engines = engines
	h.recordVersion(latest.Version())
}

// reorder brings the recorded engines into the order of a newer snapshot.
func (h *History) reorder(latest []EngineState) {
	index := make(map[instance.ID]int, len(latest))
	engines := make([]EngineState, len(latest))
	steps := make([]engineSteps, len(latest))

	for i := range latest {
		id := latest[i].Target
		index[id] = i

		if j, known := h.index[id]; known {
			engines[i], steps[i] = h.snapshot.Engines[j], h.steps[j]
		} else {
			delete(h.removed, id)
		}
	}

	for id := range h.index {
		if _, listed := index[id]; !listed {
			h.removed[id] = h.step
		}
	}

	h.index, h.snapshot.Engines, h.steps = index, engines, steps
}

// sameTargets reports whether two lists have the same targets in the same
// order.
func sameTargets(a, b []EngineState) bool {
	if len(a) != len(b) {
		return false
	}

	for i := range a {
		if a[i].Target != b[i].Target {
			return false
		}
	}

	return true
}

// updateEngine returns the state to record for the engine at position i: the
// new one if the engine is new or sameModels finds a difference, else the
// recorded one, with both counts updated if sameCounts finds a difference.
func (h *History) updateEngine(i int, state *EngineState, now time.Time, minDiff int) EngineState {
	old, steps := h.snapshot.Engines[i], &h.steps[i]

	switch {
	case steps.changed == 0 || !old.sameModels(state, now):
		steps.changed = h.step

		return *state
	case !old.sameCounts(state, minDiff):
		steps.counted = h.step

		old.setCounts(state.counts())
	}

	return old
}

// Apply returns the newest snapshot with a delta applied, without recording
// it. It returns false when the delta has another base.
func (h *History) Apply(d Delta) (Snapshot, bool) {
	out := d.Snapshot
	if d.Base == (Version{}) {
		return out, true
	}

	if h.snapshot.Version() != d.Base {
		return h.snapshot, false
	}

	// The order is kept, so that update rarely has to rebuild the index.
	out.Engines = slices.Clone(h.snapshot.Engines)

	for _, state := range d.Engines {
		if i, known := h.index[state.Target]; known {
			out.Engines[i] = state
		} else {
			out.Engines = append(out.Engines, state)
		}
	}

	for _, c := range d.Counts {
		if i, known := h.index[c.Target]; known {
			out.Engines[i].setCounts(c)
		}
	}

	if len(d.Removed) > 0 {
		gone := make(map[instance.ID]bool, len(d.Removed))
		for _, id := range d.Removed {
			gone[id] = true
		}

		out.Engines = slices.DeleteFunc(out.Engines, func(state EngineState) bool { return gone[state.Target] })
	}

	return out, true
}

// recordVersion records a version, and deletes the removals of targets that no
// recorded version needs.
func (h *History) recordVersion(v Version) {
	h.versions = append(h.versions, versionStep{v, h.step})

	if len(h.versions) <= versionsKept {
		return
	}

	h.versions = h.versions[1:]

	for id, step := range h.removed {
		if step <= h.versions[0].step {
			delete(h.removed, id)
		}
	}
}

// Since returns the delta from the snapshot with the given version, or the full
// snapshot if that version is not recorded, or no longer.
func (h *History) Since(base Version) Delta {
	for _, v := range h.versions {
		if v.Version == base {
			return h.since(v)
		}
	}

	return Delta{Snapshot: h.snapshot}
}

// PreviousVersion returns the version of the previous holder's last snapshot, or zero
// if there is none. Most entries have that snapshot when a new holder first
// publishes.
func (h *History) PreviousVersion() Version {
	own := h.snapshot.Version()

	for i := len(h.versions) - 1; i >= 0; i-- {
		if v := h.versions[i]; v.Token != own.Token || v.Process != own.Process {
			return v.Version
		}
	}

	return Version{}
}

func (h *History) since(v versionStep) Delta {
	if d, cached := h.deltas[v.step]; cached {
		return d
	}

	d := Delta{Snapshot: h.snapshot, Base: v.Version}
	d.Engines = nil

	for i, steps := range h.steps {
		state := &h.snapshot.Engines[i]

		switch {
		case steps.changed > v.step:
			d.Engines = append(d.Engines, *state)
		case steps.counted > v.step:
			d.Counts = append(d.Counts, state.counts())
		}
	}

	for id, step := range h.removed {
		if step > v.step {
			d.Removed = append(d.Removed, id)
		}
	}

	if h.deltas == nil {
		h.deltas = make(map[uint64]Delta)
	}

	h.deltas[v.step] = d

	return d
}
