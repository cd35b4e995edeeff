package crash

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Judge decides what crashes targets from what entries have observed. The zero value has
// observed nothing. It is not safe for concurrent use.
//
// A fingerprint is suspected of each death of a target on which a request with it was
// about to write. A run that has begun since on a target that lived on acquits it of the
// deaths before. What is suspected of enough deaths is blocked, and is then taken to
// explain all deaths that it is suspected of (see verdict).
type Judge struct {
	deaths map[Death]*death
	sound  soundRuns
	recent recentRuns
	// blocked are the fingerprints that the deaths here convict, and told those that
	// peers have blocked, with the last death that counts for each.
	blocked, told map[request.Fingerprint]time.Time
	suspects      map[request.Fingerprint]bool
	// confirmed are those of blocked that other entries know nothing against.
	confirmed map[request.Fingerprint]bool
	// convicted and reversed are the changes of blocked that TakeChanges has not returned.
	convicted, reversed []request.Fingerprint
	// account holds the deaths under each fingerprint, and reached what has become due in it and
	// TakeDue has not returned.
	account account
	reached []request.Fingerprint
	// refuted is what was restricted for deaths that are withdrawn or doubted, and that TakeRefuted
	// has not returned.
	refuted []request.Fingerprint
	// recurring maps what crashes targets at times to the last death that counts for it.
	recurring map[request.Fingerprint]time.Time
}

// Testify adds what an entry has observed of a death. What several have observed of the
// same death counts as one.
func (j *Judge) Testify(t Testimony, now time.Time) {
	if len(t.Exposed) == 0 {
		if t.silent() {
			j.Retract(t.Death, t.At, now)
		}

		return
	}

	if later, found := j.splitLater(&t); found {
		j.Testify(later, now)
	}

	d := j.deaths[t.Death]
	if d == nil {
		d = &death{exposed: make(map[request.Fingerprint]time.Time)}
		j.insert(t.Death, d, now)
	}

	d.merge(t, now)
	j.judge(now)
	j.reached = append(j.reached, j.recurrences(t.Exposed, now)...)
}

// Retract removes a death that did not happen, or doubts one that was proved: the target ran at
// the time given. What no death convicts any more is no longer blocked.
func (j *Judge) Retract(d Death, ranAt, now time.Time) {
	death := j.deaths[d]
	if death == nil || !death.refutedBy(ranAt) {
		return
	}

	if death.ended {
		death.doubted = true
	} else {
		delete(j.deaths, d)
		j.refute(death, now)
	}

	j.judge(now)
}

// RecordSound records that a request began to run, or to write, at a time and that its
// target lived on. It returns the fingerprints that are no longer blocked because of it.
func (j *Judge) RecordSound(fps []request.Fingerprint, at, now time.Time) []request.Fingerprint {
	var (
		again   bool
		blocked []request.Fingerprint
	)

	for _, fp := range fps {
		j.sound.add(fp, at, now)

		for _, d := range j.deaths {
			d.acquit(fp, at)
			d.clear(fp, at)
		}

		if !j.lastDeath(fp).IsZero() {
			blocked = append(blocked, fp)
		}

		again = again || j.account.due[fp]
		j.account.clear(fp, at)

		if told, ok := j.told[fp]; ok && at.After(told) {
			delete(j.told, fp)
		}

		again = again || j.suspects[fp] || !j.blocked[fp].IsZero() // Also if it is not confirmed.
	}

	if again {
		j.judge(now)
	}

	return slices.DeleteFunc(blocked, func(fp request.Fingerprint) bool { return !j.lastDeath(fp).IsZero() })
}

// LastSound returns when a request with the fingerprint last ran on a target that lived
// on. It returns false if none is known.
func (j *Judge) LastSound(fp request.Fingerprint, now time.Time) (time.Time, bool) {
	at := j.sound.last(fp, now)

	return at, !at.IsZero()
}

