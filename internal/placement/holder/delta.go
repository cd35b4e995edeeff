package holder

import (
	"math"
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
	// Snapshot is the newer snapshot, without the engines that are unchanged or
	// of which only the counts have changed.
	Snapshot
	// Base is the version of the older snapshot. The zero value means that the
	// delta is a complete snapshot.
	Base Version
	// Counts are for the engines of which only the counts have changed.
	Counts []EngineCounts
	// Removed are the targets that the newer snapshot does not contain.
	Removed []instance.ID
}

// EngineCounts has the figures of a target's EngineState that change often.
type EngineCounts struct {
	Target                          instance.ID
	Running, WaitingEntries, Tokens int
	Speed                           float64
}

const (
	// runningStep is the smallest change in the number of running requests that
	// is published on its own. The number changes with every request, and a
	// difference of two does not affect the choice of a target.
	runningStep = 3
	// readyStep is the smallest change in the end of a load that is published
	// on its own. Two entries derive that time from messages with different
	// delays, so smaller differences mean nothing.
	readyStep = 30 * time.Millisecond
	// tokensStep is the smallest change in the tokens of a target that is published on
	// its own, about two typical requests.
	tokensStep = 3000
	// speedStep is the smallest change in a target's speed that is published on its
	// own. It is less than the spread of a speed's estimate.
	speedStep = 0.1
)

// sameCounts reports whether an entry that has state need not receive the
// counts of o: WaitingEntries is equal, and Running differs by less than
// minDiff, Tokens by less than tokensStep and Speed by less than speedStep.
func (state *EngineState) sameCounts(o *EngineState, minDiff int) bool {
	diff, tokens := o.Running-state.Running, o.Tokens-state.Tokens

	return state.WaitingEntries == o.WaitingEntries && max(diff, -diff) < minDiff &&
		max(tokens, -tokens) < tokensStep && math.Abs(o.Speed-state.Speed) < speedStep
}

// counts returns the figures that change often.
func (state *EngineState) counts() EngineCounts {
	return EngineCounts{Target: state.Target, Running: state.Running, WaitingEntries: state.WaitingEntries, Tokens: state.Tokens, Speed: state.Speed}
}

func (state *EngineState) setCounts(c EngineCounts) {
	state.Running, state.WaitingEntries, state.Tokens, state.Speed = c.Running, c.WaitingEntries, c.Tokens, c.Speed
}

// sameModels reports whether an entry that has state need not receive the
// models of o.
func (state *EngineState) sameModels(o *EngineState, now time.Time) bool {
	return state.Born == o.Born && state.Sequence == o.Sequence &&
		(sameList(state.Resident, o.Resident) || slices.EqualFunc(state.Resident, o.Resident, func(a, b ResidentModel) bool { return a.similar(b, now) }))
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
