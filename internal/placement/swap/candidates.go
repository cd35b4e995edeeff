package swap

import (
	"math"
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// indexTargets copies the targets, numbers them and computes the memory of each that
// is free, and that would be free without the models that are idle.
func (d *decider) indexTargets() {
	s := *d.Snapshot
	s.Targets = slices.Clone(s.Targets)
	d.Snapshot = &s
	d.rooms, d.idleRooms = make([]room, len(s.Targets)), make([]room, len(s.Targets))

	for i := range s.Targets {
		t := &s.Targets[i]
		t.index = i
		d.rooms[i] = room{usableMB: d.usableMB, takenMB: t.ReservedMB}
		d.idleRooms[i] = d.rooms[i]

		for _, r := range t.Resident {
			d.rooms[i].take(d.sizeOf(&r))

			if !d.isIdle(&r) {
				d.idleRooms[i].take(d.sizeOf(&r))
			}
		}
	}
}

// indexCopies records which serving targets have a model's weights in host memory or
// on disk. A round considers each model on these targets only, unless the weight store
// may load it: with thousands of models most of the time would be spent on targets
// that are out of the question.
func (d *decider) indexCopies() {
	d.copiesAt = make(map[string][]*Target, len(d.Engine.Models))

	for i := range d.Targets {
		t := &d.Targets[i]
		if !t.Serving {
			continue
		}

		for model, tier := range t.Cached {
			if tier != 0 {
				d.copiesAt[model] = append(d.copiesAt[model], t)
			}
		}
	}
}

// best returns the target for a load with the swap there, or nil.
func (d *decider) best(m route.Model, dem Demand, reason Reason, limits evictionLimits) *candidate {
	local := choice{startNow: d.site != nil}

	for _, t := range d.copiesAt[m.Name] {
		d.offer(&local, t, m, dem, reason, limits)
	}

	if !d.mayLoadFromStore(dem, reason) || local.leastCost() < d.storeLoadTime(m).Seconds()-speedWeight*maxSpeed {
		return local.result()
	}

	all := choice{startNow: d.site != nil}

	for i := range d.Targets {
		if t := &d.Targets[i]; t.Cached[m.Name] != 0 || d.leastStoreCost(t, m) <= all.leastCost()+costMargin {
			d.offer(&all, t, m, dem, reason, limits)
		}
	}

	return all.result()
}

// costMargin exceeds the rounding errors in sums of costs.
const costMargin = 1e-6

// leastStoreCost returns a lower bound on the cost of a load from the weight store on
// the target, which needs no search for room.
func (d *decider) leastStoreCost(t *Target, m route.Model) float64 {
	return (t.OrderEndsIn + d.reserved[t.ID] + d.storeLoadTime(m) + blockedWait(t, target.TierRemote)).Seconds() +
		runningWeight*float64(t.Running) - speedWeight*maxSpeed
}

// offer adds a target to the candidates for a load if it is one.
func (d *decider) offer(c *choice, t *Target, m route.Model, dem Demand, reason Reason, limits evictionLimits) {
	if !t.Serving || d.ordered[t.ID] || holds(t, m.Name) || !t.AcceptsOrders && reason == ReasonCrowded {
		return
	}

	if next, ok := d.consider(t, m, dem, reason, limits); ok {
		c.consider(&next)
	}
}

func (d *decider) mayLoadFromStore(dem Demand, reason Reason) bool {
	return d.freeStoreLoads > 0 && (reason != ReasonCrowded || d.mayUseStore(dem))
}

// leastCost returns the least cost of the candidates, or infinity if there are none.
func (c *choice) leastCost() float64 {
	if c.best == nil {
		return math.Inf(1)
	}

	return c.best.cost
}
