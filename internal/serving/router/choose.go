package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
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
	// Entries is the number of entries that route by the same reports. Waiting
	// is the number of requests queued on this entry for the same model.
	Entries, Waiting int
	Now              time.Time
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
	// maxEjected is the share of a model's targets above which ejections are
	// ignored: when more targets fail, the requests are the likelier cause.
	maxEjected = 0.5
)

// candidate is a target with its estimated time to first token.
type candidate struct {
	target     *Target
	estimateNs float64
}

// Choose returns the candidate with the lowest estimated time to first token,
// or nil if no target accepts the request now. If there are at most sampleSize
// targets, all are candidates. Otherwise the candidates are the rendezvous choice
// of the affinity, if one is set, and sampleSize-1 targets drawn at random, some
// perhaps twice, so that entries with the same report spread their requests. If
// none of these accepts the request, Choose returns the first target found that
// does.
//
// targets must come from a Table; Choose does not change it. Choose does not
// allocate.
func Choose(targets []*Target, q *Query) *Target {
	n := len(targets)
	if n == 0 {
		return nil
	}

	ignoreEjection := ejectedShare(targets, q.Now) > maxEjected

	var (
		best      candidate
		preferred *Target
	)

	if q.Affinity != "" {
		preferred = rendezvousTarget(targets, q.Affinity)
		best = better(best, preferred, q, ignoreEjection, true)
	}

	if n <= sampleSize {
		// The first of equal targets wins. A random start spreads the requests
		// of entries that estimate all targets alike.
		start := rand.IntN(n) //nolint:gosec // No secret.

		for i := range n {
			if t := targets[(start+i)%n]; t != preferred {
				best = better(best, t, q, ignoreEjection, false)
			}
		}

		return best.target
	}

	for range sampleSize - 1 {
		best = better(best, targets[rand.IntN(n)], q, ignoreEjection, false) //nolint:gosec // No secret.
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
		c := better(candidate{}, targets[(start+i)%n], q, ignoreEjection, false)
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
// estimate than best, and best otherwise. warm says that t is assumed to have
// the prefix cached, because it is the rendezvous choice.
func better(best candidate, t *Target, q *Query, ignoreEjection, warm bool) candidate {
	if !t.accepts(q, ignoreEjection) {
		return best
	}

	e := t.estimate(q)
	if warm {
		e *= warmFactor
	}

	if best.target == nil || e < best.estimateNs {
		return candidate{target: t, estimateNs: e}
	}

	return best
}

// accepts reports whether the request may be sent to the target now.
func (t *Target) accepts(q *Query, ignoreEjection bool) bool {
	return !excluded(t.ID, q.Exclude) && (!q.Suspect || t.suspects.Load() == 0) && t.availability(q, ignoreEjection) == available
}

// availability says whether a target accepts requests, or why not.
type availability int

const (
	available availability = iota
	leaving
	dead
	ejected
	paused
	full
)

// availability returns whether the target accepts requests, regardless of the
// query's exclusions and of suspects.
func (t *Target) availability(q *Query, ignoreEjection bool) availability {
	if t.leaving.Load() {
		return leaving
	}

	info := t.info.Load()

	switch {
	case info == nil || info.Down || t.isDead(info):
		return dead
	case !ignoreEjection && t.ejectedUntil.Load() > q.Now.UnixNano():
		return ejected
	case t.pausedUntil.Load() > q.Now.UnixNano():
		return paused
	case t.inFlight.Load() >= t.window(info, q):
		return full
	}

	return available
}

// AnyUsable reports whether any of the targets is neither leaving nor recorded as
// dead. Full, ejected and unreachable (Down) targets, and those without a report,
// count as usable.
func AnyUsable(targets []*Target) bool {
	return slices.ContainsFunc(targets, func(t *Target) bool { return !t.Leaving() && !t.Dead() })
}

// StateCounts counts the targets that hold a model and those of them that accept
// no request. Each of the latter is counted once, by the first that applies of
// Leaving, Dead, Ejected, Paused and Full. Dead includes unreachable (Down) targets and
// those without a report.
type StateCounts struct {
	Targets, Full, Leaving, Dead, Ejected, Paused int
}

// CountStates counts the targets by their state.
func CountStates(targets []*Target, q *Query) StateCounts {
	s := StateCounts{Targets: len(targets)}

	for _, t := range targets {
		switch t.availability(q, false) {
		case leaving:
			s.Leaving++
		case dead:
			s.Dead++
		case ejected:
			s.Ejected++
		case paused:
			s.Paused++
		case full:
			s.Full++
		case available:
		}
	}

	return s
}

// ReportAge returns the time since the target's load was last measured.
func (t *Target) ReportAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.reportedAt.Load()))
}

