package router

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// Reason says why a target must not be sent a request now. If several apply, the
// first of them in the order below counts.
type Reason int

// The reasons, in the order of their precedence.
const (
	// Available means that a request may be sent.
	Available Reason = iota
	// Leaving means that the target will end. It is never sent a request again.
	Leaving
	// Dead means that the target accepts no connections, or has not been reported.
	Dead
	// OtherSoftware means that the stream was begun by other software, or that it is not
	// known which.
	OtherSoftware
	// Resting means that it asked this entry for rest, or accepts only single requests
	// after one.
	Resting
	// Ejected means that its answers failed. This alone is ignored while more than
	// maxEjected of a model's targets are ejected.
	Ejected
	// Limited means that its rate limit leaves no room.
	Limited
	// Full means that this entry has as many requests there as it may, or that the
	// target has no memory for the request.
	Full
)

// String returns the reason as it stands in logs.
func (r Reason) String() string {
	switch r {
	case Available:
		return "available"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case OtherSoftware:
		return "other software"
	case Resting:
		return "resting"
	case Ejected:
		return "ejected"
	case Limited:
		return "limited"
	case Full:
		return "full"
	}

	return "unknown"
}

// Decision says whether a target may be sent a request now.
type Decision struct {
	Reason Reason
	// From is when it may be sent one, if that is known: for Resting, Ejected and Limited.
	From time.Time
}

// Refuses returns Leaving or Resting if the target has said that it accepts no request
// now, and Available otherwise. It is for a request that has been counted on the target.
func (t *Target) Refuses(now time.Time) Reason {
	switch {
	case t.leaving.Load():
		return Leaving
	case t.rest.asked(now):
		return Resting
	}

	return Available
}

// Decide decides whether the target may be sent a request at q.Now, regardless of the
// query's exclusions and of suspects. If ignoreEjection is set, an ejection does not
// matter.
func (t *Target) Decide(q *Query, ignoreEjection bool) Decision {
	now := q.Now.UnixNano()
	info := t.info.Load()

	switch {
	case t.leaving.Load():
		return Decision{Reason: Leaving}
	case info == nil || info.Down || t.isDead(info):
		return Decision{Reason: Dead}
	case !q.Origin.Allows(info.Software):
		return Decision{Reason: OtherSoftware}
	}

	if from, resting := t.rest.from(q.Now); resting {
		return Decision{Reason: Resting, From: clock.Later(from, time.Unix(0, t.pausedUntil.Load()))}
	}

	if until := t.ejectedUntil.Load(); !ignoreEjection && until > now {
		return Decision{Reason: Ejected, From: time.Unix(0, until)}
	}

	if until := t.pausedUntil.Load(); until > now {
		return Decision{Reason: Limited, From: time.Unix(0, until)}
	}

	if t.inFlight.Load() >= t.window(info, q) || !t.hasMemory(info, q, t.tokens.Load()) {
		return Decision{Reason: Full}
	}

	return Decision{}
}

// AnyUsable reports whether any of the targets is neither leaving nor recorded as
// dead, and may go on with a stream of the origin. Full, ejected and unreachable (Down)
// targets, and those without a report, count as usable.
func AnyUsable(targets []*Target, o origin.Origin) bool {
	return slices.ContainsFunc(targets, func(t *Target) bool {
		return !t.Leaving() && !t.Dead() && o.Allows(t.Info().Software)
	})
}

// StateCounts counts the targets that hold a model and those of them that accept
// no request. Each of the latter is counted once, by the first that applies of
// Leaving, Dead, OtherSoftware, Resting, Ejected, Limited and Full. Dead includes unreachable (Down) targets and
// those without a report.
type StateCounts struct {
	Targets, Full, Leaving, Dead, OtherSoftware, Resting, Ejected, Limited int
}

// CountStates counts the targets by their state.
func CountStates(targets []*Target, q *Query) StateCounts {
	s := StateCounts{Targets: len(targets)}

	for _, t := range targets {
		switch t.Decide(q, false).Reason {
		case Leaving:
			s.Leaving++
		case Dead:
			s.Dead++
		case OtherSoftware:
			s.OtherSoftware++
		case Resting:
			s.Resting++
		case Ejected:
			s.Ejected++
		case Limited:
			s.Limited++
		case Full:
			s.Full++
		case Available:
		}
	}

	return s
}