// Block blocks a fingerprint that a peer has found to crash targets. It reports false, and does
// not block it, if a request with it has run soundly since, unless it crashes targets at times.
func (j *Judge) Block(b Block, now time.Time) bool {
	switch {
	case b.Recurring:
		j.blockRecurring(b, now)

		return true
	case b.Restricted:
		return j.restrict(b, now)
	}

	fp, lastDeath := b.Fingerprint, b.LastDeath
	if j.sound.last(fp, now).After(lastDeath) {
		return false
	}

	if j.told == nil || len(j.told) >= maxBlocks {
		j.told = make(map[request.Fingerprint]time.Time)
	}

	j.told[fp] = lastDeath
	j.judge(now)

	return true
}

// Blocked returns the first of the fingerprints that is blocked, and for how much longer.
func (j *Judge) Blocked(fps []request.Fingerprint, now time.Time) (request.Fingerprint, time.Duration, bool) {
	for _, fp := range fps {
		until := j.lastDeath(fp).Add(blockPeriod)
		if now.Before(until) {
			return fp, j.retryAfter(fp, until, now), true
		}
	}

	return 0, 0, false
}

// retryAfter returns after what time a request may be sent again that a fingerprint blocks. A
// block of what many requests share may end soon, by a probe.
func (j *Judge) retryAfter(fp request.Fingerprint, until, now time.Time) time.Duration {
	probed := !fp.Scope().Single() || j.convictedAt(fp).IsZero()
	if probed && !j.recurs(fp, now) && now.Sub(j.lastDeath(fp)) < probation {
		return probedAgain
	}

	return until.Sub(now)
}

// Probe returns the fingerprints that block a request which may run to find out whether they
// are sound. It returns none for any other: one that is convicted or suspected itself would crash
// its target whatever it shares.
func (j *Judge) Probe(fps []request.Fingerprint, now time.Time) []request.Fingerprint {
	var held []request.Fingerprint

	for _, fp := range fps {
		convicted := now.Before(j.convictedAt(fp).Add(blockPeriod))
		restricted := j.isRestricted(fp, now)

		switch {
		case j.recurs(fp, now):
			return nil // Its sound run would not end the block.
		case fp.Scope().Single() && (convicted || j.suspects[fp] && !restricted):
			return nil
		case restricted && now.Sub(j.account.restricted[fp]) < clearance:
			return nil // Its run would not clear it yet.
		case restricted && j.spent(fp, now):
			return nil
		case convicted || restricted:
			held = append(held, fp)
		}
	}

	return held
}

// lastDeath returns the last death for which the fingerprint is blocked or restricted, or zero.
func (j *Judge) lastDeath(fp request.Fingerprint) time.Time {
	return clock.Later(clock.Later(j.convictedAt(fp), j.account.restricted[fp]), j.recurring[fp])
}

// convictedAt returns the last death for which a verdict blocks the fingerprint, or zero. What
// others may share is blocked by the deaths known here only once that is confirmed.
func (j *Judge) convictedAt(fp request.Fingerprint) time.Time {
	own, told := j.blocked[fp], j.told[fp]
	if fp.Scope() != request.ScopePrompt && !j.confirmed[fp] {
		own = time.Time{}
	}

	if told.After(own) {
		return told
	}

	return own
}

// IsSuspect reports whether the request itself is suspected of a death that nothing blocked
// explains, or is blocked. What it shares with others does not make it a suspect: most of
// them are sound.
func (j *Judge) IsSuspect(fps []request.Fingerprint, now time.Time) bool {
	for _, fp := range fps {
		if j.suspects[fp] && fp.Scope().Single() {
			return true
		}
	}

	_, _, blocked := j.Blocked(fps, now)

	return blocked
}

