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
	// reserved for models without a replica that requests wait for, or that
	// refused clients may come back for.
	reservedStoreLoads = 1
	// defaultRate is a lower bound on the arrival rate, in requests per second,
	// that is used to compute the worth of a load. It also applies to models
	// without a recorded rate.
	defaultRate = 0.02
	// wantedRate is the arrival rate, in requests per second, at which a model
	// is loaded for clients that were refused and may come back. It is compared
	// with [Snapshot].LongTermRate, which a single request keeps at or above it
	// for about ten seconds.
	wantedRate = 0.03
	// minStoreLoadTime is a lower bound on the load time that is used to
	// compute the worth of a load from the weight store, where the number of
	// waiting requests is divided by it. It also applies where the
	// configuration gives no duration.
	minStoreLoadTime = time.Second
	// never is the ready time that is reported for a model that does not fit
	// into any target's memory.
	never = time.Hour
	// minSpareWorth is the minimum worth of a load of a spare replica, in requests
	// per second, because the load blocks a target for seconds.
	minSpareWorth = 0.05
	// highWorth is the worth, in requests per second, from which a load ahead of
	// demand, or another replica of an overloaded model, may use the reserved
	// loads (reservedStoreLoads) and so go before the models that clients wait
	// for.
	highWorth = 1.0
	// blankFraction is the largest fraction of the mean number of cached models
	// that a target may have cached to count as blank. Nearly every load on a
	// blank target comes from the weight store anyway.
	blankFraction = 0.25
	// blockedWeight is the cost, in seconds of delay, of a load from the weight
	// store for each model that its target has cached, because loads of those
	// models must wait for it.
	blockedWeight = 0.1
)

// storeLoad is a possible load from the weight store, with what it is worth.
type storeLoad struct {
	model  route.Model
	demand Demand
	reason Reason
	// worth is the number of requests per second that the load is predicted to
	// save.
	worth float64
}

// loadFromStore starts loads from the weight store, those with the highest
// worth first: of models whose weights no target has, and of spare replicas of
// other models. It also predicts when the waiting models that it could not
// start to load will be ready.
//
// It handles the replacement of targets by empty ones. The weights on the disks
// of the old targets are lost with them, and the store loads few models at a
// time. If the loads were not sorted by worth, the store would be busy with
// rarely used models while all requests for a busy model whose targets have
// left are refused.
func (d *decider) loadFromStore() {
	ahead := d.aheadTargets()
	d.rankingStore = true

	for _, l := range d.storeLoads() {
		switch {
		case l.reason == ReasonAhead:
			d.loadAhead(l, ahead)
		case l.reason == ReasonCrowded && d.keepsStoreFree(&l):
		case d.freeStoreLoads > 0:
			d.place(l.model, l.demand, l.reason, evictionLimits{maxLoss: l.worth, evictRunning: l.worth >= evictRunningFrom})
		}

		if l.reason == ReasonWaiting && d.replicas[l.model.Name] == 0 {
			d.predictReady(l.model)
		}
	}
}

// isWanted reports whether requests wait for a model, or have arrived at
// wantedRate or more, so that refused clients may come back for it.
func (d *decider) isWanted(model string) bool {
	return d.demandOf[model].Waiting > 0 || d.LongTermRate[model] >= wantedRate
}

// promisedSince returns the time since which clients have been given a ready
// time for the model, or now if they have not.
func (d *decider) promisedSince(model string) time.Time {
	if since, ok := d.PredictedSince[model]; ok {
		return since
	}

	return d.Now
}

// storeLoads returns the models that the weight store could load, those with
// the highest worth first. Loads whose worth rounds to the same power of two
// are first sorted by their promises, the earliest first, so that the ready
// times that clients have received hold.
func (d *decider) storeLoads() []storeLoad {
	var (
		out    []storeLoad
		models []route.Model
	)

	pressed := d.site != nil && d.isPressed()

	for _, m := range d.Engine.Models {
		if size(m.MB).known() && m.MB > d.usableMB {
			if d.isWanted(m.Name) {
				d.readyIn[m.Name] = never
			}

			continue
		}

		if pressed && d.Rate[m.Name] == 0 && d.LongTermRate[m.Name] == 0 && !d.isWanted(m.Name) {
			continue
		}

		l := d.storeLoadOf(m)
		if d.nearby[m.Name] == 0 || l.worth >= minSpareWorth {
			out = append(out, l)
			models = append(models, m)
		}
	}

	keys := d.shuffleKeys(models)

	slices.SortFunc(out, func(a, b storeLoad) int {
		return cmp.Or(
			-cmp.Compare(math.Round(math.Log2(a.worth)), math.Round(math.Log2(b.worth))),
			d.promisedSince(a.model.Name).Compare(d.promisedSince(b.model.Name)),
			-cmp.Compare(a.worth, b.worth),
			cmp.Compare(keys[a.model.Name], keys[b.model.Name]),
			cmp.Compare(a.model.Name, b.model.Name),
		)
	})

	return out
}

