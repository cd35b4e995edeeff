package crash

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Doubts reports whether an answer alone does not show that requests with the fingerprints are sound:
// targets have ended under them, and one that is about to end may still answer a copy.
func (j *Judge) Doubts(fps []request.Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(fps, func(fp request.Fingerprint) bool {
		if !j.lastDeath(fp).IsZero() {
			return true
		}

		t, _ := j.tallyOf(fp, now)

		return t.deaths >= deathsDoubted(fp.Scope())
	})
}

// deathsDoubted returns the number of deaths from which an answer alone does not clear a fingerprint.
// What sound requests share is on targets that end whatever ends them.
func deathsDoubted(s request.Scope) int {
	if s.Single() {
		return 1
	}

	return partDeaths - 2 //nolint:mnd // Two more are due.
}
