package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// urgentStore is how many loads from the weight store are left for
	// requests that wait.
	urgentStore = 1
	// unknownRate is the requests a second that a model is expected to get of
	// which nothing is known.
	unknownRate = 0.02
	// soughtRate is the requests a second from which on a model is loaded for
	// callers that were refused and may come back: one in the last ten seconds.
	soughtRate = 0.03
	// leastLoad is the least time that a load from the weight store is taken to
	// last, also where the operators say none.
	leastLoad = time.Second
	// never is when a model can be had that is larger than any target.
	never = time.Hour
	// leastWorth is the requests a second that a spare copy must be expected to
	// save: a load blocks its target for seconds.
	leastWorth = 0.05
	// muchWorth is the requests a second that a spare copy must be expected to
	// save to go before what callers wait for.
	muchWorth = 1.0
	// blankShare is the part of the usual number of models at hand below which a
	// target counts as blank: hardly any load there could be a short one.
	blankShare = 0.25
	// nearWeight is the seconds of delay that a load from the weight store costs
	// for each model that its target has at hand and that must wait meanwhile.
	nearWeight = 0.1
)

// storeLoad is a load from the weight store that would gain something.
type storeLoad struct {
	model route.Model
	want  Want
	why   Reason
	// worth is how many requests a second the load is expected to save.
	worth float64
}

// loadFromStore begins the loads that only the weight store can serve, the
// most worth first, and foretells when the others can be had.
//
// It answers the replacement of targets by empty ones. The weights on their
// disks go with them, and the store brings few models at a time: while it is
// busy with rare ones, all callers of a busy model are refused whose targets
// have left.
func (p *planner) loadFromStore() {
	ahead := p.ahead()

	for _, l := range p.storeLoads() {
		switch {
		case l.why == ForLater:
			p.loadAhead(l, ahead)
		case p.store > 0:
			p.place(l.model, l.want, l.why, claim{gain: l.worth, hurried: l.worth >= many})
		}

		if l.why == ForWaiting && p.copies[l.model.Name] == 0 {
			p.foretell(l.model)
		}
	}
}

// isSought reports whether callers wait for a model, or were told to come back
// for it.
func (p *planner) isSought(model string) bool {
	return p.wants[model].Waiting > 0 || p.Habit[model] >= soughtRate
}

// promised returns since when callers are told when they can have a model.
func (p *planner) promised(model string) time.Time {
	if since, ok := p.Promised[model]; ok {
		return since
	}

	return p.Now
}

// storeLoads returns what the weight store could load, the most worth first. Of
// those that are worth the same within a factor of two the first promised comes
// first, so that what callers were told holds.
func (p *planner) storeLoads() []storeLoad {
	var (
		out    []storeLoad
		models []route.Model
	)

	for _, m := range p.Engine.Models {
		if m.MB > p.room {
			if p.isSought(m.Name) {
				p.ready[m.Name] = never
			}

			continue
		}

		l := storeLoad{model: m, want: p.wants[m.Name], why: ForLater}
		l.want.Model = m.Name
		rate := max(p.Rate[m.Name], p.Habit[m.Name], unknownRate)

		switch {
		case p.near[m.Name] == 0 && p.isSought(m.Name):
			l.why, l.worth = ForWaiting, rate+float64(l.want.Waiting)/max(leastLoad, p.fromStore(m)).Seconds()
		case p.near[m.Name] == 0:
			l.worth = rate
		default:
			l.worth = rate * math.Pow(p.Risk, float64(p.near[m.Name]))
		}

		if p.near[m.Name] == 0 || l.worth >= leastWorth {
			out = append(out, l)
			models = append(models, m)
		}
	}

	spread := p.spreads(models)

	slices.SortFunc(out, func(a, b storeLoad) int {
		return cmp.Or(
			-cmp.Compare(math.Round(math.Log2(a.worth)), math.Round(math.Log2(b.worth))),
			p.promised(a.model.Name).Compare(p.promised(b.model.Name)),
			-cmp.Compare(a.worth, b.worth),
			cmp.Compare(spread[a.model.Name], spread[b.model.Name]),
			cmp.Compare(a.model.Name, b.model.Name),
		)
	})

	return out
}

// ahead returns the targets that may be given a load from the weight store for
// which nobody waits: the blank ones first, and others while most have no
// order.
func (p *planner) ahead() []*Target {
	free := p.free()
	mostIdle := len(free) > int(idleShare*float64(p.serving()))
	free = slices.DeleteFunc(free, func(t *Target) bool { return !mostIdle && !p.blank(t) })
	slices.SortStableFunc(free, func(a, b *Target) int { return cmp.Compare(len(a.AtHand), len(b.AtHand)) })

	return free
}

// blank reports whether hardly any model is at hand on the target.
func (p *planner) blank(t *Target) bool {
	return float64(len(t.AtHand)) <= blankShare*p.usual
}

// loadAhead loads a model on one of the targets that have room for it. What is
// worth much may also take the last load that the store has, and the place of
// what is worth less.
func (p *planner) loadAhead(l storeLoad, targets []*Target) {
	much := l.worth >= muchWorth
	if p.store <= urgentStore && !much || p.store <= 0 {
		return
	}

	gain := 0.0
	if much {
		gain, targets = l.worth/2, p.free() //nolint:mnd // What makes way must be worth half at most.
	}

	if m, ok := p.cheapest(l, targets, gain, much); ok {
		p.begin(m)
	}
}

// cheapest returns the load on that of the targets where it costs others least,
// and no more than the gain.
func (p *planner) cheapest(l storeLoad, targets []*Target, gain float64, much bool) (Move, bool) {
	var best Move

	least := math.Inf(1)

	for _, t := range targets {
		if p.busy[t.ID] || holds(t, l.model.Name) || t.AtHand[l.model.Name] != 0 || !much && !p.fits(t, l.model) {
			continue
		}

		victims, loss, _, ok := p.makeRoom(t, l.model, claim{gain: gain})
		cost := lossWeight*loss + nearWeight*float64(len(t.AtHand))

		if ok && loss <= gain && cost < least {
			least = cost
			best = Move{Target: t.ID, Unload: victims, Load: l.model.Name, Takes: p.fromStore(l.model), From: target.TierRemote, For: ForLater}
		}
	}

	return best, !math.IsInf(least, 1)
}

// foretell notes when a model can be had that the weight store cannot load
// yet: after the loads in hand, and after those that are worth more.
func (p *planner) foretell(m route.Model) {
	if len(p.ends) == 0 {
		return
	}

	first := 0
	for i, end := range p.ends {
		if end < p.ends[first] {
			first = i
		}
	}

	p.ends[first] += p.fromStore(m)
	p.ready[m.Name] = p.ends[first]
}
