package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// reservedTargets is the fraction of the serving targets that must remain
	// without an order when models are loaded ahead of demand, for requests
	// that arrive meanwhile. For loads from the weight store, it is checked
	// once per round, and not for blank targets or for loads worth highWorth or
	// more.
	reservedTargets = 0.5
	// shuffleInterval is the interval after which models with the same rate are
	// shuffled again.
	shuffleInterval = 10 * time.Second
)

// loadAheadFromCache loads models without a replica into free memory of targets
// that have their weights in host memory or on disk.
//
// In the first minutes of operation, about a third of the memory is free. Loads
// into this memory let requests for rarely used models be served at once.
func (d *decider) loadAheadFromCache() {
	free := d.freeTargets()
	reserved := int(reservedTargets * float64(d.servingTargets()))

	if len(free) <= reserved {
		return
	}

	// rank is the position of each target among the free ones, or -1.
	rank := slices.Repeat([]int{-1}, len(d.Targets))
	for i, t := range free {
		rank[t.index] = i
	}

	left := len(free)

	for _, m := range d.unloadedModels() {
		if left <= reserved {
			return
		}

		var first *Target

		for _, t := range d.copiesAt[m.Name] {
			if rank[t.index] >= 0 && d.fits(t, m) && (first == nil || rank[t.index] < rank[first.index]) {
				first = t
			}
		}

		if first == nil {
			continue
		}

		tier, loadTime := d.tierAndTime(first, m)

		d.add(Swap{Target: first.ID, Load: m.Name, LoadTime: loadTime, Tier: tier, Reason: ReasonAhead})

		rank[first.index] = -1
		left--
	}
}

// freeTargets returns the targets that could accept an order now, those with
// the fewest running requests first.
func (d *decider) freeTargets() []*Target {
	var out []*Target

	for i := range d.Targets {
		if t := &d.Targets[i]; t.AcceptsOrders && t.Serving && !d.ordered[t.ID] {
			out = append(out, t)
		}
	}

	slices.SortStableFunc(out, func(a, b *Target) int { return cmp.Compare(a.Running, b.Running) })

	return out
}

func (d *decider) servingTargets() int {
	n := 0

	for i := range d.Targets {
		if d.Targets[i].Serving {
			n++
		}
	}

	return n
}

// unloadedModels returns the models without a replica, those with the highest
// rate first.
func (d *decider) unloadedModels() []route.Model {
	var out []route.Model

	for _, m := range d.Engine.Models {
		if d.replicas[m.Name] == 0 {
			out = append(out, m)
		}
	}

	keys := d.shuffleKeys(out)

	slices.SortFunc(out, func(a, b route.Model) int {
		return cmp.Or(-cmp.Compare(d.Rate[a.Name], d.Rate[b.Name]), cmp.Compare(keys[a.Name], keys[b.Name]), cmp.Compare(a.Name, b.Name))
	})

	return out
}

// shuffleKeys returns the sort keys of models with the same rate.
func (d *decider) shuffleKeys(models []route.Model) map[string]uint64 {
	out := make(map[string]uint64, len(models))
	for _, m := range models {
		out[m.Name] = d.shuffleKey(m.Name)
	}

	return out
}

// shuffleKey returns the sort key of a model among models with the same rate.
// The key changes with each shuffleInterval, so that no model is always last.
func (d *decider) shuffleKey(model string) uint64 {
	return instance.Score(model, instance.ID(d.Now.Truncate(shuffleInterval).String()))
}

func (d *decider) fits(t *Target, m route.Model) bool {
	return d.rooms[t.index].fits(needOf(m))
}
