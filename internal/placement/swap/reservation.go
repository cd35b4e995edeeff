package swap

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

const (
	// reservationTimeout is how long after its predicted start a load that was only
	// reserved may still start.
	reservationTimeout = time.Second
	// reservationPause is how long a target whose reservation has timed out is not
	// reserved for the same model again.
	reservationPause = 3 * time.Second
)

// Reservation is a load that a target could not start in a round.
type Reservation struct {
	Target instance.ID
	Model  string
}

// Reservations are the reservations of the recent rounds, with the time at which
// each should have led to a load. The zero value has none.
type Reservations map[Reservation]time.Time

// Update returns the reservations after a round: those that led to a load, and those
// that have timed out and may be made again, are removed.
func (r Reservations) Update(round Decisions, now time.Time) Reservations {
	out := make(Reservations, len(r)+len(round.Reserved))

	for key, at := range r {
		if now.Sub(at) < reservationTimeout+reservationPause {
			out[key] = at
		}
	}

	for key, startsIn := range round.Reserved {
		if _, known := out[key]; !known {
			out[key] = now.Add(startsIn)
		}
	}

	for _, s := range round.Swaps {
		delete(out, Reservation{s.Target, s.Load})
	}

	return out
}

// timedOut reports whether a reservation has not led to a load in time.
func (d *decider) timedOut(id instance.ID, model string) bool {
	at, known := d.Reservations[Reservation{id, model}]

	return known && d.Now.Sub(at) >= reservationTimeout
}

// choice collects the candidates for a load. Without startNow it is the one with the
// least cost.
type choice struct {
	// startNow prefers targets that can start the load now.
	startNow bool
	// best costs least of all, soonest least of those that have the weights and can
	// start now, and later least of those that have the weights and whose order in
	// flight is the only reason why they can't.
	best, soonest, later *candidate
}

func cheaper(a, b *candidate) *candidate {
	if b == nil || a.cost < b.cost {
		return a
	}

	return b
}

func (c *choice) consider(next *candidate) {
	c.best = cheaper(next, c.best)

	switch {
	case next.swap.Tier == target.TierRemote:
	case next.free:
		c.soonest = cheaper(next, c.soonest)
	case next.certain:
		c.later = cheaper(next, c.later)
	}
}

// result returns the chosen candidate, or nil. A target that has the weights and can
// start now goes before one that may make room later, or whose order in flight ends
// later than the load would here.
func (c *choice) result() *candidate {
	if !c.startNow || c.soonest == nil {
		return c.best
	}

	if c.later != nil && c.later.cost < c.soonest.cost && c.later.readyIn < c.soonest.readyIn {
		return c.later
	}

	return c.soonest
}
