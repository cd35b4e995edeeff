package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// idleShare is the part of the targets that is left without an order for
	// requests that come meanwhile.
	idleShare = 0.5
	// rotate is how long the order of models that are asked for equally often
	// stays the same.
	rotate = 10 * time.Second
)

// fill loads models that are nowhere into memory that is free, from where they
// are at hand.
//
// It answers the first minutes, in which a third of the memory is empty: a rare
// model that is there already is served at once.
func (p *planner) fill() {
	free := p.free()
	left := int(idleShare * float64(p.serving()))

	if len(free) <= left {
		return
	}

	for _, m := range p.missing() {
		if len(free) <= left {
			return
		}

		at := slices.IndexFunc(free, func(t *Target) bool { return p.fits(t, m) && t.AtHand[m.Name] != 0 })
		if at < 0 {
			continue
		}

		t := free[at]
		tier, takes := p.tierOf(t, m)

		p.begin(Move{Target: t.ID, Load: m.Name, Takes: takes, From: tier, For: ForLater})

		free = slices.Delete(free, at, at+1)
	}
}

// free returns the targets that could take an order now, those with the least
// to do first.
func (p *planner) free() []*Target {
	var out []*Target

	for i := range p.Targets {
		if t := &p.Targets[i]; t.Free && t.Serving && !p.busy[t.ID] {
			out = append(out, t)
		}
	}

	slices.SortStableFunc(out, func(a, b *Target) int { return cmp.Compare(a.Running, b.Running) })

	return out
}

func (p *planner) serving() int {
	n := 0

	for i := range p.Targets {
		if p.Targets[i].Serving {
			n++
		}
	}

	return n
}

// missing returns the models that are nowhere, those asked for most first.
func (p *planner) missing() []route.Model {
	var out []route.Model

	for _, m := range p.Engine.Models {
		if p.copies[m.Name] == 0 {
			out = append(out, m)
		}
	}

	spread := p.spreads(out)

	slices.SortFunc(out, func(a, b route.Model) int {
		return cmp.Or(-cmp.Compare(p.Rate[a.Name], p.Rate[b.Name]), cmp.Compare(spread[a.Name], spread[b.Name]), cmp.Compare(a.Name, b.Name))
	})

	return out
}

// spreads returns the places of models that are asked for equally often.
func (p *planner) spreads(models []route.Model) map[string]uint64 {
	out := make(map[string]uint64, len(models))
	for _, m := range models {
		out[m.Name] = p.spread(m.Name)
	}

	return out
}

// spread orders models that are asked for equally often, in another way in
// each round, so that none is always last.
func (p *planner) spread(model string) uint64 {
	return instance.Score(model, instance.ID(p.Now.Truncate(rotate).String()))
}

func (p *planner) fits(t *Target, m route.Model) bool {
	return p.freeMB(t) >= m.MB
}
