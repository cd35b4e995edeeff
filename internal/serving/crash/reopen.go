package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// silentAgain is the time after which a silent target is asked again whether it opens connections,
	// and reopenedFor for how long it must do so until its death is doubted. Its next process would
	// have written its row by then.
	silentAgain = 250 * time.Millisecond
	reopenedFor = 750 * time.Millisecond
)

// Silent returns the processes that are silent and not known to have ended, each once in silentAgain.
func (j *Judge) Silent(now time.Time) []Death {
	var out []Death

	for id, d := range j.deaths {
		if d.ended || d.doubted || now.Sub(d.askedAt) < silentAgain {
			continue
		}

		d.askedAt = now
		out = append(out, id)
	}

	return out
}

// Reopen records whether a silent process's target opens connections. One that has for a while is
// doubted to have ended, since its next process would be known by then: its death counts in the
// account, but not for a verdict.
func (j *Judge) Reopen(id Death, opens bool, now time.Time) {
	d := j.deaths[id]

	switch {
	case d == nil || d.ended || d.doubted:
	case !opens:
		d.openedAt = time.Time{}
	case d.openedAt.IsZero():
		d.openedAt = now
	case now.Sub(d.openedAt) >= reopenedFor:
		d.doubted = true

		j.refute(d, now)
		j.judge(now)
	}
}

// refute records what is restricted although too few targets are known to have ended under it, since
// a target on which it ran is not known to have ended either.
func (j *Judge) refute(d *death, now time.Time) {
	for fp := range d.exposed {
		if j.isRestricted(fp, now) && j.endedUnder(fp) < deathsAllowed(fp.Scope()) {
			j.refuted = append(j.refuted, fp)
		}
	}
}

// endedUnder returns the number of targets that are known to have ended under a fingerprint.
func (j *Judge) endedUnder(fp request.Fingerprint) int {
	n := 0

	for _, d := range j.deaths {
		if _, exposed := d.exposed[fp]; exposed && d.ended && !d.cleared[fp] {
			n++
		}
	}

	return n
}

// TakeRefuted returns, once each, the fingerprints that are restricted for deaths which are withdrawn or
// doubted.
func (j *Judge) TakeRefuted() []request.Fingerprint {
	refuted := j.refuted
	j.refuted = nil

	return refuted
}

// End records that a process which was only silent has ended.
func (j *Judge) End(id Death, now time.Time) {
	if d := j.deaths[id]; d != nil && !d.ended {
		d.ended, d.doubted = true, false

		j.judge(now)
	}
}
