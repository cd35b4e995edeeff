package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Query is one choice of a target.
type Query struct {
	// Affinity keeps requests together that share an adapter or a prefix.
	Affinity string
	// Exclude are targets that must not be chosen again.
	Exclude []instance.ID
	// Suspect asks for a target on which no other suspect runs.
	Suspect bool
	// Entries is how many entries see the same reports, and Waiting how many
	// requests wait here for the same model.
	Entries, Waiting int
	Now              time.Time
}

const (
	// sampleSize is how many targets are compared for one request. With more the
	// decision would get slower and hardly better.
	sampleSize = 8
	// defaultTimeToFirstToken stands in while a target's speed is unknown.
	defaultTimeToFirstToken = 200 * time.Millisecond
	// warmFactor is the part of the first-token time that is left when the
	// target has the prefix cached.
	warmFactor = 0.5
	// maxEjected is the share of a model's targets that may be ejected at a
	// time. Above it failures say more about the requests than the targets.
	maxEjected = 0.5
)

// candidate is a target with its estimate.
type candidate struct {
	target     *Target
	estimateNs float64
}

// Choose returns the target with the least estimated time to first token out
// of a few candidates, or nil when none takes the request now. The first
// candidate is the rendezvous choice of the affinity, if there is one, the others
// are drawn at random, so that entries which see the same report spread out.
//
// targets must come from a Table and is not changed. Choose does not
// allocate.
func Choose(targets []*Target, q *Query) *Target {
	n := len(targets)
	if n == 0 {
		return nil
	}

	ignoreEjection := ejected(targets, q.Now) > maxEjected

	var (
		best candidate
		home *Target
	)

	if q.Affinity != "" {
		home = rendezvousTarget(targets, q.Affinity)
		best = better(best, home, q, ignoreEjection, true)
	}

	if n <= sampleSize {
		// From a random one on: entries that find all alike spread out.
		start := rand.IntN(n) //nolint:gosec // No secret.

		for i := range n {
			if t := targets[(start+i)%n]; t != home {
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

// scan looks at every target, from a random one on, until one takes the
// request. It runs only when all drawn candidates are full.
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

// rendezvousTarget returns the rendezvous choice over at most sample targets, which
// start at a place that depends on the affinity alone.
func rendezvousTarget(targets []*Target, affinity string) *Target {
	n := len(targets)
	start := int(instance.Score(affinity, "") % uint64(n)) //nolint:gosec // Below n.

	var (
		home *Target
		most uint64
	)

	for i := range min(n, sampleSize) {
		t := targets[(start+i)%n]
		if s := instance.Score(affinity, t.ID); home == nil || s > most {
			home, most = t, s
		}
	}

	return home
}

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

// accepts reports whether the target may be given one more request.
func (t *Target) accepts(q *Query, ignoreEjection bool) bool {
	return !excluded(t.ID, q.Exclude) && (!q.Suspect || t.suspects.Load() == 0) && t.availability(q, ignoreEjection) == available
}

// availability is whether a target takes requests, or why not.
type availability int

const (
	available availability = iota
	leaving
	dead
	failing
	full
)

// availability returns whether the target takes requests, whichever they are.
func (t *Target) availability(q *Query, ignoreEjection bool) availability {
	if t.leaving.Load() {
		return leaving
	}

	info := t.info.Load()

	switch {
	case info == nil || info.Down || t.isDead(info):
		return dead
	case !ignoreEjection && t.ejectedUntil.Load() > q.Now.UnixNano():
		return failing
	case t.inFlight.Load() >= t.window(info, q):
		return full
	}

	return available
}

// AnyUsable reports whether any of the targets takes requests, now or once those
// that it has have ended.
func AnyUsable(targets []*Target) bool {
	return slices.ContainsFunc(targets, func(t *Target) bool { return !t.Leaving() && !t.Dead() })
}

// Standing counts the targets that hold a model, and those that take no
// request by the reason.
type Standing struct {
	Holders, Full, Leaving, Dead, Ejected int
}

// Stand says why targets do not take a request.
func Stand(targets []*Target, q *Query) Standing {
	s := Standing{Holders: len(targets)}

	for _, t := range targets {
		switch t.availability(q, false) {
		case leaving:
			s.Leaving++
		case dead:
			s.Dead++
		case failing:
			s.Ejected++
		case full:
			s.Full++
		case available:
		}
	}

	return s
}

// ReportAge returns how old what was published of the target is.
func (t *Target) ReportAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.reportedAt.Load()))
}

func excluded(id instance.ID, ids []instance.ID) bool {
	return slices.Contains(ids, id)
}

// headroom is how far above its slots a target is filled, so that a slot that
// becomes free has a successor at hand.
const headroom = 1.25

// window returns how many requests this entry may have on the target: its
// even share of the slots, and beyond that a part of what the last report
// showed as free. The report lags, and every other entry sees the same one, so
// each assumes that others take their parts too; that keeps them from filling
// the target together.
//
// A target that is full gets no more than shares, and none where there are more
// entries than slots: with one request of each entry, and whatever each had
// before, it would answer nobody in time.
func (t *Target) window(info *TargetInfo, q *Query) int64 {
	entries := max(1, q.Entries)
	slots := int(float64(max(1, info.Slots))*headroom + 0.5)
	free := slots - info.Running - info.Waiting

	share := 0
	if slots >= entries {
		share = (slots + entries - 1) / entries
	}

	if free <= 0 {
		return int64(share)
	}

	return max(int64(share), t.inFlightAtReport.Load()+t.shareOfFree(free, entries, competitors(info, entries, q.Waiting)))
}

// maxCompetitors is how many entries are counted at most that send to the same target
// before the next report, as long as nobody waits here. Between two reports a
// busy target gets requests of a few entries, however many there are.
//
// It answers the load of many entries: if each assumed that all the others take
// their parts of a target's places, it could have one request there at a time,
// and the second would wait before a target that is nearly empty.
const maxCompetitors = 8

// competitors returns how many entries, this one included, are taken to send to the
// target before the next report. Where requests wait here they wait elsewhere as
// well: at as many entries as the report says, or at all if it does not.
//
// It answers the load of many entries and rare models: a single caller of a
// model that has just been loaded would wait for seconds beside an empty target
// if all entries were taken to have callers for it.
func competitors(info *TargetInfo, entries, waiting int) int {
	switch {
	case waiting == 0:
		return min(entries, maxCompetitors)
	case info.Lines > 0:
		return min(entries, max(maxCompetitors, info.Lines))
	default:
		return entries
	}
}

// shareOfFree returns this entry's shareOfFree of a target's free places among its rivals.
// Where there are more entries than that, what is left of the division goes to
// entries by lot, drawn anew with each report.
func (t *Target) shareOfFree(free, entries, among int) int64 {
	if entries <= maxCompetitors {
		return int64(free / entries)
	}

	return int64(float64(free)/float64(among) + math.Float64frombits(t.remainderDraw.Load()))
}

// estimate returns the expected time to first token in nanoseconds: the
// learnt time when idle, stretched by the load that the report and this
// entry's own requests since then amount to.
func (t *Target) estimate(q *Query) float64 {
	info := t.info.Load()

	first := float64(t.firstTokenNs.Load())
	if first == 0 {
		first = float64(defaultTimeToFirstToken) / max(0.1, info.Speed) //nolint:mnd // Guards a division.
	}

	grown := float64(t.inFlight.Load()-t.inFlightAtReport.Load()) * float64(max(1, min(q.Entries, maxCompetitors)))
	load := max(float64(t.inFlight.Load()), float64(info.Running+info.Waiting)+grown)

	return first * (1 + load/float64(max(1, info.Slots)))
}

func ejected(targets []*Target, now time.Time) float64 {
	// Counting a bounded number keeps the decision's time flat.
	const most = 32

	n := min(len(targets), most)
	out := 0

	for _, t := range targets[:n] {
		if t.ejectedUntil.Load() > now.UnixNano() {
			out++
		}
	}

	return float64(out) / float64(n)
}

// Begin counts a request on the target. It reports false, and counts nothing,
// when a suspect would join another: two that choose at the same time both see
// the target without a suspect, and only one of them may have it.
func (t *Target) Begin(suspect bool) bool {
	if suspect && !t.suspects.CompareAndSwap(0, 1) {
		return false
	}

	t.inFlight.Add(1)

	return true
}

// End takes the request off again.
func (t *Target) End(suspect bool) {
	t.inFlight.Add(-1)

	if suspect {
		t.suspects.Add(-1)
	}
}

// Outlier ejection: after failuresToEject failures in a row, for longer each
// time.
const (
	failuresToEject = 3
	ejection        = 2 * time.Second
	maxEjection     = 30 * time.Second
)

// Failed records that a request failed on the target by the target's fault.
// Without it, a target that fails at once would look like the fastest and
// draw the traffic.
func (t *Target) Failed(now time.Time) {
	n := t.failures.Add(1)
	if n < failuresToEject {
		return
	}

	d := min(ejection<<min(n-failuresToEject, 4), maxEjection) //nolint:mnd // At most sixteenfold.
	t.ejectedUntil.Store(now.Add(d).UnixNano())
}

// deathRecord is what was found of a target's incarnation.
type deathRecord struct {
	incarnation string
	at          time.Time
}

// Died records that an incarnation of the target was found dead at now, so
// that nothing is sent to it until it is back. It reports whether that is
// news.
func (t *Target) Died(incarnation string, now time.Time) bool {
	old := t.dead.Load()
	if old != nil && old.incarnation == incarnation && t.Dead() {
		return false
	}

	return t.dead.CompareAndSwap(old, &deathRecord{incarnation: incarnation, at: now})
}

// Dead reports whether the target's present incarnation is known to be dead.
func (t *Target) Dead() bool {
	info := t.info.Load()

	return info != nil && t.isDead(info)
}

// deathOverride is how long after a death was found a report must have been made
// to prove it wrong.
const deathOverride = 500 * time.Millisecond

// isDead reports whether the target's present incarnation was found dead, and
// not heard of since by the cell's holder.
func (t *Target) isDead(info *TargetInfo) bool {
	d := t.dead.Load()
	if d == nil || d.incarnation != info.Incarnation {
		return false
	}

	return t.reportedAt.Load() < d.at.Add(deathOverride).UnixNano()
}

// Succeeded records a whole answer and its time to first token. Only whole
// answers teach the target's speed.
func (t *Target) Succeeded(firstToken time.Duration, load int) {
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