// storeLoadOf returns the load of a model with its reason and worth.
func (d *decider) storeLoadOf(m route.Model) storeLoad {
	l := storeLoad{model: m, demand: d.demandOf[m.Name], reason: ReasonAhead}
	l.demand.Model = m.Name
	rate := max(d.Rate[m.Name], d.LongTermRate[m.Name], defaultRate)

	switch {
	case d.nearby[m.Name] == 0 && d.isWanted(m.Name):
		l.reason, l.worth = ReasonWaiting, rate+float64(l.demand.Waiting)/max(minStoreLoadTime, d.storeLoadTime(m)).Seconds()

		return l
	case d.nearby[m.Name] == 0:
		l.worth = rate

		return l
	}

	l.worth = rate * math.Pow(d.LossRisk, float64(d.nearby[m.Name]))

	if excess := d.storeExcess(l.demand); excess > l.worth {
		l.reason, l.worth = ReasonCrowded, excess
	}

	return l
}

// aheadTargets returns the targets that may load a model from the weight store
// ahead of demand, those with the fewest cached models first. Targets that are
// not blank are included only while most targets have no order.
func (d *decider) aheadTargets() []*Target {
	free := d.freeTargets()
	mostIdle := len(free) > int(reservedTargets*float64(d.servingTargets()))
	free = slices.DeleteFunc(free, func(t *Target) bool { return !mostIdle && !d.isBlank(t) })
	slices.SortStableFunc(free, func(a, b *Target) int { return cmp.Compare(len(a.Cached), len(b.Cached)) })

	return free
}

// isBlank reports whether the target has hardly any models cached.
func (d *decider) isBlank(t *Target) bool {
	return float64(len(t.Cached)) <= blankFraction*d.meanCached
}

// loadAhead loads a model on one of the given targets that have room for it. If
// the load is worth highWorth or more, it may instead use any free target and
// the reserved loads (reservedStoreLoads), and evict models without running
// requests that together are worth at most half as much.
func (d *decider) loadAhead(l storeLoad, targets []*Target) {
	high := l.worth >= highWorth
	if d.freeStoreLoads <= reservedStoreLoads && !high || d.freeStoreLoads <= 0 {
		return
	}

	maxLoss := 0.0
	if high {
		maxLoss, targets = l.worth/2, d.freeTargets() //nolint:mnd // Evicted models may be worth at most half as much.
	}

	if s, ok := d.cheapest(l, targets, maxLoss, high); ok {
		d.add(s)
	}
}

// cheapest returns the swap on the target where it costs other models least, or
// false if there is no such target. The loss of its evictions does not exceed
// maxLoss. Unless high is set, only targets with enough free memory are
// considered.
func (d *decider) cheapest(l storeLoad, targets []*Target, maxLoss float64, high bool) (Swap, bool) {
	var best Swap

	least := math.Inf(1)

	for _, t := range targets {
		if d.ordered[t.ID] || holds(t, l.model.Name) || t.Cached[l.model.Name] != 0 || !high && !d.fits(t, l.model) {
			continue
		}

		victims, loss, _, ok := d.makeRoom(t, l.model, evictionLimits{maxLoss: maxLoss})
		cost := evictionWeight*loss + blockedWeight*float64(len(t.Cached))

		if ok && loss <= maxLoss && cost < least {
			least = cost
			best = Swap{Target: t.ID, Unload: victims, Load: l.model.Name, LoadTime: d.storeLoadTime(l.model), Tier: target.TierRemote, Reason: ReasonAhead}
		}
	}

	return best, !math.IsInf(least, 1)
}

// predictReady predicts when a model that the weight store cannot load yet will
// be ready: its load starts after the loads in flight and after the waiting
// loads of higher worth. If no load from the store is in flight, it predicts
// nothing.
func (d *decider) predictReady(m route.Model) {
	if len(d.storeLoadsEndIn) == 0 {
		return
	}

	earliest := 0
	for i, end := range d.storeLoadsEndIn {
		if end < d.storeLoadsEndIn[earliest] {
			earliest = i
		}
	}

	d.storeLoadsEndIn[earliest] += d.storeLoadTime(m)
	d.readyIn[m.Name] = d.storeLoadsEndIn[earliest]
}
