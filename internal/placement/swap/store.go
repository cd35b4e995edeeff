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
	// reservedStoreLoads is the number of loads from the weight store that are
	// reserved for waiting requests.
	reservedStoreLoads = 1
	// defaultRate is the arrival rate, in requests per second, that is assumed
	// for a model without a recorded rate.
	defaultRate = 0.02
	// wantedRate is the arrival rate, in requests per second, at which a model
	// is loaded for clients that were refused and may come back. It is about one
	// request in the last ten seconds.
	wantedRate = 0.03
	// minStoreLoadTime is the lower bound on the duration of a load from the
	// weight store. It also applies where the configuration gives no duration.
	minStoreLoadTime = time.Second
	// never is the ready time of a model that is larger than any target.
	never = time.Hour
	// minSpareWorth is the number of requests per second that a spare replica
	// must be predicted to save, because its load blocks a target for seconds.
	minSpareWorth = 0.05
	// highWorth is the number of requests per second that a spare replica must
	// be predicted to save to be loaded before the models that clients wait for.
	highWorth = 1.0
	// blankFraction is the fraction of the mean number of cached models at or
	// below which a target counts as blank: hardly any load there could be a
	// short one.
	blankFraction = 0.25
	// blockedWeight is the cost, in seconds of delay, of a load from the weight
	// store for each model that its target has cached, because loads of those
	// models must wait for it.
	blockedWeight = 0.1
)

// storeLoad is a useful load from the weight store.
type storeLoad struct {
	model route.Model
	want  Want
	why   Reason
	// worth is the number of requests per second that the load is predicted to
	// save.
	worth float64
}

// loadFromStore starts the loads that only the weight store can serve, those
// with the highest worth first, and predicts when the other models will be
// ready.
//
// It handles the replacement of targets by empty ones. The weights on the disks
// of the old targets are lost with them, and the store loads few models at a
// time. Without an order by worth, the store would be busy with rarely used
// models while all requests for a busy model whose targets have left are
// refused.
func (p *decider) loadFromStore() {
	ahead := p.aheadTargets()

	for _, l := range p.storeLoads() {
		switch {
		case l.why == ReasonAhead:
			p.loadAhead(l, ahead)
		case p.freeStoreLoads > 0:
			p.place(l.model, l.want, l.why, evictionLimits{maxLoss: l.worth, evictRunning: l.worth >= evictRunningFrom})
		}

		if l.why == ReasonWaiting && p.replicas[l.model.Name] == 0 {
			p.predictReady(l.model)
		}
	}
}

// isWanted reports whether requests wait for a model, or clients have been told
// to come back for it.
func (p *decider) isWanted(model string) bool {
	return p.demandOf[model].Waiting > 0 || p.Habit[model] >= wantedRate
}

// promisedSince returns the time since which clients have been given a ready
// time for the model, or now if they have not.
func (p *decider) promisedSince(model string) time.Time {
	if since, ok := p.Promised[model]; ok {
		return since
	}

	return p.Now
}

