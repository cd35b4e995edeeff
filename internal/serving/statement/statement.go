// Package statement defines what targets state about themselves in their answers, and
// keeps what an entry must heed of it for longer than one answer. It does no I/O and
// reads no clock.
package statement

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
)

// Statement is what a target states about itself in one answer. The zero value states
// nothing.
type Statement struct {
	// Leaving says that the target accepts no new work and will end.
	Leaving bool
	// Rest is how long the target asks the entry that it answers to send it nothing. It
	// is at most MaxRest.
	Rest time.Duration
	// Brittle says that the target fails if it has to reject more than Rejections requests a
	// second for want of room.
	Brittle    bool
	Rejections float64
	// RateLimit is the rate of requests that the target accepts from all entries
	// together.
	RateLimit ratelimit.Limit
}

// MaxRest limits the rest that a target is given at a time. A target that asks for more
// is sent one request each time this has passed, so that a wrong value does not take it
// away for good.
const MaxRest = 5 * time.Minute

// Process is one process of a target.
type Process struct {
	Target      instance.ID
	Incarnation string
}

// Heard is a statement of an answer that an entry has received.
type Heard struct {
	Statement

	Process Process
	// SentAt is when the request was sent, and At when the answer's head arrived.
	SentAt, At time.Time
	// RestUntil is when this entry ends the rest. Zero means that the target has asked for
	// none.
	RestUntil time.Time
	// Works says that the answer comes from a target that works, so that what it does
	// not state has ended: it is neither a rejection nor a failure.
	Works bool
}

// LimitObservation returns what the answer shows of the target's rate limit. It returns
// false if it shows nothing.
func (h Heard) LimitObservation() (ratelimit.Observation, bool) {
	o := ratelimit.Observation{Target: h.Process.Target, Limit: h.RateLimit, At: h.At}
	if !h.RateLimit.Stated {
		// The target may have sent this answer before it stated a limit.
		o.At = h.SentAt
	}

	return o, h.RateLimit.Stated || h.Works
}
