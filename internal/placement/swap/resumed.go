package swap

import (
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// placeResumed loads a model for resumed streams, which only targets of the software that
// began them may go on with, where none of these holds it.
//
// Targets load it from their own memory or disk only. A load from the weight store takes
// longer than most clients wait.
func (d *decider) placeResumed(dem Demand) {
	m, known := d.Engine.Models[dem.Model]
	if !known {
		return
	}

	for _, s := range d.Resumed[m.Name] {
		if !d.heldAt(m.Name, s) {
			d.start(d.bestAt(m, dem, s))
		}
	}
}

// heldAt reports whether a target of the software holds the model or loads it.
func (d *decider) heldAt(model string, s instance.Software) bool {
	loads := func(id instance.ID) bool {
		return slices.ContainsFunc(d.swaps, func(swap Swap) bool { return swap.Target == id && swap.Load == model })
	}

	return slices.ContainsFunc(d.Targets, func(t Target) bool {
		return t.Serving && t.Software == s && (holds(&t, model) || loads(t.ID))
	})
}

// bestAt returns the target of the software for a load with the swap there, or nil.
func (d *decider) bestAt(m route.Model, dem Demand, s instance.Software) *candidate {
	local := choice{startNow: d.site != nil}

	for _, t := range d.copiesAt[m.Name] {
		if t.Software == s {
			d.offer(&local, t, m, dem, ReasonResumed, d.limitsFor(dem))
		}
	}

	return local.result()
}
