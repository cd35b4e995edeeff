package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// requestDeaths and partDeaths are the numbers of deaths under one request, and under what
	// many requests share, from which it is restricted.
	requestDeaths = 3
	partDeaths    = 5
	// clearance is how long after a death a run must have begun to show that its request does
	// not crash targets. A target that is crashed may still answer a copy of the request.
	clearance = observation
)

// deathsAllowed returns the number of deaths from which a fingerprint is restricted.
func deathsAllowed(s request.Scope) int {
	if s.Single() {
		return requestDeaths
	}

	return partDeaths
}

// account counts the deaths under each fingerprint since it last ran soundly, whatever the
// verdict says of them. The zero value is empty.
//
// A verdict takes deaths from one suspect to explain them by another, and entries that know of
// different deaths reverse each other's verdicts. The account is only ever lowered by a sound
// run or by time.
type account struct {
	// due are the fingerprints whose deaths have reached the number allowed.
	due map[request.Fingerprint]bool
	// restricted maps what runs only by permission to the last death that counts for it.
	restricted map[request.Fingerprint]time.Time
	// since maps it to when it became so.
	since map[request.Fingerprint]time.Time
}

// clear records that what has the fingerprint ran soundly at a time.
func (d *death) clear(fp request.Fingerprint, at time.Time) {
	if _, exposed := d.exposed[fp]; !exposed || at.Sub(d.until) < clearance {
		return
	}

	if d.cleared == nil {
		d.cleared = make(map[request.Fingerprint]bool)
	}

	d.cleared[fp] = true
}

// countsFor reports whether the death counts for a fingerprint that last ran soundly at a time.
func (d *death) countsFor(fp request.Fingerprint, sound time.Time) bool {
	sent, exposed := d.exposed[fp]

	return exposed && !sent.After(d.until) && !d.cleared[fp] && sound.Sub(d.until) < clearance
}

// tally is the number of deaths that count for a fingerprint, and the last of them.
type tally struct {
	deaths int
	last   time.Time
}

// tallyOf counts the deaths under a fingerprint since it last ran soundly, and returns them.
func (j *Judge) tallyOf(fp request.Fingerprint, now time.Time) (tally, []Death) {
	var (
		out    tally
		deaths []Death
	)

	sound := j.sound.last(fp, now)

	for id, d := range j.deaths {
		if now.Sub(d.at) > retention || !d.countsFor(fp, sound) {
			continue
		}

		out.deaths++
		deaths = append(deaths, id)

		if d.until.After(out.last) {
			out.last = d.until
		}
	}

	return out, deaths
}

// recount finds the fingerprints whose deaths have reached the number allowed, and returns those
// that had not before. Most are of requests that ran beside others on one target that ended.
func (j *Judge) recount(now time.Time) []request.Fingerprint {
	exposures := make(map[request.Fingerprint]int)

	for _, d := range j.deaths {
		for fp := range d.exposed {
			exposures[fp]++
		}
	}

	tallies := make(map[request.Fingerprint]tally)

	for fp, n := range exposures {
		if n >= deathsAllowed(fp.Scope()) {
			tallies[fp], _ = j.tallyOf(fp, now)
		}
	}

	return j.account.update(tallies)
}

// update replaces what is due. It returns the fingerprints that were not due before.
func (a *account) update(tallies map[request.Fingerprint]tally) []request.Fingerprint {
	var reached []request.Fingerprint

	due := make(map[request.Fingerprint]bool)

	for fp, t := range tallies {
		if t.deaths < deathsAllowed(fp.Scope()) {
			continue
		}

		due[fp] = true

		if !a.due[fp] {
			reached = append(reached, fp)
		}

		if last, restricted := a.restricted[fp]; restricted && t.last.After(last) {
			a.restricted[fp] = t.last
		}
	}

	a.due = due

	return reached
}

// restrict makes a fingerprint run only by permission.
func (a *account) restrict(fp request.Fingerprint, lastDeath, now time.Time) {
	if a.restricted == nil {
		a.restricted = make(map[request.Fingerprint]time.Time)
	}

	forgetOver(a.restricted, now)

	if last, restricted := a.restricted[fp]; !restricted || now.Sub(last) >= blockPeriod {
		if a.since == nil || len(a.since) >= maxBlocks {
			a.since = make(map[request.Fingerprint]time.Time)
		}

		a.since[fp] = now
	}

	if lastDeath.After(a.restricted[fp]) {
		a.restricted[fp] = lastDeath
	}
}

// clear ends the restriction of what ran soundly at a time.
func (a *account) clear(fp request.Fingerprint, at time.Time) {
	if last, restricted := a.restricted[fp]; restricted && at.Sub(last) >= clearance {
		delete(a.restricted, fp)
		delete(a.since, fp)
	}
}

// Due is a restriction that is due, unless the fingerprint was on the targets by chance.
type Due struct {
	Block

	Deaths   []Death
	Evidence Evidence
}

// Due returns the restriction of a fingerprint whose deaths have reached the number allowed. It returns
// false if a sound run has cleared it.
func (j *Judge) Due(fp request.Fingerprint, now time.Time) (Due, bool) {
	if !j.account.due[fp] {
		return Due{}, false
	}

	t, deaths := j.tallyOf(fp, now)
	if t.deaths < deathsAllowed(fp.Scope()) {
		return Due{}, false
	}

	b := Block{Fingerprint: fp, LastDeath: t.last, Restricted: true}

	return Due{Block: b, Deaths: deaths, Evidence: j.evidence(j.newest(deaths, deathsAllowed(fp.Scope())))}, true
}

// restrict restricts a fingerprint that is due, here or at a peer. It reports false, and does not
// restrict it, if a request with it has run soundly since.
func (j *Judge) restrict(b Block, now time.Time) bool {
	if j.sound.last(b.Fingerprint, now).Sub(b.LastDeath) >= clearance {
		return false
	}

	j.account.restrict(b.Fingerprint, b.LastDeath, now)

	return true
}

// CountSound counts a sound run of this entry that RecordSound has recorded.
func (j *Judge) CountSound(model string, fps []request.Fingerprint, began, now time.Time) {
	j.recent.add(model, fps, began, now)
}

// SoundSince returns how many sound runs of this entry began after a time, by their models.
func (j *Judge) SoundSince(fp request.Fingerprint, at, now time.Time) map[string]SoundRuns {
	return j.recent.since(fp, at, now)
}

// isRestricted reports whether requests with the fingerprint run only by permission.
func (j *Judge) isRestricted(fp request.Fingerprint, now time.Time) bool {
	return isInForce(j.account.restricted, fp, now)
}
