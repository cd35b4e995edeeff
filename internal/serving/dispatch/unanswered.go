package dispatch

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// MustBeAnswered reports whether the request may be sent only to a target that is seen to answer: it
// is a suspect, or was sent before, and has neither been answered nor run soundly lately. At a target
// that stands still it would lie in a buffer, out of reach, and run later.
func (c *Crashes) MustBeAnswered(req *request.Request) bool {
	if c.IsSuspect(req) {
		return true
	}

	fps := req.Fingerprints()
	now := time.Now()

	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.runs.Unanswered(fps, now) {
		return false
	}

	return !slices.ContainsFunc(fps, func(fp request.Fingerprint) bool {
		at, known := c.judge.LastSound(fp, now)

		return fp.Scope().Single() && known && now.Sub(at) < answeredLately
	})
}

// answeredLately is how long a sound run shows that a request may be sent again before it is
// answered.
const answeredLately = 10 * time.Second