// Blocks returns all that is blocked, here or by peers.
func (j *Judge) Blocks(now time.Time) []Block {
	var out []Block

	for fp := range j.told {
		out = append(out, Block{Fingerprint: fp, LastDeath: j.convictedAt(fp)})
	}

	for fp := range j.blocked {
		if _, told := j.told[fp]; !told && !j.convictedAt(fp).IsZero() {
			out = append(out, Block{Fingerprint: fp, LastDeath: j.convictedAt(fp)})
		}
	}

	for fp, last := range j.account.restricted {
		out = append(out, Block{Fingerprint: fp, LastDeath: last, Restricted: true})
	}

	for fp, last := range j.recurring {
		out = append(out, Block{Fingerprint: fp, LastDeath: last, Recurring: true})
	}

	return slices.DeleteFunc(out, func(b Block) bool { return b.Over(now) })
}

// Confirm makes the conviction of a fingerprint a block.
func (j *Judge) Confirm(fp request.Fingerprint) {
	if j.confirmed == nil {
		j.confirmed = make(map[request.Fingerprint]bool)
	}

	j.confirmed[fp] = true
}

// Conviction returns the block of a fingerprint that the deaths known here convict, and
// these deaths. It returns false if they do not.
func (j *Judge) Conviction(fp request.Fingerprint, now time.Time) (Block, []Death, bool) {
	last, ok := j.blocked[fp]
	if !ok || now.Sub(last) >= blockPeriod {
		return Block{}, nil, false
	}

	var deaths []Death

	for id, d := range j.deaths {
		if _, exposed := d.exposed[fp]; exposed {
			deaths = append(deaths, id)
		}
	}

	return Block{Fingerprint: fp, LastDeath: last}, deaths, true
}

// Idle reports whether nothing is suspected or blocked.
func (j *Judge) Idle() bool {
	return len(j.deaths) == 0 && len(j.told) == 0 && len(j.account.restricted) == 0 && len(j.recurring) == 0
}

// judge weighs all deaths anew.
func (j *Judge) judge(now time.Time) {
	before := j.blocked
	j.blocked, j.suspects = newVerdict(j, now).convict()
	j.keepStanding(before, now)
	j.reached = append(j.reached, j.recount(now)...)

	for fp := range j.blocked {
		if _, old := before[fp]; !old {
			j.convicted = append(j.convicted, fp)
		}
	}

	for fp := range before {
		if _, still := j.blocked[fp]; !still {
			j.reversed = append(j.reversed, fp)
			delete(j.confirmed, fp)
		}
	}
}

// keepStanding keeps the confirmed convictions of what many requests have in common and has
// never run soundly, although something else explains its deaths by now.
//
// Where several things crash the same targets, the deaths of one explain those of the others.
// If their blocks ended, they would crash targets again.
func (j *Judge) keepStanding(before map[request.Fingerprint]time.Time, now time.Time) {
	var all map[request.Fingerprint]*suspicion

	for fp, last := range before {
		_, still := j.blocked[fp]
		if still || !j.confirmed[fp] || fp.Scope() == request.ScopePrompt || !j.sound.last(fp, now).IsZero() {
			continue
		}

		if all == nil {
			v := newVerdict(j, now)
			v.told = nil // Nothing else explains deaths here.
			all = v.suspicions()
		}

		if s := all[fp]; s != nil && s.convicts() {
			j.blocked[fp] = last
		}
	}
}

// TakeChanges returns the fingerprints that the deaths known here have convicted since the
// last call, and those that they no longer convict.
func (j *Judge) TakeChanges() (convicted, reversed []request.Fingerprint) {
	convicted, reversed = j.convicted, j.reversed
	j.convicted, j.reversed = nil, nil

	return convicted, reversed
}

// TakeDue returns the fingerprints whose deaths have reached the number allowed since the last
// call.
func (j *Judge) TakeDue() []request.Fingerprint {
	reached := j.reached
	j.reached = nil

	return reached
}

// Lift ends the block of a fingerprint that a peer has found and does not find any more.
func (j *Judge) Lift(fp request.Fingerprint, now time.Time) {
	if _, told := j.told[fp]; !told {
		return
	}

	delete(j.told, fp)
	j.judge(now)
}
