package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// Query describes one choice of a target.
type Query struct {
	// Affinity is the same for requests that share an adapter or a prompt
	// prefix, so that they prefer the same target.
	Affinity string
	// Exclude lists targets that must not be chosen.
	Exclude []instance.ID
	// Suspect requires a target on which no other suspect runs.
	Suspect bool
	// Tokens is the memory that the request may take on a target; zero means unknown.
	Tokens int
	// Origin is what is known of the software that began the stream. Only targets of that
	// software are chosen.
	Origin origin.Origin
	// Reuse says that the request may be sent on a connection that carried another.
	Reuse bool
	// Entries is the number of entries that route by the same reports. Waiting
	// is the number of requests queued on this entry for the same model.
	Entries, Waiting int
	Now              time.Time
	// crowded is set by Choose if the model's targets are crowded (see memoryShare).
	crowded bool
}

const (
	// sampleSize is the maximum number of targets that are compared for one
	// request, unless none of them accepts it. A larger sample makes the choice
	// slower and hardly better.
	sampleSize = 8
	// defaultTimeToFirstToken, divided by the target's speed, is used until a
	// time to first token of the target is known.
	defaultTimeToFirstToken = 200 * time.Millisecond
	// warmFactor multiplies the time to first token of the target that is
	// assumed to have the prefix cached.
	warmFactor = 0.5
)

// candidate is a target with its estimated time to first token.
type candidate struct {
	target     *Target
	estimateNs float64
}

// Choose returns the candidate with the lowest estimated time to first token,
// or nil if no target accepts the request now. If there are at most sampleSize
// targets, all are candidates. Otherwise the candidates are the rendezvous choice
// of the affinity, if one is set, this entry's subset (see subsetOf) and targets drawn
// at random, some perhaps twice, sampleSize in all, so that entries with the same report
// spread their requests. If none of these accepts the request, Choose returns the first target found that
// does.
//
// targets must come from a Table; Choose does not change it. Choose does not
// allocate.
func Choose(targets []*Target, q *Query) *Target {
	n := len(targets)
	if n == 0 {
		return nil
	}

	q.crowded = crowdedMemory(targets)
	ignoreEjection := ejectedShare(targets, q.Now) > maxEjected

	var (
		best      candidate
		preferred *Target
	)

	if q.Affinity != "" {
		preferred = rendezvousTarget(targets, q.Affinity)
		best = better(best, preferred, q, ignoreEjection, preferred.preferenceWarm(q))
	}

	if n <= sampleSize {
		// The first of equal targets wins. A random start spreads the requests
		// of entries that estimate all targets alike.
		start := rand.IntN(n) //nolint:gosec // No secret.

		for i := range n {
			if t := targets[(start+i)%n]; t != preferred {
				best = better(best, t, q, ignoreEjection, t.preference(q))
			}
		}

		return best.target
	}

	near := subsetOf(targets, q)
	for _, t := range near.members() {
		if t != preferred {
			best = better(best, t, q, ignoreEjection, t.preference(q))
		}
	}

	for range sampleSize - 1 - near.n {
		t := targets[rand.IntN(n)] //nolint:gosec // No secret.
		best = better(best, t, q, ignoreEjection, t.preference(q))
	}

	if best.target == nil {
		best = scan(targets, q, ignoreEjection)
	}

	return best.target
}

// scan returns the first target that accepts the request, starting at a random
// one. Choose calls it only if no sampled candidate accepts the request.
func scan(targets []*Target, q *Query, ignoreEjection bool) candidate {
	n := len(targets)
	start := rand.IntN(n) //nolint:gosec // No secret.

	for i := range n {
		c := better(candidate{}, targets[(start+i)%n], q, ignoreEjection, 1)
		if c.target != nil {
			return c
		}
	}

	return candidate{}
}

