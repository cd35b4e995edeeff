package router

import (
	"math"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// connectedFactor multiplies the estimate of a target to which this entry keeps an
	// idle connection. It is less than the difference that two running requests make on a
	// half full target with 12 slots, so that load comes before reuse.
	connectedFactor = 0.85
	// subsetSize is the number of a model's targets that are candidates in each choice of
	// an entry. Two of them may fail or be full, and the entry still prefers the third.
	subsetSize = 3
	// minSpreadEntries is the number of entries from which on each prefers targets of its
	// own. Fewer entries send to each target often enough to reuse connections, and
	// assume of each other what they send.
	minSpreadEntries = maxCompetitors + 1
	// maxRanked is the number of targets that the subset is chosen from, which bounds the
	// time of a choice.
	maxRanked = 64
	// spreadExponent says how much estimates matter in the choice of entries with the same
	// snapshot: they choose a target with a probability that is inversely proportional to
	// its estimate to this power. With 87 entries that all chose the lowest estimate, the
	// fastest target would get 25 requests before the next snapshot.
	spreadExponent = 1.5
	// preferredSpread is the spread of the target that is assumed to have the prefix
	// cached. Most spreads are larger.
	preferredSpread = 0.5
)

// connections is what a choice considers of this entry's connections to a target.
type connections struct {
	// idle is the number of this entry's idle connections.
	idle atomic.Int64
	// rank is the rendezvous hash of this entry and the target. Zero means that the
	// entry is unknown. spread multiplies the target's estimate; it depends on rank.
	rank   uint64
	spread float64
}

// AddIdle changes the number of this entry's idle connections to the target.
func (c *connections) AddIdle(n int) { c.idle.Add(int64(n)) }

// newConnections returns the state of a target of an entry. An unknown entry, which is
// empty, has no preference; otherwise all such entries would prefer the same targets.
func newConnections(self, target instance.ID) connections {
	if self == "" {
		return connections{spread: 1}
	}

	rank := instance.Score(string(self), target)

	// This is weighted rendezvous hashing: the logarithm of a random number is
	// distributed as the time until an event, and the first of several events is of a
	// target with a probability proportional to its rate.
	u := (float64(rank) + 1) / (math.MaxUint64 + 1)

	return connections{rank: rank, spread: math.Pow(-math.Log(u), 1.0/spreadExponent)}
}

// subset is the part of a model's targets that this entry prefers. The zero value is
// empty.
type subset struct {
	targets [subsetSize]*Target
	n       int
}

// subsetOf returns the targets with the highest rendezvous hashes of this entry, or none
// if this entry has no preferences.
//
// With many entries, a pair of entry and target would otherwise be used so rarely that
// nearly every request opens a connection.
func subsetOf(targets []*Target, q *Query) subset {
	var s subset

	if q.Entries < minSpreadEntries || targets[0].rank == 0 || !targets[0].smallBatch() {
		return s
	}

	for _, t := range targets[:min(len(targets), maxRanked)] {
		i := s.n
		for i > 0 && t.rank > s.targets[i-1].rank {
			i--
		}

		if i == subsetSize {
			continue
		}

		s.n = min(s.n+1, subsetSize)
		copy(s.targets[i+1:s.n], s.targets[i:])
		s.targets[i] = t
	}

	return s
}

// members returns the targets of the subset.
func (s *subset) members() []*Target { return s.targets[:s.n] }

// preference returns the factor by which the target's estimate is multiplied.
func (t *Target) preference(q *Query) float64 {
	if !t.smallBatch() {
		return 1
	}

	factor := 1.0
	if q.Entries >= minSpreadEntries {
		factor = t.spread
	}

	if q.Reuse && t.idle.Load() > 0 {
		factor *= connectedFactor
	}

	return factor
}

// preferenceWarm is preference for the target that is assumed to have the prefix cached.
func (t *Target) preferenceWarm(q *Query) float64 {
	if q.Entries >= minSpreadEntries && t.smallBatch() {
		return warmFactor * min(preferredSpread, t.spread)
	}

	return warmFactor
}

func (t *Target) smallBatch() bool {
	info := t.info.Load()

	return info != nil && info.SmallBatch
}
