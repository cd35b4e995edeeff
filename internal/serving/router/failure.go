package router

import "time"

// maxEjected is the share of a model's targets above which ejections are ignored: when
// more targets fail, the requests are the likelier cause.
const maxEjected = 0.5

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
