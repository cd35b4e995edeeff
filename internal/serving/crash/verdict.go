package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// verdict weighs the deaths that a judge knows.
type verdict struct {
	now time.Time
	// deaths are those that nothing convicted explains yet.
	deaths []*death
	sound  *soundRuns
	// told are the blocks of peers.
	told map[request.Fingerprint]time.Time
}

func newVerdict(j *Judge, now time.Time) *verdict {
	v := &verdict{now: now, sound: &j.sound, told: j.told}

	for _, d := range j.deaths {
		if !d.doubted && now.Sub(d.at) <= retention {
			v.deaths = append(v.deaths, d)
		}
	}

	return v
}

// explained reports whether something else that a peer has blocked was on the target. What
// is blocked in a narrow scope may be one case of something wider.
func (v *verdict) explained(d *death, fp request.Fingerprint) bool {
	found := false

	for other, last := range v.told {
		if _, exposed := d.exposed[other]; !exposed || v.now.Sub(last) >= blockPeriod {
			continue
		}

		if other == fp {
			return false
		}

		found = found || other.Scope() >= fp.Scope()
	}

	return found
}

// suspicion is what the unexplained deaths say of a fingerprint.
type suspicion struct {
	fp     request.Fingerprint
	deaths []*death
	// sound is when a request with it last ran soundly, before all of the deaths.
	sound time.Time
	// alone says of what may be copies of one request that at the time of the deaths no target
	// ended without it, and that it has no equal: no other suspect of its scope was on all of the
	// targets.
	alone bool
}

// convict returns what crashes targets, with the last death for each, and the suspects of
// the deaths that this does not explain.
//
// The strongest suspicion convicts first and explains its deaths: what crashes targets is
// in all of them, whatever else happened to run there, and its neighbours are acquitted.
// Parts of prompts come before single requests, of which many may have the same part.
func (v *verdict) convict() (blocked map[request.Fingerprint]time.Time, suspects map[request.Fingerprint]bool) {
	blocked = make(map[request.Fingerprint]time.Time)

	v.convictScopes(blocked, func(s request.Scope) bool { return !s.Single() })
	v.convictScopes(blocked, request.Scope.Single)

	return blocked, suspectsOf(v.suspicions())
}

// convictScopes adds what crashes targets, of some scopes.
func (v *verdict) convictScopes(blocked map[request.Fingerprint]time.Time, scopes func(request.Scope) bool) {
	for {
		guilty, found := strongest(v.suspicions(), scopes)
		if !found {
			return
		}

		blocked[guilty.fp] = guilty.lastDeath()
		v.deaths = slices.DeleteFunc(v.deaths, func(d *death) bool { return slices.Contains(guilty.deaths, d) })
	}
}

func suspectsOf(all map[request.Fingerprint]*suspicion) map[request.Fingerprint]bool {
	out := make(map[request.Fingerprint]bool, len(all))
	for fp := range all {
		out[fp] = true
	}

	return out
}

// suspicions returns all fingerprints that are suspected of a death.
func (v *verdict) suspicions() map[request.Fingerprint]*suspicion {
	out := make(map[request.Fingerprint]*suspicion)

	for _, d := range v.deaths {
		for fp := range d.exposed {
			s := out[fp]
			if s == nil {
				s = &suspicion{fp: fp, sound: v.sound.last(fp, v.now)}
			}

			if !d.mayBeCausedBy(fp) || !d.endAfter(fp).After(s.sound) || v.explained(d, fp) {
				continue
			}

			s.deaths = append(s.deaths, d)
			out[fp] = s
		}
	}

	dropContested(out)

	for _, s := range out {
		s.alone = s.mayBeCopies() && v.isAlone(s, out)
	}

	return out
}

// isAlone reports whether nothing but the suspect explains that targets ended at the same time: a
// rack takes what did not run it along, or what ran beside it.
func (v *verdict) isAlone(s *suspicion, all map[request.Fingerprint]*suspicion) bool {
	beside := func(d *death) bool {
		return !slices.Contains(s.deaths, d) && slices.ContainsFunc(s.deaths, func(own *death) bool { return d.at.Sub(own.at).Abs() <= observation })
	}

	if slices.ContainsFunc(v.deaths, beside) {
		return false
	}

	for _, other := range all {
		if other != s && other.fp.Scope() == s.fp.Scope() && other.covers(s) {
			return false
		}
	}

	return true
}

