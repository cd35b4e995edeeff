package crash

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Recurrence is a block that is due of what crashes targets at times and runs soundly at others, unless
// it was on the targets by chance.
type Recurrence struct {
	Block

	Targets []instance.ID
	// OfAny is the evidence of all requests on the targets that ended, and OfLast that of the last that
	// was sent to each: what crashes a target has often just begun to run there.
	OfAny, OfLast Evidence
	// Rivals are what else many requests share and was on all of the targets.
	Rivals []request.Fingerprint
}

// Recurrence returns the block of a fingerprint that many requests share and under which as many targets
// as are allowed have ended, one after the other, whatever has run soundly between. It returns false if
// fewer have ended so, or if it is blocked so already.
//
// Targets that end together, as a rack does, count as one: what many requests share is on all of them.
func (j *Judge) Recurrence(fp request.Fingerprint, now time.Time) (Recurrence, bool) {
	if fp.Scope().Single() || j.recurs(fp, now) {
		return Recurrence{}, false
	}

	turns := j.inTurn(fp, now)
	if len(turns) < deathsAllowed(fp.Scope()) {
		return Recurrence{}, false
	}

	e := j.evidence(turns)
	e.All = len(turns) + j.countedWithout(fp, e.Since)

	last := j.deaths[turns[len(turns)-1]].until
	out := Recurrence{Block: Block{Fingerprint: fp, LastDeath: last, Recurring: true}, OfAny: e, OfLast: Evidence{Since: e.Since, All: e.All, Requests: 1}}

	out.Rivals = j.onAll(turns, fp)

	for _, id := range turns {
		out.Targets = append(out.Targets, id.Target)

		if j.deaths[id].isLast(fp) {
			out.OfLast.Under++
		}
	}

	return out, true
}

// Conclusive reports whether what has the fingerprint crashes targets, by the sound runs of its model since
// the first of them ended.
func (r Recurrence) Conclusive(since SoundRuns) bool {
	return since.With > 0 && max(r.OfAny.weight(since), r.OfLast.weight(since)) >= conclusive
}

// countedWithout returns the number of targets that have ended since a time without a fingerprint.
func (j *Judge) countedWithout(fp request.Fingerprint, since time.Time) int {
	n := 0

	for _, d := range j.deaths {
		if _, exposed := d.exposed[fp]; !exposed && d.counts() && !d.until.Before(since) {
			n++
		}
	}

	return n
}

// IsInner reports whether one part of prompts is known to come after another one, by the last sound runs of
// this entry: fingerprints are the narrowest first.
func (j *Judge) IsInner(part, outer request.Fingerprint) bool {
	for _, run := range j.recent {
		if i := slices.Index(run.fingerprints, part); i >= 0 && slices.Contains(run.fingerprints[i:], outer) {
			return true
		}
	}

	return false
}

// onAll returns what else many requests share and was on all of the targets that ended.
func (j *Judge) onAll(deaths []Death, besides request.Fingerprint) []request.Fingerprint {
	var out []request.Fingerprint

	for fp := range j.deaths[deaths[0]].exposed {
		missing := func(id Death) bool {
			_, exposed := j.deaths[id].exposed[fp]

			return !exposed
		}

		if fp != besides && !fp.Scope().Single() && !slices.ContainsFunc(deaths, missing) {
			out = append(out, fp)
		}
	}

	return out
}

// recursBesides reports whether something else that crashes targets at times was on the target.
func (j *Judge) recursBesides(d *death, fp request.Fingerprint, now time.Time) bool {
	for other := range j.recurring {
		if _, exposed := d.exposed[other]; exposed && other != fp && j.recurs(other, now) {
			return true
		}
	}

	return false
}

// counts reports whether the target is known to have ended.
func (d *death) counts() bool { return d.ended && !d.doubted }

// inTurn returns the deaths under a fingerprint in the last recentPeriod that came one after the other:
// a request with it was sent to the next target when the one before had ended. Something else that
// crashes targets at times explains its own.
func (j *Judge) inTurn(fp request.Fingerprint, now time.Time) []Death {
	var all, out []Death

	for id, d := range j.deaths {
		sent, exposed := d.exposed[fp]
		if exposed && d.counts() && !sent.After(d.until) && now.Sub(d.until) <= recentPeriod && !j.recursBesides(d, fp, now) {
			all = append(all, id)
		}
	}

	slices.SortFunc(all, func(a, b Death) int { return j.deaths[a].until.Compare(j.deaths[b].until) })

	var last time.Time

	for _, id := range all {
		if d := j.deaths[id]; !d.exposed[fp].Before(last) {
			out = append(out, id)
			last = d.until
		}
	}

	return out
}

// isLast reports whether no request was sent to the target after the first with a fingerprint.
func (d *death) isLast(fp request.Fingerprint) bool {
	for other, sent := range d.exposed {
		if other.Scope() == request.ScopePrompt && sent.After(d.exposed[fp]) && !sent.After(d.until) {
			return false
		}
	}

	return true
}

// recurrences returns those of the fingerprints whose recurrence is due.
func (j *Judge) recurrences(fps map[request.Fingerprint]time.Time, now time.Time) []request.Fingerprint {
	var out []request.Fingerprint

	for fp := range fps {
		if _, due := j.Recurrence(fp, now); due {
			out = append(out, fp)
		}
	}

	return out
}

// recurs reports whether a fingerprint is blocked since it crashes targets at times.
func (j *Judge) recurs(fp request.Fingerprint, now time.Time) bool {
	return isInForce(j.recurring, fp, now)
}

// blockRecurring blocks what crashes targets at times. No sound run ends the block.
func (j *Judge) blockRecurring(b Block, now time.Time) {
	if j.recurring == nil {
		j.recurring = make(map[request.Fingerprint]time.Time)
	}

	forgetOver(j.recurring, now)

	if b.LastDeath.After(j.recurring[b.Fingerprint]) {
		j.recurring[b.Fingerprint] = b.LastDeath
	}
}
