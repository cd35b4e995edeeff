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
	// maxNewReplicas is the number of replicas of one model that a round adds at
	// most.
	maxNewReplicas = 3
)

// crowdedAbove returns how many requests a replica may have before another is
// loaded. It is a fraction of the target's slots, because the number of requests
// that a batch can carry before their prompts are processed late varies as much
// as the number of slots.
func crowdedAbove(e *route.Engine) int { return fractionOfSlots(e, crowdedFraction) }

// overloadedAbove returns how many requests a replica may have before another is
// loaded even from the weight store.
func overloadedAbove(e *route.Engine) int { return fractionOfSlots(e, overloadedFraction) }

func fractionOfSlots(e *route.Engine, share float64) int {
	return max(1, int(share*float64(e.Places(e.Slots))))
}

func (p *decider) placeDemanded(w Want) {
	m, known := p.Engine.Models[w.Model]
	if !known {
		return
	}

	switch n := p.replicas[w.Model]; {
	case n == 0 && w.Waiting > 0 && p.nearby[w.Model] > 0:
		p.place(m, w, ReasonWaiting, p.limitsFor(w))
	case n > 0:
		p.addReplicas(m, w)
	}
}

// addReplicas adds replicas of a crowded model, several at once. When demand
// moves to another model, its requests accumulate on one replica within a
// second. If the loads were started one after another, requests would wait for
// all earlier loads.
func (p *decider) addReplicas(m route.Model, w Want) {
	most := crowdedAbove(p.Engine)
	enough := (w.Waiting + w.Running + most - 1) / most

	for range min(enough-p.replicas[m.Name], maxNewReplicas) {
		p.place(m, w, ReasonCrowded, p.limitsFor(w))
	}
}

// isOverloaded reports whether a model is so crowded that another replica
// justifies a load from the weight store.
//
// It handles the loss of targets that have a busy model's weights on disk: the
// few that are left receive all its requests, and no other target could load the
// model from its own disk. The last load of the store is reserved for models
// without a replica, unless the requests above the limit arrive at highWorth or
// more.
func (p *decider) isOverloaded(w Want) bool {
	asked := w.Waiting + w.Running
	surplus := asked - overloadedAbove(p.Engine)*p.replicas[w.Model]

	if surplus <= 0 {
		return false
	}

	return p.freeStoreLoads > reservedStoreLoads || p.Rate[w.Model]*float64(surplus)/float64(asked) >= highWorth
}
