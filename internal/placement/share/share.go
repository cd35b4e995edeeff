// Package share divides the weight store's concurrency between cells, so that
// all cells together never have more loads in flight than the store serves at
// full speed. The holder of the first cell grants; the holders of the other
// cells ask repeatedly. The package does no I/O and reads no clock.
package share

import "time"

// Loads is a number of loads in flight, by kind.
type Loads struct{ Models, Adapters int }

// GrantDuration is how long a cell may start loads under a grant, from the time at
// which it asked.
const GrantDuration = 3 * time.Second

// grantMargin is how much longer than GrantFor the granter counts a grant.
const grantMargin = 100 * time.Millisecond

// loadTimeout is how long the loads of a cell that has stopped asking are
// counted after its grant has expired. It is the longest predicted duration of a
// load.
const loadTimeout = 2 * time.Minute

// Request is a cell's request for a grant.
type Request struct {
	Cell int
	// Wanted is the number of loads that the cell could have in flight now, and
	// InFlight the number that it has in flight.
	Wanted, InFlight Loads
	// LastGrant is the last grant, for as long as the cell may start loads under it;
	// zero otherwise.
	LastGrant Loads
}

// Granter divides the total between cells. It grants nothing before Started has
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

// Grant returns the grant for a request. It is valid for GrantFor from the time
// of the request.
func (g *Granter) Grant(a Request, now time.Time) Loads {
	if g.cells == nil {
		return Loads{}
	}

	g.expire(now)
	delete(g.cells, a.Cell)

	free := g.Total
	all := a.Wanted

	for _, h := range g.cells {
		counted := h.counted()
		free.Models -= counted.Models
		free.Adapters -= counted.Adapters
		all.Models += h.wanted.Models
		all.Adapters += h.wanted.Adapters
	}

	grant := Loads{
		Models:   fairShare(g.Total.Models, a.Wanted.Models, all.Models, free.Models),
		Adapters: fairShare(g.Total.Adapters, a.Wanted.Adapters, all.Adapters, free.Adapters),
	}

	if now.Before(g.startedAt.Add(GrantDuration + grantMargin)) {
		grant = Loads{}
	}

	g.cells[a.Cell] = cellState{granted: grant, inFlight: a.InFlight, wanted: a.Wanted, lastGrant: a.LastGrant, until: now.Add(GrantDuration + grantMargin)}

	return grant
}

// counted returns the maximum number of loads that the cell may have in flight.
// It includes loads in flight after the end of the grant, because a load that
// was started under the grant continues, and the previous grant, because the
// response with the newer one may be lost.
func (h *cellState) counted() Loads {
	return Loads{
		Models:   max(h.granted.Models, h.inFlight.Models, h.lastGrant.Models),
		Adapters: max(h.granted.Adapters, h.inFlight.Adapters, h.lastGrant.Adapters),
	}
}

// expire deletes cells whose loads must have ended, even if the cells have not
// reported it.
func (g *Granter) expire(now time.Time) {
	for cell, h := range g.cells {
		idle := h.counted() == Loads{}
		if now.After(h.until.Add(loadTimeout)) || idle && now.After(h.until) {
			delete(g.cells, cell)
		}
	}
}

// fairShare returns a cell's share of one kind of load: all that it wants if the
// total suffices for all cells, else a proportional part of at least one. It is
// never more than is free.
func fairShare(total, own, all, free int) int {
	proportional := own
	if all > total {
		proportional = max(1, total*own/all)
	}

	return max(0, min(proportional, own, free))
}
