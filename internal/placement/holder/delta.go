package holder

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Version identifies a snapshot. The zero value identifies none.
type Version struct {
	Token uint64
	// Process is a hash of the holder's process.
	Process uint64
	Number  uint64
}

// Version returns the version of the snapshot.
func (s Snapshot) Version() Version {
	if s.Process == "" {
		return Version{}
	}

	return Version{Token: s.Token, Process: xxhash.Sum64String(s.Process), Number: s.Number}
}

// Delta is the difference between two snapshots.
type Delta struct {
	// Snapshot is the newer snapshot. It contains only those engines of which more
	// than the counts has changed.
	Snapshot
	// Base is the version of the older snapshot. The zero value means that the
	// delta is a complete snapshot.
	Base Version
	// Counts are for the engines of which only the counts have changed.
	Counts []EngineCounts
	// Removed are the targets that the newer snapshot does not contain.
	Removed []instance.ID
}

// EngineCounts is the load of one target: its running requests and the entries with
// queued ones.
type EngineCounts struct {
	Target                  instance.ID
	Running, WaitingEntries int
}

const (
	// runningStep is the difference in running requests from which an engine
	// is sent again for that alone. The count changes with every request, and
	// the choice of a target does not depend on two more or less.
	runningStep = 3
	// readyStep is the same for the time at which a load ends, which two
	// entries derive from messages with different delays.
	readyStep = 30 * time.Millisecond
)

// sameCounts reports whether an entry that has s need not receive the counts
// of o, because as many entries wait and the running requests differ by less
// than minDiff.
func (s *EngineState) sameCounts(o *EngineState, minDiff int) bool {
	diff := o.Running - s.Running

	return s.WaitingEntries == o.WaitingEntries && max(diff, -diff) < minDiff
}

// sameModels reports whether an entry that has s need not receive the models
// of o.
func (s *EngineState) sameModels(o *EngineState, now time.Time) bool {
	return s.Born == o.Born && s.Sequence == o.Sequence &&
		(sameList(s.Resident, o.Resident) || slices.EqualFunc(s.Resident, o.Resident, func(a, b ResidentModel) bool { return a.similar(b, now) }))
}

// sameList reports whether two lists share their memory, as they do when the
// engine has not changed between two snapshots.
func sameList(a, b []ResidentModel) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (m ResidentModel) similar(o ResidentModel, now time.Time) bool {
	return m.Model == o.Model && similarReady(m.Ready, o.Ready, now) && slices.EqualFunc(m.Adapters, o.Adapters, func(a, b ResidentAdapter) bool {
		return a.Name == b.Name && similarReady(a.Ready, b.Ready, now)
	})
}

// similarReady reports whether two ready times are equivalent for an entry
// that receives them at now. All times in the past are equivalent.
func similarReady(a, b, now time.Time) bool {
	if !a.After(now) || !b.After(now) {
		return a.After(now) == b.After(now)
	}

	return a.Sub(b).Abs() < readyStep
}
