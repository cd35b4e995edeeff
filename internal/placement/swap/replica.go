package swap

import (
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// crowdedFraction is the fraction of a target's slots that one model's
	// requests may take before another replica is loaded.
	crowdedFraction = 1.0 / 3
	// overloadedFraction is the fraction that they may take before another
	// replica is loaded even from the weight store, where the load blocks a
	// target for seconds.
	overloadedFraction = 2.0 / 3
	// maxNewReplicas is the maximum number of replicas that a round adds to a
	// model because it is crowded.
	maxNewReplicas = 3
)

// crowdedAbove returns how many requests a replica may have before another is
// loaded. It is a fraction of the target's slots, because an engine with more
// slots can also run proportionally more requests in a batch before it
// processes their prompts late.
func crowdedAbove(e *route.Engine) int { return fractionOfSlots(e, crowdedFraction) }

// overloadedAbove returns how many requests a replica may have before another
// is loaded even from the weight store.
func overloadedAbove(e *route.Engine) int { return fractionOfSlots(e, overloadedFraction) }

func fractionOfSlots(e *route.Engine, fraction float64) int {
	return max(1, int(fraction*float64(e.Concurrency(e.Slots))))
}

func (d *decider) placeDemanded(dem Demand) {
	m, known := d.Engine.Models[dem.Model]
	if !known {
		return
	}

	switch n := d.replicas[dem.Model]; {
	case n == 0 && dem.Waiting > 0 && d.nearby[dem.Model] > 0:
		d.place(m, dem, ReasonWaiting, d.limitsFor(dem))
	case n > 0:
		d.addReplicas(m, dem)
	}
}

// addReplicas adds replicas of a crowded model, several at once. When demand
// moves to another model, its requests accumulate on one replica within a
// second. If the replicas were loaded one after another, the last of these
// requests would wait for all the loads.
func (d *decider) addReplicas(m route.Model, dem Demand) {
	perReplica := crowdedAbove(d.Engine)
	desired := (dem.Waiting + dem.Running + perReplica - 1) / perReplica

	for range min(max(desired-d.replicas[m.Name], d.missingReplicas(dem)), maxNewReplicas) {
		d.place(m, dem, ReasonCrowded, d.limitsFor(dem))
	}
}

// isOverloaded reports whether a model is so crowded that another replica
// justifies a load from the weight store.
//
// It handles the loss of targets that have a busy model's weights on disk: the
// few that are left receive all its requests, and no other target could load
// the model from its own disk. The load may use the reserved loads
// (reservedStoreLoads) only if the model's arrival rate times the fraction of
// its requests above the limit is highWorth or more.
func (d *decider) isOverloaded(dem Demand) bool {
	requests := dem.Waiting + dem.Running
	surplus := requests - overloadedAbove(d.Engine)*d.replicas[dem.Model]

	if surplus <= 0 {
		return false
	}

	return d.freeStoreLoads > reservedStoreLoads || d.Rate[dem.Model]*float64(surplus)/float64(requests) >= highWorth
}
