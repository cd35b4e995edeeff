package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// reservedTargets is the fraction of the targets that is kept without
	// orders, for requests that arrive meanwhile.
	reservedTargets = 0.5
	// shuffleInterval is how long models with the same rate keep their order.
	shuffleInterval = 10 * time.Second
)

// loadAheadFromCache loads models without a replica into free memory, from
// targets' memory or disk.
//
// It handles the first minutes, in which a third of the memory is empty:
// requests for a rarely used model that is already loaded are served at once.
func (p *decider) loadAheadFromCache() {
	free := p.freeTargets()
	left := int(reservedTargets * float64(p.servingTargets()))

	if len(free) <= left {
		return
	}

	for _, m := range p.modelsNowhere() {
		if len(free) <= left {
			return
		}

		at := slices.IndexFunc(free, func(t *Target) bool { return p.fits(t, m) && t.AtHand[m.Name] != 0 })
		if at < 0 {
			continue
		}

		t := free[at]
		tier, takes := p.tierAndTime(t, m)

		p.add(Move{Target: t.ID, Load: m.Name, Takes: takes, From: tier, For: ReasonAhead})

		free = slices.Delete(free, at, at+1)
	}
}

// freeTargets returns the targets that could accept an order now, those with the
// fewest running requests first.
func (p *decider) freeTargets() []*Target {
	var out []*Target

	for i := range p.Targets {
		if t := &p.Targets[i]; t.Free && t.Serving && !p.ordered[t.ID] {
			out = append(out, t)
		}
	}

	slices.SortStableFunc(out, func(a, b *Target) int { return cmp.Compare(a.Running, b.Running) })

	return out
}

func (p *decider) servingTargets() int {
	n := 0

	for i := range p.Targets {
		if p.Targets[i].Serving {
			n++
		}
	}

	return n
}

// modelsNowhere returns the models without a replica, those with the highest
// rate first.
func (p *decider) modelsNowhere() []route.Model {
	var out []route.Model

	for _, m := range p.Engine.Models {
		if p.replicas[m.Name] == 0 {
			out = append(out, m)
		}
	}

	spread := p.shuffleKeys(out)

	slices.SortFunc(out, func(a, b route.Model) int {
		return cmp.Or(-cmp.Compare(p.Rate[a.Name], p.Rate[b.Name]), cmp.Compare(spread[a.Name], spread[b.Name]), cmp.Compare(a.Name, b.Name))
	})

	return out
}

// shuffleKeys returns the sort keys of models with the same rate.
func (p *decider) shuffleKeys(models []route.Model) map[string]uint64 {
	out := make(map[string]uint64, len(models))
	for _, m := range models {
		out[m.Name] = p.shuffleKey(m.Name)
	}

	return out
}

// shuffleKey returns the sort key of a model among models with the same rate.
// The key changes with each shuffleInterval, so that no model is always last.
func (p *decider) shuffleKey(model string) uint64 {
	return instance.Score(model, instance.ID(p.Now.Truncate(shuffleInterval).String()))
}

func (p *decider) fits(t *Target, m route.Model) bool {
	return p.freeMB(t) >= m.MB
}
