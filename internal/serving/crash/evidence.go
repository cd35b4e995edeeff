package crash

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Evidence is what deaths say of a fingerprint: how many targets have ended under it, the last ones of
// those since it last ran soundly, and what else has ended meanwhile.
type Evidence struct {
	// Since is when the first of the targets ended.
	Since time.Time
	// Under is the number of these targets, and All that of all targets that have ended since.
	Under, All int
	// Requests is the mean number of requests that each of all was running.
	Requests float64
}

// SoundRuns are numbers of sound runs since a death.
type SoundRuns struct {
	// With is the number of runs with a fingerprint, and All that of runs with any.
	With, All int
}

// Total returns the sum of the numbers of all models.
func Total(byModel map[string]SoundRuns) SoundRuns {
	var out SoundRuns

	for _, n := range byModel {
		out = out.Add(n)
	}

	return out
}

// OfModel returns the numbers of the model whose runs have a fingerprint, which only one has. They are
// zero if no run has it.
func OfModel(byModel map[string]SoundRuns) SoundRuns {
	for _, n := range byModel {
		if n.With > 0 {
			return n
		}
	}

	return SoundRuns{}
}

// Add returns the sum of the numbers of two entries.
func (s SoundRuns) Add(other SoundRuns) SoundRuns {
	return SoundRuns{With: s.With + other.With, All: s.All + other.All}
}

// conclusive is the logarithm of how much likelier deaths must be for what crashes targets than for what
// is on them by chance.
var conclusive = math.Log(100_000)

// ByChance reports whether what has the fingerprint may have been on the targets that ended by chance.
//
// What many requests share is on many targets, so that it is on many that end, and runs soundly on the
// others: its share of what ran soundly since the first death is that of what the targets were running
// when they ended. How often it ran soundly before says nothing: it may crash targets only since. What
// has not run soundly since is never taken to be on them by chance.
func (e Evidence) ByChance(since SoundRuns) bool {
	return since.With > 0 && e.weight(since) < conclusive
}

// weight returns the logarithm of how much likelier the deaths and the sound runs are if the targets ran
// the fingerprint more often than sound runs had it than if both were as often, whatever that is.
func (e Evidence) weight(since SoundRuns) float64 {
	under, all := float64(e.Under), float64(e.All)
	with, runs := float64(since.With), float64(since.All)

	if under/all <= e.onTarget(with/runs) {
		return 0
	}

	apart := logLikelihood(under, all, under/all) + logLikelihood(with, runs, with/runs)
	together := highest(func(share float64) float64 {
		return logLikelihood(under, all, e.onTarget(share)) + logLikelihood(with, runs, share)
	})

	return apart - together
}

// onTarget returns how likely a target that ends was running what has a share of all runs.
func (e Evidence) onTarget(share float64) float64 { return 1 - math.Pow(1-share, e.Requests) }

// logLikelihood returns the logarithm of the likelihood of so many of all, each with a probability.
func logLikelihood(some, all, probability float64) float64 {
	out := 0.0

	if some > 0 {
		out += some * math.Log(probability)
	}

	if some < all {
		out += (all - some) * math.Log(1-probability)
	}

	return out
}

// highest returns the highest value of a function from 0 to 1 that rises and then falls.
func highest(f func(float64) float64) float64 {
	const steps = 60

	low, high := 0.0, 1.0

	for range steps {
		a, b := low+(high-low)/3, high-(high-low)/3 //nolint:mnd // Thirds.
		if f(a) < f(b) {
			low = a
		} else {
			high = b
		}
	}

	return f((low + high) / 2) //nolint:mnd // The middle.
}

// Evidence returns what the deaths under a fingerprint say of it.
func (j *Judge) Evidence(fp request.Fingerprint, now time.Time) Evidence {
	_, deaths := j.tallyOf(fp, now)

	return j.evidence(j.newest(deaths, deathsAllowed(fp.Scope())))
}

// newest returns the last deaths, at most n. What has the fingerprint may have been on those before by
// chance, and sound runs between them say nothing of the last ones.
func (j *Judge) newest(deaths []Death, n int) []Death {
	out := slices.SortedFunc(slices.Values(deaths), func(a, b Death) int { return j.deaths[b].until.Compare(j.deaths[a].until) })

	return out[:min(n, len(out))]
}

// HasEndedUnder reports whether targets have ended under a request itself since it last ran soundly.
func (j *Judge) HasEndedUnder(fps []request.Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(fps, func(fp request.Fingerprint) bool {
		if !fp.Scope().Single() {
			return false
		}

		t, _ := j.tallyOf(fp, now)

		return t.deaths > 0
	})
}

// evidence returns what the deaths that are given, which count for a fingerprint, say of it.
func (j *Judge) evidence(counted []Death) Evidence {
	out := Evidence{Under: len(counted)}

	for _, id := range counted {
		if d := j.deaths[id]; out.Since.IsZero() || d.until.Before(out.Since) {
			out.Since = d.until
		}
	}

	requests := 0

	for _, d := range j.deaths {
		if d.until.Before(out.Since) {
			continue
		}

		out.All++
		requests += d.requests()
	}

	if out.All > 0 {
		out.Requests = float64(requests) / float64(out.All)
	}

	return out
}

// requests returns the number of requests that the target was running.
func (d *death) requests() int {
	n := 0

	for fp := range d.exposed {
		if fp.Scope() == request.ScopePrompt {
			n++
		}
	}

	return n
}
