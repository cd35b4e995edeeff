package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// sent is what is known of the runs of one fingerprint that are not answered.
type sent struct {
	// open is the number of those that go on, and first when the first one was sent.
	open  int
	first time.Time
	// givenUp is when one of them was last given up. Its target may still run it.
	givenUp time.Time
}

// over reports whether none of them is likely to run any more.
func (s sent) over(now time.Time) bool {
	return s.open <= 0 && now.Sub(s.givenUp) > unansweredPeriod
}

// maxOut bounds the fingerprints of runs that are not answered.
const maxOut = 8192

// send records that a run was sent.
func (r *Runs) send(run *Run, now time.Time) {
	for _, fp := range run.fingerprints {
		if !fp.Scope().Single() {
			continue
		}

		s, known := r.out[fp]
		if !known && len(r.out) >= maxOut {
			r.forgetOut(now)
		}

		if s.open <= 0 {
			s.first = now
		}

		s.open++

		if r.out == nil {
			r.out = make(map[request.Fingerprint]sent)
		}

		r.out[fp] = s
	}
}

// receive records that a run has ended, and whether its target may still run it.
func (r *Runs) receive(run *Run, mayRun bool, now time.Time) {
	for _, fp := range run.fingerprints {
		s, known := r.out[fp]
		if !known {
			continue
		}

		s.open--

		if mayRun {
			s.givenUp = now
		}

		if s.over(now) {
			delete(r.out, fp)
		} else {
			r.out[fp] = s
		}
	}
}

// forgetOut drops what is over, or all if nothing is.
func (r *Runs) forgetOut(now time.Time) {
	maps.DeleteFunc(r.out, func(_ request.Fingerprint, s sent) bool { return s.over(now) })

	if len(r.out) >= maxOut {
		clear(r.out)
	}
}

// Unanswered reports whether a request with one of the fingerprints was sent for a while, or was
// given up, and its target has neither answered it nor ended.
func (r *Runs) Unanswered(fps []request.Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(fps, func(fp request.Fingerprint) bool {
		s, known := r.out[fp]

		return known && (s.open > 0 && now.Sub(s.first) >= QuietAfter || !s.givenUp.IsZero() && now.Sub(s.givenUp) <= unansweredPeriod)
	})
}