// rendezvousTarget returns the rendezvous hash choice among at most sampleSize
// consecutive targets. The index of the first is a hash of the affinity modulo
// the number of targets.
func rendezvousTarget(targets []*Target, affinity string) *Target {
	n := len(targets)
	start := int(instance.Score(affinity, "") % uint64(n)) //nolint:gosec // Below n.

	var (
		best    *Target
		highest uint64
	)

	for i := range min(n, sampleSize) {
		t := targets[(start+i)%n]
		if s := instance.Score(affinity, t.ID); best == nil || s > highest {
			best, highest = t, s
		}
	}

	return best
}

// better returns t as a candidate if it accepts the request and has a lower
// estimate than best, and best otherwise. The estimate is multiplied by factor.
func better(best candidate, t *Target, q *Query, ignoreEjection bool, factor float64) candidate {
	if !t.accepts(q, ignoreEjection) {
		return best
	}

	e := t.estimate(q) * factor
	if best.target == nil || e < best.estimateNs {
		return candidate{target: t, estimateNs: e}
	}

	return best
}

// accepts reports whether the request may be sent to the target now.
func (t *Target) accepts(q *Query, ignoreEjection bool) bool {
	return !excluded(t.ID, q.Exclude) && (!q.Suspect || t.suspects.Load() == 0) && t.Decide(q, ignoreEjection).Reason == Available
}

// ReportAge returns the time since the target's load was last measured.
func (t *Target) ReportAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.reportedAt.Load()))
}

func excluded(id instance.ID, ids []instance.ID) bool {
	return slices.Contains(ids, id)
}

// estimate returns the predicted time to first token in nanoseconds. Targets that are
// balanced by work have estimateWork. For the others it is the time
// observed, converted to an idle target, or a default while none is known,
// multiplied by a factor for the load. The load is what the last report states
// plus what this entry has added since the last new count of running requests,
// counted once for each of up to maxCompetitors entries, and at least this
// entry's requests in flight.
func (t *Target) estimate(q *Query) float64 {
	info := t.info.Load()
	if info.SmallBatch {
		return t.estimateWork(info, q.Entries)
	}

	first := float64(t.firstTokenNs.Load())
	if first == 0 {
		first = float64(defaultTimeToFirstToken) / max(0.1, info.Speed) //nolint:mnd // Guards a division.
	}

	return first * (1 + t.headsAhead(info, q.Entries)/float64(max(1, info.Slots)))
}

// headsAhead returns the load in requests.
func (t *Target) headsAhead(info *TargetInfo, entries int) float64 {
	added := float64(t.inFlight.Load()-t.inFlightAtCount.Load()) * float64(max(1, min(entries, maxCompetitors)))

	return max(float64(t.inFlight.Load()), float64(info.Running+info.Waiting)+added)
}

// Begin counts a request on the target. It returns false and counts nothing if the
// target rests, or if the request is a suspect and the target already has one. Two suspects that
// choose at the same time may both see the target without a suspect; only the
// first may use it.
func (t *Target) Begin(suspect bool) bool {
	if suspect && !t.suspects.CompareAndSwap(0, 1) {
		return false
	}

	if !t.rest.admit(time.Now()) {
		if suspect {
			t.suspects.Add(-1)
		}

		return false
	}

	t.inFlight.Add(1)

	return true
}

// End removes a request that Begin has counted.
func (t *Target) End(suspect bool) {
	t.inFlight.Add(-1)

	if suspect {
		t.suspects.Add(-1)
	}
}

// RecordSuccess records an answer's time to first token and the load on its
// target, and ends the run of consecutive failures. Package dispatch calls it once
// the answer is complete, with the load under which the request was sent. Package
// relay calls it at a stream's first event, and for other answers once the body is
// complete, with the load at that time.
func (t *Target) RecordSuccess(firstToken time.Duration, load int) {
	t.failures.Store(0)
	t.observeFirst(firstToken)

	slots := max(1, t.Info().Slots)
	idle := float64(firstToken) / (1 + float64(load)/float64(slots))

	const gain = 0.2

	old := float64(t.firstTokenNs.Load())
	if old == 0 {
		old = idle
	}

	t.firstTokenNs.Store(int64(old + gain*(idle-old)))
}