func excluded(id instance.ID, ids []instance.ID) bool {
	return slices.Contains(ids, id)
}

// headroom is the factor by which requests on a target may exceed its slots, so
// that a request is already queued there when a slot becomes free.
const headroom = 1.25

// window returns how many requests this entry may have on the target: an even
// share of the slots, or what it had when the last new count of running requests
// was applied plus a share of the slots that are free by the last report,
// whichever is more. headroom is included in the slots. The report lags, and all
// entries route by the same one. Each entry therefore assumes that others use
// their shares too; otherwise they would overfill the target together.
//
// On a full target an entry may have only its even share, which is zero if there
// are more entries than slots. With one request from every entry, on top of those
// already there, the target would answer no request in time.
func (t *Target) window(info *TargetInfo, q *Query) int64 {
	entries := max(1, q.Entries)
	slots := int(float64(max(1, info.Slots))*headroom + 0.5)
	free := slots - info.Running - info.Waiting

	evenShare := 0
	if slots >= entries {
		evenShare = (slots + entries - 1) / entries
	}

	if free <= 0 {
		return int64(evenShare)
	}

	return max(int64(evenShare), t.inFlightAtCount.Load()+t.shareOfFree(free, entries, competitors(info, entries, q.Waiting)))
}

// maxCompetitors is the number of entries that are assumed to send to the same
// target before the next report while no request is queued on this entry, unless
// there are fewer entries. Between two reports a busy target gets requests from a
// few entries, however many entries there are. If requests are queued here and
// the report states how many entries have queued requests, maxCompetitors is the
// lower bound of that number.
//
// If each of many entries assumed that all others use their shares of a target's
// slots, it could have one request there at a time, and a second request would
// wait although the target is nearly empty.
const maxCompetitors = 8

// competitors returns how many entries, including this one, are assumed to send
// to the target before the next report. If requests are queued here, they are
// assumed to be queued on other entries as well: on as many as the report states
// but at least maxCompetitors, or on all entries if the report states none. There
// are never more competitors than entries.
//
// Without the reported number, a single client of a rare model on a site with
// many entries would wait for seconds although the freshly loaded target is
// empty, because every entry would be assumed to have queued requests for it.
func competitors(info *TargetInfo, entries, waiting int) int {
	switch {
	case waiting == 0:
		return min(entries, maxCompetitors)
	case info.WaitingEntries > 0:
		return min(entries, max(maxCompetitors, info.WaitingEntries))
	default:
		return entries
	}
}

// shareOfFree returns this entry's share of a target's free slots, for which
// competing entries compete. With at most maxCompetitors entries, the slots are
// divided by entries and rounded down. With more, they are divided by competing,
// and the share is rounded up or down by a random number that is drawn with each
// new count of running requests, so that chance distributes the remainder of the
// division.
func (t *Target) shareOfFree(free, entries, competing int) int64 {
	if entries <= maxCompetitors {
		return int64(free / entries)
	}

	return int64(float64(free)/float64(competing) + math.Float64frombits(t.remainderDraw.Load()))
}

// estimate returns the predicted time to first token in nanoseconds: the time
// observed, converted to an idle target, or a default while none is known,
// multiplied by a factor for the load. The load is what the last report states
// plus what this entry has added since the last new count of running requests,
// counted once for each of up to maxCompetitors entries, and at least this
// entry's requests in flight.
func (t *Target) estimate(q *Query) float64 {
	info := t.info.Load()

	first := float64(t.firstTokenNs.Load())
	if first == 0 {
		first = float64(defaultTimeToFirstToken) / max(0.1, info.Speed) //nolint:mnd // Guards a division.
	}

	added := float64(t.inFlight.Load()-t.inFlightAtCount.Load()) * float64(max(1, min(q.Entries, maxCompetitors)))
	load := max(float64(t.inFlight.Load()), float64(info.Running+info.Waiting)+added)

	return first * (1 + load/float64(max(1, info.Slots)))
}

