// Package share divides the weight store's concurrency between cells, so that
// all cells together never have more loads in flight than the store serves at
// full speed. The holder of the first cell grants; the holders of the other
// cells ask repeatedly. The package does no I/O and reads no clock.
package share

import "time"

// Loads is a number of loads in flight, by kind.
type Loads struct{ Models, Adapters int }

// GrantDuration is how long a cell may start loads under a grant, from the time
// at which it asked.
const GrantDuration = 3 * time.Second

// grantMargin is added to GrantDuration to get the time for which the granter
// counts a grant.
const grantMargin = 100 * time.Millisecond

// loadTimeout is how long the loads of a cell that has stopped asking are
// counted after its grant has expired. It is the longest predicted duration of
// a load.
const loadTimeout = 2 * time.Minute

// Request is a cell's request for a grant.
type Request struct {
	Cell int
	// Wanted is the number of loads that the cell could have in flight now, and
	// InFlight the number that it has in flight.
	Wanted, InFlight Loads
	// LastGrant is the cell's last grant if the cell may still start loads under
	// it, else zero.
	LastGrant Loads
}

// Granter divides the total between cells. It grants nothing before Start has
// been called. It is not safe for concurrent use.
type Granter struct {
	Total Loads

	startedAt time.Time
	cells     map[int]cellState
}

type cellState struct {
	granted, inFlight, wanted, lastGrant Loads
	until                                time.Time
}

// Start records that this granter has taken over. It grants nothing until the
// grants of the previous granter have expired. Meanwhile, the requests of the
// cells report their loads in flight.
func (g *Granter) Start(now time.Time) {
	g.startedAt = now
	g.cells = make(map[int]cellState)
}

// Grant returns the grant for a request. It is valid for GrantDuration from the
// time of the request.
func (g *Granter) Grant(r Request, now time.Time) Loads {
	if g.cells == nil {
		return Loads{}
	}

	g.expire(now)
	delete(g.cells, r.Cell)

	free := g.Total
	all := r.Wanted

	for _, c := range g.cells {
		counted := c.counted()
		free.Models -= counted.Models
		free.Adapters -= counted.Adapters
		all.Models += c.wanted.Models
		all.Adapters += c.wanted.Adapters
	}

	grant := Loads{
		Models:   fairShare(g.Total.Models, r.Wanted.Models, all.Models, free.Models),
		Adapters: fairShare(g.Total.Adapters, r.Wanted.Adapters, all.Adapters, free.Adapters),
	}

	if now.Before(g.startedAt.Add(GrantDuration + grantMargin)) {
		grant = Loads{}
	}

	g.cells[r.Cell] = cellState{granted: grant, inFlight: r.InFlight, wanted: r.Wanted, lastGrant: r.LastGrant, until: now.Add(GrantDuration + grantMargin)}

	return grant
}

// counted returns the maximum number of loads that the cell may have in flight.
// Loads in flight count even after the grant has expired, because a load that
// was started under it continues. The previous grant counts too, because the
// response with the newer one may be lost.
func (c *cellState) counted() Loads {
	return Loads{
		Models:   max(c.granted.Models, c.inFlight.Models, c.lastGrant.Models),
		Adapters: max(c.granted.Adapters, c.inFlight.Adapters, c.lastGrant.Adapters),
	}
}

// expire deletes cells whose loads must have ended, even if the cells have not
// reported it.
func (g *Granter) expire(now time.Time) {
	for cell, c := range g.cells {
		idle := c.counted() == Loads{}
		if now.After(c.until.Add(loadTimeout)) || idle && now.After(c.until) {
			delete(g.cells, cell)
		}
	}
}

// fairShare returns a cell's share of one kind of load: all that it wants if
// the total suffices for all cells, else a proportional part of at least one.
// It is never more than the cell wants or than is free.
func fairShare(total, own, all, free int) int {
	proportional := own
	if all > total {
		proportional = max(1, total*own/all)
	}

	return max(0, min(proportional, own, free))
}
