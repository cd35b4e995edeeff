// Package share divides the weight store's concurrency between cells, so that
// all cells together never have more loads in flight than the store serves at
// full speed. The holder of the first cell grants; the others ask again and
// again. The package does no I/O and reads no clock.
package share

import "time"

// Amount is a number of loads in flight, by kind.
type Amount struct{ Models, Adapters int }

// GrantFor is how long a cell may begin loads after it asked.
const GrantFor = 3 * time.Second

// grantMargin is how much longer the granter counts a grant.
const grantMargin = 100 * time.Millisecond

// loadTimeout is for how long loads of a cell that no longer asks are counted:
// the longest that a load is expected to take.
const loadTimeout = 2 * time.Minute

// Ask is a cell's request.
type Ask struct {
	Cell int
	// Want is how many loads the cell could have in flight now, and Using how
	// many it has.
	Want, Using Amount
	// Held is the last grant, as long as the cell may begin loads under it.
	Held Amount
}

// Granter divides the total. The zero value grants nothing before Started.
// It is not safe for concurrent use.
type Granter struct {
	Total Amount

	startedAt time.Time
	cells map[int]cellState
}

type cellState struct {
	granted, inFlight, wanted, lastGrant Amount
	until                        time.Time
}

// Started records that this granter took over. It grants nothing until the
// former granter's grants have run out; what cells have in flight they tell
// with their asks meanwhile.
func (g *Granter) Started(now time.Time) {
	g.startedAt = now
	g.cells = make(map[int]cellState)
}

// Grant answers an ask. The answer holds for GrantFor from when it was asked.
func (g *Granter) Grant(a Ask, now time.Time) Amount {
	if g.cells == nil {
		return Amount{}
	}

	g.expire(now)
	delete(g.cells, a.Cell)

	free := g.Total
	wants := a.Want

	for _, h := range g.cells {
		counted := h.counted()
		free.Models -= counted.Models
		free.Adapters -= counted.Adapters
		wants.Models += h.wanted.Models
		wants.Adapters += h.wanted.Adapters
	}

	grant := Amount{
		Models:   fairShare(g.Total.Models, a.Want.Models, wants.Models, free.Models),
		Adapters: fairShare(g.Total.Adapters, a.Want.Adapters, wants.Adapters, free.Adapters),
	}

	if now.Before(g.startedAt.Add(GrantFor + grantMargin)) {
		grant = Amount{}
	}

	g.cells[a.Cell] = cellState{granted: grant, inFlight: a.Using, wanted: a.Want, lastGrant: a.Held, until: now.Add(GrantFor + grantMargin)}

	return grant
}

// counted is the most that the cell may have in flight. It counts beyond the
// end of the grant, because what was begun under it goes on, and the grant
// before, because the answer with the newer one may be lost.
func (h *cellState) counted() Amount {
	return Amount{
		Models:   max(h.granted.Models, h.inFlight.Models, h.lastGrant.Models),
		Adapters: max(h.granted.Adapters, h.inFlight.Adapters, h.lastGrant.Adapters),
	}
}

// expire drops cells whose loads have ended even if they never said so.
func (g *Granter) expire(now time.Time) {
	for cell, h := range g.cells {
		idle := h.counted() == Amount{}
		if now.After(h.until.Add(loadTimeout)) || idle && now.After(h.until) {
			delete(g.cells, cell)
		}
	}
}

// fairShare is a cell's fairShare of one kind: what it wants if all wants fit, else in
// proportion, at least one, and never more than is free.
func fairShare(total, want, wants, free int) int {
	fair := want
	if wants > total {
		fair = max(1, total*want/wants)
	}

	return max(0, min(fair, want, free))
}