// ejectedShare returns the share of the targets that are ejected. It counts only
// the first maxCounted.
func ejectedShare(targets []*Target, now time.Time) float64 {
	// The limit keeps the time of a choice independent of the number of targets.
	const maxCounted = 32

	n := min(len(targets), maxCounted)
	count := 0

	for _, t := range targets[:n] {
		if t.ejectedUntil.Load() > now.UnixNano() {
			count++
		}
	}

	return float64(count) / float64(n)
}

// Begin counts a request on the target. It returns false and counts nothing if
// the request is a suspect and the target already has one. Two suspects that
// choose at the same time may both see the target without a suspect; only the
// first may use it.
func (t *Target) Begin(suspect bool) bool {
	if suspect && !t.suspects.CompareAndSwap(0, 1) {
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

// Outlier ejection: after failuresToEject consecutive failures a target is
// ejected, and for twice as long after each further one, up to maxEjection.
const (
	failuresToEject = 3
	ejection        = 2 * time.Second
	maxEjection     = 30 * time.Second
)

// RecordFailure records that a request failed through the target's fault, and
// ejects the target after failuresToEject consecutive failures. Without ejection,
// a target that fails every request immediately would look like the fastest one
// and attract traffic.
func (t *Target) RecordFailure(now time.Time) {
	n := t.failures.Add(1)
	if n < failuresToEject {
		return
	}

	d := min(ejection<<min(n-failuresToEject, 4), maxEjection) //nolint:mnd // At most sixteenfold.
	t.ejectedUntil.Store(now.Add(d).UnixNano())
}

// deathRecord states which incarnation of a target was found dead, and when.
type deathRecord struct {
	incarnation string
	at          time.Time
}

// MarkDead records that an incarnation of the target was found dead at now. The
// target is not chosen until a new incarnation, or a report of this one made at
// least deathOverride later, is published. MarkDead returns false if the death is
// already recorded and no such report has been published, or if another call
// records a death at the same time.
func (t *Target) MarkDead(incarnation string, now time.Time) bool {
	old := t.dead.Load()
	if old != nil && old.incarnation == incarnation && t.Dead() {
		return false
	}

	return t.dead.CompareAndSwap(old, &deathRecord{incarnation: incarnation, at: now})
}

// Dead reports whether the target's present incarnation is recorded as dead. It
// returns false if there is no report of the target.
func (t *Target) Dead() bool {
	info := t.info.Load()

	return info != nil && t.isDead(info)
}

// deathOverride is the least time after a recorded death at which a report of the
// same incarnation must have been made to count as proof that the target is
// alive.
const deathOverride = 500 * time.Millisecond

// isDead reports whether the incarnation in info is recorded as dead and the
// last published report was made less than deathOverride after the recorded
// death, or before it.
func (t *Target) isDead(info *TargetInfo) bool {
	d := t.dead.Load()
	if d == nil || d.incarnation != info.Incarnation {
		return false
	}

	return t.reportedAt.Load() < d.at.Add(deathOverride).UnixNano()
}

// RecordSuccess records an answer's time to first token and the load on its
// target, and ends the run of consecutive failures. Package dispatch calls it once
// the answer is complete, with the load under which the request was sent. Package
// relay calls it at a stream's first event, and for other answers once the body is
// complete, with the load at that time.
func (t *Target) RecordSuccess(firstToken time.Duration, load int) {
	t.failures.Store(0)

	slots := max(1, t.Info().Slots)
	idle := float64(firstToken) / (1 + float64(load)/float64(slots))

	const gain = 0.2

	old := float64(t.firstTokenNs.Load())
	if old == 0 {
		old = idle
	}

	t.firstTokenNs.Store(int64(old + gain*(idle-old)))
}