// covers reports whether all deaths of a suspicion are of this one, too.
func (s *suspicion) covers(other *suspicion) bool {
	return !slices.ContainsFunc(other.deaths, func(d *death) bool { return !slices.Contains(s.deaths, d) })
}

// dropContested drops, from the suspicions of what has run soundly lately, the deaths that
// something shared which has not may have caused as well, if it is suspected of others too.
func dropContested(all map[request.Fingerprint]*suspicion) {
	contested := func(d *death) bool {
		for fp := range d.exposed {
			if s := all[fp]; s != nil && s.sound.IsZero() && fp.Scope() != request.ScopePrompt && len(s.deaths) > 1 {
				return true
			}
		}

		return false
	}

	for fp, s := range all {
		if s.sound.IsZero() {
			continue
		}

		if s.deaths = slices.DeleteFunc(s.deaths, contested); len(s.deaths) == 0 {
			delete(all, fp)
		}
	}
}

// strongest returns the strongest suspicion that convicts, of some scopes. What has not run
// soundly lately comes first: where several things crash targets, what sound requests share is
// in more deaths than each of them. Then come most deaths, the soundness of the longest time
// ago, and the narrowest scope.
func strongest(all map[request.Fingerprint]*suspicion, scopes func(request.Scope) bool) (*suspicion, bool) {
	var best *suspicion

	for _, s := range all {
		if !scopes(s.fp.Scope()) || !s.convicts() || best != nil && s.compare(best) >= 0 {
			continue
		}

		if s.fp.Scope().Single() || !s.isOneRequest(all) {
			best = s
		}
	}

	return best, best != nil
}

// isOneRequest reports whether a single request, which convicts too, was on all the targets.
func (s *suspicion) isOneRequest(all map[request.Fingerprint]*suspicion) bool {
	for _, other := range all {
		if !other.fp.Scope().Single() || len(other.deaths) < len(s.deaths) || !other.convicts() {
			continue
		}

		if other.covers(s) {
			return true
		}
	}

	return false
}

// compare returns a negative number if s is stronger than other.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(
		cmp.Compare(known(s.sound), known(other.sound)),
		cmp.Compare(len(other.deaths), len(s.deaths)),
		s.sound.Compare(other.sound),
		cmp.Compare(s.fp.Scope(), other.fp.Scope()),
		cmp.Compare(s.fp, other.fp),
	)
}

func known(at time.Time) int {
	if at.IsZero() {
		return 0
	}

	return 1
}

// convicts reports whether there are enough deaths, one after the other or under copies of one
// request.
func (s *suspicion) convicts() bool {
	limit := limitsOf(s.fp.Scope()).unknown
	if !s.sound.IsZero() {
		limit = limitsOf(s.fp.Scope()).sound
	}

	return len(s.deaths) >= limit && (s.alone || s.inTurn() >= limit)
}

// mayBeCopies reports whether copies of one request, sent at the same time, may have crashed the
// targets.
func (s *suspicion) mayBeCopies() bool {
	return s.fp.Scope().Single() && s.sound.IsZero() && len(s.deaths) >= copiedDeaths
}

// inTurn returns how many of the deaths came one after the other: a request was sent to
// the next target when the one before had ended. Targets that end together, as a rack
// does, were not crashed by a request that was on all of them.
func (s *suspicion) inTurn() int {
	slices.SortFunc(s.deaths, func(a, b *death) int { return s.endOf(a).Compare(s.endOf(b)) })

	n := 0

	var last time.Time

	for _, d := range s.deaths {
		if n == 0 || !d.exposed[s.fp].Before(last) {
			n++
			last = s.endOf(d)
		}
	}

	return n
}

// endOf returns when a target is taken to have ended. If that was not seen, what has not run
// soundly lately is taken to have crashed it at once, and anything else as late as possible:
// targets that fall silent together would look as if they had ended in turn.
func (s *suspicion) endOf(d *death) time.Time {
	if s.sound.IsZero() {
		return d.endAfter(s.fp)
	}

	return d.until
}

func (s *suspicion) lastDeath() time.Time {
	var last time.Time

	for _, d := range s.deaths {
		if d.at.After(last) {
			last = d.at
		}
	}

	return last
}
