package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// death is what is known of one death.
type death struct {
	// at is when the target was last known to run, and until when it had ended.
	at, until time.Time
	// ended says that it is known to have ended. It is only silent otherwise.
	ended bool
	// doubted says that the target was heard of since it had ended. That may have been its next
	// process, so that the death still counts in the account, but not for a verdict.
	doubted bool
	// openedAt is when a target that is only silent was first found to open connections again, zero
	// if it was not or opened none since, and askedAt when it was last asked.
	openedAt, askedAt time.Time
	// exposed maps what may have crashed it to when it was sent there.
	exposed map[request.Fingerprint]time.Time
	// acquitted is what ran soundly since. It outlasts the memory of the sound run, as the
	// death does.
	acquitted map[request.Fingerprint]bool
	// cleared is what began to run soundly later than clearance after the death.
	cleared map[request.Fingerprint]bool
}

// mayBeCausedBy reports whether what has the fingerprint was sent before the target had ended,
// and has not run soundly since.
// Entries may send to a target that another process has replaced, or that others know to have
// ended.
func (d *death) mayBeCausedBy(fp request.Fingerprint) bool {
	return !d.acquitted[fp] && !d.exposed[fp].After(d.until)
}

// endAfter returns when the target is taken to have ended at the earliest if what has the
// fingerprint crashed it: after that was sent.
func (d *death) endAfter(fp request.Fingerprint) time.Time {
	if sent := d.exposed[fp]; sent.After(d.at) {
		return sent
	}

	return d.at
}

// acquit records that what has the fingerprint ran soundly at a time.
func (d *death) acquit(fp request.Fingerprint, at time.Time) {
	if _, exposed := d.exposed[fp]; !exposed || d.endAfter(fp).After(at) {
		return
	}

	if d.acquitted == nil {
		d.acquitted = make(map[request.Fingerprint]bool)
	}

	d.acquitted[fp] = true
}

// refutedBy reports whether a target that ran at a time had not ended.
func (d *death) refutedBy(ranAt time.Time) bool {
	if d.ended {
		return ranAt.After(d.until.Add(observation))
	}

	return ranAt.After(d.until.Add(-QuietAfter))
}

// merge adds what an entry has observed by now.
func (d *death) merge(t Testimony, now time.Time) {
	var first time.Time

	if t.silent() {
		t.Until = now
	} else {
		d.ended = true
	}

	d.doubted = false

	for fp, sent := range t.Exposed {
		if first.IsZero() || sent.Before(first) {
			first = sent
		}

		if known, ok := d.exposed[fp]; ok && known.Before(sent) || !ok && len(d.exposed) >= maxExposures {
			continue
		}

		d.exposed[fp] = sent
	}

	// What crashed the target was sent before it ended.
	at := t.At
	if at.IsZero() {
		at = first
	}

	if d.until.IsZero() || t.Until.Before(d.until) {
		d.until = t.Until
	}

	if at.After(d.at) {
		d.at = at
	}

	if d.at.After(d.until) {
		d.at = d.until
	}
}

// splitLater returns what was sent so late after a process had ended that another process under
// its id must have run it, of which the entry that testifies has not heard yet. It stays in t
// otherwise.
func (j *Judge) splitLater(t *Testimony) (later Testimony, found bool) {
	known := j.deaths[t.Death]
	if known == nil || !known.ended {
		return Testimony{}, false
	}

	later = *t
	later.Incarnation += laterProcess
	later.Exposed = make(map[request.Fingerprint]time.Time)
	same := make(map[request.Fingerprint]time.Time, len(t.Exposed))

	for fp, sent := range t.Exposed {
		if sent.Sub(known.until) > observation {
			later.Exposed[fp] = sent
		} else {
			same[fp] = sent
		}
	}

	t.Exposed = same

	return later, len(later.Exposed) > 0
}

// laterProcess is added to the incarnation of a process for the next one under its id.
const laterProcess = "+"

// insert adds a death and forgets those that are too old, or the oldest if there are too
// many.
func (j *Judge) insert(id Death, d *death, now time.Time) {
	if j.deaths == nil {
		j.deaths = make(map[Death]*death)
	}

	var oldest Death

	for other, known := range j.deaths {
		if now.Sub(known.at) > retention {
			delete(j.deaths, other)

			continue
		}

		if o := j.deaths[oldest]; o == nil || known.at.Before(o.at) {
			oldest = other
		}
	}

	if len(j.deaths) >= maxDeaths {
		delete(j.deaths, oldest)
	}

	j.deaths[id] = d
}