// storeLoads returns the models that the weight store could load, those with the
// highest worth first. Among loads whose worth is the same within a factor of
// two, the model with the earliest promise comes first, so that the ready times
// that clients have received hold.
func (p *decider) storeLoads() []storeLoad {
	var (
		out    []storeLoad
		models []route.Model
	)

	for _, m := range p.Engine.Models {
		if m.MB > p.usableMB {
			if p.isWanted(m.Name) {
				p.readyIn[m.Name] = never
			}

			continue
		}

		l := storeLoad{model: m, want: p.demandOf[m.Name], why: ReasonAhead}
		l.want.Model = m.Name
		rate := max(p.Rate[m.Name], p.Habit[m.Name], defaultRate)

		switch {
		case p.nearby[m.Name] == 0 && p.isWanted(m.Name):
			l.why, l.worth = ReasonWaiting, rate+float64(l.want.Waiting)/max(minStoreLoadTime, p.storeLoadTime(m)).Seconds()
		case p.nearby[m.Name] == 0:
			l.worth = rate
		default:
			l.worth = rate * math.Pow(p.Risk, float64(p.nearby[m.Name]))
		}

		if p.nearby[m.Name] == 0 || l.worth >= minSpareWorth {
			out = append(out, l)
			models = append(models, m)
		}
	}

	spread := p.shuffleKeys(models)

	slices.SortFunc(out, func(a, b storeLoad) int {
		return cmp.Or(
			-cmp.Compare(math.Round(math.Log2(a.worth)), math.Round(math.Log2(b.worth))),
			p.promisedSince(a.model.Name).Compare(p.promisedSince(b.model.Name)),
			-cmp.Compare(a.worth, b.worth),
			cmp.Compare(spread[a.model.Name], spread[b.model.Name]),
			cmp.Compare(a.model.Name, b.model.Name),
		)
	})

	return out
}

// aheadTargets returns the targets that may load a model from the weight store
// ahead of demand, those with the fewest cached models first. Targets that are
// not blank are included only while most targets have no order.
func (p *decider) aheadTargets() []*Target {
	free := p.freeTargets()
	mostIdle := len(free) > int(reservedTargets*float64(p.servingTargets()))
	free = slices.DeleteFunc(free, func(t *Target) bool { return !mostIdle && !p.isBlank(t) })
	slices.SortStableFunc(free, func(a, b *Target) int { return cmp.Compare(len(a.AtHand), len(b.AtHand)) })

	return free
}

// isBlank reports whether the target has hardly any models cached.
func (p *decider) isBlank(t *Target) bool {
	return float64(len(t.AtHand)) <= blankFraction*p.meanCached
}

// loadAhead loads a model on one of the targets that have room for it. A load of
// high worth may also use the store loads that are reserved for waiting
// requests, and evict models of lower worth.
func (p *decider) loadAhead(l storeLoad, targets []*Target) {
	much := l.worth >= highWorth
	if p.freeStoreLoads <= reservedStoreLoads && !much || p.freeStoreLoads <= 0 {
		return
	}

	gain := 0.0
	if much {
		gain, targets = l.worth/2, p.freeTargets() //nolint:mnd // What makes way must be worth half at most.
	}

	if m, ok := p.cheapest(l, targets, gain, much); ok {
		p.add(m)
	}
}

// cheapest returns the swap on the target where it costs other models least. The
// loss of its evictions does not exceed maxLoss.
func (p *decider) cheapest(l storeLoad, targets []*Target, gain float64, much bool) (Move, bool) {
	var best Move

	least := math.Inf(1)

	for _, t := range targets {
		if p.ordered[t.ID] || holds(t, l.model.Name) || t.AtHand[l.model.Name] != 0 || !much && !p.fits(t, l.model) {
			continue
		}

		victims, loss, _, ok := p.makeRoom(t, l.model, evictionLimits{maxLoss: gain})
		cost := evictionWeight*loss + blockedWeight*float64(len(t.AtHand))

		if ok && loss <= gain && cost < least {
			least = cost
			best = Move{Target: t.ID, Unload: victims, Load: l.model.Name, Takes: p.storeLoadTime(l.model), From: target.TierRemote, For: ReasonAhead}
		}
	}

	return best, !math.IsInf(least, 1)
}

// predictReady predicts when a model that the weight store cannot load yet will
// be ready: after the loads in flight and after the waiting loads of higher
// worth.
func (p *decider) predictReady(m route.Model) {
	if len(p.storeLoadsEndIn) == 0 {
		return
	}

	first := 0
	for i, end := range p.storeLoadsEndIn {
		if end < p.storeLoadsEndIn[first] {
			first = i
		}
	}

	p.storeLoadsEndIn[first] += p.storeLoadTime(m)
	p.readyIn[m.Name] = p.storeLoadsEndIn[first]
}
