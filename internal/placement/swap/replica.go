package swap

import (
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// crowdedShare is the part of a target's places that one model's requests
	// may take before another replica is loaded.
	crowdedShare = 1.0 / 3
	// pressedShare is the part that they may take before another replica comes
	// from the weight store even, where its load blocks a target for seconds.
	pressedShare = 2.0 / 3
	// mostAtOnce is how many replicas of one model a round adds.
	mostAtOnce = 3
)

// crowded returns how many requests a replica may have before another is
// loaded. It follows the places of the targets, since what a batch carries
// before its prompts are late differs as much as they do.
func crowded(e *route.Engine) int { return atShare(e, crowdedShare) }

// pressed returns how many requests a replica may have before another is
// loaded even from the weight store.
func pressed(e *route.Engine) int { return atShare(e, pressedShare) }

func atShare(e *route.Engine, share float64) int {
	return max(1, int(share*float64(e.Places(e.Slots))))
}

func (p *planner) meet(w Want) {
	m, known := p.Engine.Models[w.Model]
	if !known {
		return
	}

	switch n := p.copies[w.Model]; {
	case n == 0 && w.Waiting > 0 && p.near[w.Model] > 0:
		p.place(m, w, ForWaiting, p.claim(w))
	case n > 0:
		p.spreadOut(m, w)
	}
}

// spreadOut adds replicas of a crowded model, several at once: when the demand
// moves to another model its requests pile up on one replica within a second,
// and one load after the other would let them wait for all the loads before.
func (p *planner) spreadOut(m route.Model, w Want) {
	most := crowded(p.Engine)
	enough := (w.Waiting + w.Running + most - 1) / most

	for range min(enough-p.copies[m.Name], mostAtOnce) {
		p.place(m, w, ForLoad, p.claim(w))
	}
}

// isPressed reports whether a model is so crowded that another replica is worth a
// load from the weight store.
//
// It answers the loss of the targets that have a busy model's weights on disk:
// the few that are left take all its requests, and no other could load it from a
// disk of its own. The last load that the store has is for models that are
// nowhere, but for a model whose surplus is worth much.
func (p *planner) isPressed(w Want) bool {
	asked := w.Waiting + w.Running
	surplus := asked - pressed(p.Engine)*p.copies[w.Model]

	if surplus <= 0 {
		return false
	}

	return p.store > urgentStore || p.Rate[w.Model]*float64(surplus)/float64(asked) >= muchWorth
}
