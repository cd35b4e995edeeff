package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// serveTime is the assumed time in which a target serves a request. It
	// converts numbers of requests into requests per second.
	serveTime = 2 * time.Second
	// worthFactor is how many times the cost of the evictions a load must be worth
	// to evict models that are in use. A replica that the load fills costs as much
	// as it was worth, so two overloaded models cannot evict each other in turn.
	worthFactor = 2
	// queuedFactor is how many times as many requests must be queued for the model
	// to load as for a model that is evicted for it.
	queuedFactor = 8
	// minResidence is how long a loaded model is not evicted while it is in use:
	// entries learn of the replica and send the requests that were queued for it.
	minResidence = 2 * time.Second
	// speedWeight is the cost, in seconds of delay, of a target without speed for a busy
	// model. Between the slowest and the fastest targets, whose speeds differ by about
	// one, it is as much as two or three running requests (runningWeight).
	speedWeight = 0.05
	// maxSpeed is the greatest speed of a target that is expected.
	maxSpeed = 4
	// reloadTime is how long a request for a model without a replica usually waits
	// until a replica is ready. The requests that arrive in that time, up to
	// maxReloadCost, are added to the cost of evicting a last replica. Without it
	// rarely used models are evicted for each other: a quarter more loads for the same
	// number of refused requests.
	reloadTime    = 2 * time.Second
	maxReloadCost = 0.5
	// crowdedWeight is the part of a request's worth that another replica gains when
	// the request has a slot, but in a crowded batch.
	crowdedWeight = 0.1
)

// siteLoad is the load on all replicas. It weighs a load that an overloaded or
// waiting model needs against the evictions that it takes. It is used for engines
// with small batches (see [route.Engine.SmallBatch]): a burst for one model fills
// the replicas that it has, while most targets are nearly idle.
type siteLoad struct {
	// full is how many requests a target runs concurrently.
	full float64
	// capacity is, for each model, how many requests its replicas serve together,
	// beside the other models on their targets.
	capacity map[string]float64
	// shares are the parts of capacity, by replica.
	shares map[replica]float64
	// running are the running requests by replica.
	running map[replica]int
	// free is, for each serving target, the number of free slots that no load of
	// this round is to fill.
	free map[instance.ID]float64
	// residentAt are the targets that have a model in memory. leastCost is the least
	// cost of evicting a model, by target; it is computed when it is needed, and again
	// when the replicas of one of the target's models have changed.
	residentAt map[string][]*Target
	leastCost  []float64
	// checked is the number of demands, in the order of [Snapshot].Demands, that are
	// known not to be for a model without a copy.
	checked int
	// scratch is reused by victimsByCost.
	scratch []victim
	// scarce reports that the models hardly fit into the memory of all targets together.
	scarce bool
}

// excludeOverdue leaves out the replicas whose loads may never end, if the engine has
// small batches: their models need a replica elsewhere.
func (d *decider) excludeOverdue() {
	if !d.Engine.SmallBatch() {
		return
	}

	for i := range d.Targets {
		t := &d.Targets[i]

		for _, r := range t.Resident {
			key := replica{t.ID, r.Model}
			if !r.Overdue || !t.Serving || d.uncounted[key] {
				continue
			}

			d.uncounted[key] = true
			d.replicas[r.Model]--
		}
	}
}

// countSiteLoad counts the load on all replicas if the engine has small batches.
func (d *decider) countSiteLoad() {
	if !d.Engine.SmallBatch() {
		return
	}

	d.site = &siteLoad{
		full: float64(max(1, d.Engine.Concurrency(d.Engine.Slots))), capacity: make(map[string]float64), shares: make(map[replica]float64), running: make(map[replica]int), free: make(map[instance.ID]float64),
		residentAt: make(map[string][]*Target), leastCost: slices.Repeat([]float64{unknownCost}, len(d.Targets)),
	}

	d.site.scarce = d.isMemoryScarce()

	for i := range d.Targets {
		t := &d.Targets[i]
		if !t.Serving {
			continue
		}

		// Requests for a model that is being unloaded end before the next load does.
		total := 0
		for _, r := range t.Resident {
			total += r.Running
		}

		d.site.free[t.ID] = max(0, d.site.full-float64(total))

		for _, r := range t.Resident {
			key := replica{t.ID, r.Model}
			d.site.running[key] = r.Running
			d.site.residentAt[r.Model] = append(d.site.residentAt[r.Model], t)

			if d.uncounted[key] {
				continue
			}

			share := d.site.shareOf(r.Running, total)
			d.site.shares[key] = share
			d.site.capacity[r.Model] += share
		}
	}
}

// scarceFraction is the part of the memory of all targets from which on the models make
// it scarce. The rest is for further replicas.
const scarceFraction = 0.93

// isMemoryScarce reports whether the engine's models hardly fit into the memory of all
// serving targets. Whatever is then evicted for one model has to be loaded again soon for
// another, and the loads keep targets from serving either. So only models that are not in
// use make room.
func (d *decider) isMemoryScarce() bool {
	all := 0.0
	for _, m := range d.Engine.Models {
		all += m.MB
	}

	return all > scarceFraction*d.usableMB*float64(d.servingTargets())
}

// shareOf returns how many requests a target serves for one of its models, beside
// total requests for all of them: those that run and as many as it has free slots
// for, or on a target with too many requests the model's part of the slots.
func (s *siteLoad) shareOf(running, total int) float64 {
	if float64(total) > s.full {
		return s.full * float64(running) / float64(total)
	}

	return s.full - float64(total-running)
}

// weigh sets what a swap of this round is worth and costs, and adds it to the load.
func (d *decider) weigh(s *Swap) {
	if d.site == nil {
		return
	}

	dem := d.demandOf[s.Load]
	dem.Model = s.Load
	slots := d.slotsAfter(s.Target, s.Unload)
	s.Value = d.loadValue(dem, slots)

	for _, model := range s.Unload {
		s.Cost += d.evictionCost(s.Target, model)
	}

	key := replica{s.Target, s.Load}
	d.site.free[s.Target] = max(0, slots-d.excess(dem))
	d.site.shares[key] = slots
	d.site.capacity[s.Load] += slots

	for _, model := range s.Unload {
		key.model = model
		d.site.capacity[model] -= d.site.shares[key]
		delete(d.site.shares, key)
	}

	for _, model := range append([]string{s.Load}, s.Unload...) {
		for _, t := range d.site.residentAt[model] {
			d.site.leastCost[t.index] = unknownCost
		}
	}
}

// unknownCost means that a cost has not been computed.
const unknownCost = -1

// leastEvictionCost returns a lower bound on the cost of making room on the target,
// which is infinite if no model may be evicted.
func (d *decider) leastEvictionCost(t *Target) float64 {
	if d.site.leastCost[t.index] != unknownCost {
		return d.site.leastCost[t.index]
	}

	least := math.Inf(1)

	for i := range t.Resident {
		if r := &t.Resident[i]; d.isEvictable(r) {
			least = min(least, max(0, d.evictionCost(t.ID, r.Model)))
		}
	}

	d.site.leastCost[t.index] = least

	return least
}

// isEvictable reports whether a model may be evicted while it is in use: it is not
// loading, was not loaded within minResidence and is not the last replica of a model
// whose weights are on no disk.
func (d *decider) isEvictable(r *ResidentModel) bool {
	lastCopy := d.replicas[r.Model] <= 1 && len(d.copiesAt[r.Model]) == 0

	return !r.Loading && !lastCopy && d.Now.Sub(r.Ready) >= minResidence
}

// slotsAfter returns how many slots of the target are free when the running requests
// of the models to be unloaded have ended.
func (d *decider) slotsAfter(id instance.ID, unload []string) float64 {
	slots := d.site.free[id]
	for _, model := range unload {
		slots += float64(d.site.running[replica{id, model}])
	}

	return min(slots, d.site.full)
}

// slotWait returns the cost, in seconds of delay, of a load on a target with fewer
// free slots than the model needs. For a busy model a slow target costs a little more.
func (d *decider) slotWait(t *Target, dem Demand, unload []string) float64 {
	if d.site == nil {
		return 0
	}

	wait := 0.0

	if !d.site.scarce {
		needed := min(d.site.full, max(1, d.excess(dem)))
		wait = serveTime.Seconds() / 2 * (1 - min(1, d.slotsAfter(t.ID, unload)/needed)) //nolint:mnd // A slot becomes free after half of a request on average.
	}

	if t.Speed != 0 && dem.Waiting+dem.Running > crowdedAbove(d.Engine) {
		wait += speedWeight * (1 - min(t.Speed, maxSpeed))
	}

	return wait
}

// requests returns how many requests a model has at once.
func (d *decider) requests(model string) float64 {
	dem := d.demandOf[model]

	return max(float64(dem.Waiting+dem.Running), d.Rate[model]*serveTime.Seconds())
}

// excess returns how many of a model's requests exceed the capacity of its
// replicas. Requests that run are only counted together with those that are
// queued, since the arrival rate says nothing about how long they run.
func (d *decider) excess(dem Demand) float64 {
	return max(0, float64(dem.Waiting+dem.Running)-d.site.capacity[dem.Model])
}

// loadValue returns the number of requests per second that another replica of the
// model would serve on a target with that many free slots and that the current
// replicas don't. Requests that it would take from crowded replicas count
// crowdedWeight each.
func (d *decider) loadValue(dem Demand, slots float64) float64 {
	excess := d.excess(dem)
	crowded := max(0, float64(dem.Waiting+dem.Running-d.replicas[dem.Model]*crowdedAbove(d.Engine))-excess)
	value := min(excess+crowdedWeight*crowded, slots) / serveTime.Seconds()

	if d.replicas[dem.Model] == 0 {
		value = max(value, d.Rate[dem.Model], excess/serveTime.Seconds())
	}

	return value
}

// evictionCost returns the number of requests per second that the model would no
// longer be served when the replica is evicted. Requests that its other replicas
// have room for don't count. The last replica costs its reload as well.
func (d *decider) evictionCost(id instance.ID, model string) float64 {
	share := d.site.shares[replica{id, model}]
	requests, capacity := d.requests(model), d.site.capacity[model]

	cost := (max(0, requests-capacity+share) - max(0, requests-capacity)) / serveTime.Seconds()
	if d.replicas[model] <= 1 {
		cost += min(maxReloadCost, reloadTime.Seconds()*requests/serveTime.Seconds())
	}

	return cost
}

// missingReplicas returns how many replicas the model needs for the requests that
// exceed the capacity of those that it has.
func (d *decider) missingReplicas(dem Demand) int {
	if d.site == nil {
		return 0
	}

	return int(math.Ceil(d.excess(dem) / d.site.full))
}

// mayEvictInUse reports whether there are too many requests for the model's replicas to
// wait until one of a target's models is idle.
func (d *decider) mayEvictInUse(dem Demand) bool {
	return d.excess(dem) >= evictRunningFrom
}

// isLate reports whether requests wait for a model without a replica, and the target
// was reserved for it in vain.
func (d *decider) isLate(dem Demand, t *Target) bool {
	return dem.Waiting > 0 && d.replicas[dem.Model] == 0 && d.timedOut(t.ID, dem.Model)
}

// makeRoomFor returns the models to unload so that the model fits. For engines with
// small batches whose models fit into the memory of all targets (see isMemoryScarce), it
// compares the evictions of makeRoom with those of makeRoomByWorth.
// Another replica of a crowded model is only loaded in place of models that are worth
// less.
func (d *decider) makeRoomFor(t *Target, m route.Model, dem Demand, reason Reason, limits evictionLimits) (models []string, loss float64, wait time.Duration, ok bool) {
	dem.Model = m.Name

	if d.site == nil || d.site.scarce {
		return d.makeRoom(t, m, limits)
	}

	models, loss, wait, ok = d.makeRoomByWorth(t, m, dem)

	if reason == ReasonCrowded {
		return models, loss, wait, ok
	}

	idle, _, idleWait, idleOK := d.makeRoom(t, m, limits)
	if !idleOK {
		return models, loss, wait, ok
	}

	idleLoss := 0.0
	for _, model := range idle {
		idleLoss += d.evictionCost(t.ID, model)
	}

	if ok && wait.Seconds()+evictionWeight*loss < idleWait.Seconds()+evictionWeight*idleLoss {
		return models, loss, wait, ok
	}

	return idle, idleLoss, idleWait, true
}

// makeRoomByWorth returns the models to unload so that the model fits, like makeRoom,
// but includes models that are in use if the load is worth worthFactor times as much
// as they are.
//
// A busy model has running requests at all times, so that without it a model that
// waits, or whose replicas are full, gets no target until the load on others has
// ended. An unload waits for the running requests, which end as usual.
//
// If the target was reserved in vain for a model without a replica, models that have
// another replica are evicted for it, whatever they are worth and however many
// requests are queued for them: otherwise a model that is rarely used would not be
// served while others are overloaded.
func (d *decider) makeRoomByWorth(t *Target, m route.Model, dem Demand) (models []string, cost float64, wait time.Duration, ok bool) {
	late, left, need := d.isLate(dem, t), d.rooms[t.index], needOf(m)
	value := d.loadValue(dem, d.site.free[t.ID])

	if left.fits(need) {
		return nil, 0, 0, value > 0
	}

	if !late && d.leastEvictionCost(t) > value/worthFactor {
		return nil, 0, 0, false
	}

	var chosen []victim

	for _, v := range d.victimsByCost(t, dem, late) {
		if cost+v.loss > value/worthFactor && (!late || d.replicas[v.Model] <= 1) {
			continue
		}

		chosen = append(chosen, v)
		cost += v.loss

		if left.release(d.sizeOf(&v.ResidentModel)); left.fits(need) {
			break
		}
	}

	if !left.fits(need) {
		return nil, 0, 0, false
	}

	// The first ones may be too small to be of use beside the last.
	for i, v := range slices.Backward(chosen) {
		kept := left
		if kept.take(d.sizeOf(&v.ResidentModel)); kept.fits(need) {
			left, cost = kept, cost-v.loss
			chosen = slices.Delete(chosen, i, i+1)
		}
	}

	wait = unloadTime

	for _, v := range chosen {
		models = append(models, v.Model)

		if v.Running > 0 {
			wait = maxRunTime
		}
	}

	return models, cost, wait, true
}

// victimsByCost returns the target's models that may be evicted for the demand, those
// that cost least first. Models that were loaded within minResidence, models for
// which hardly fewer requests are queued (unless late), and the last replicas of
// models whose weights are on no disk are left out, and unless mayEvictInUse, or after
// a failed unload, models in use. The result is valid until the next call.
func (d *decider) victimsByCost(t *Target, dem Demand, late bool) []victim {
	out := d.site.scratch[:0]
	inUse := (late || d.mayEvictInUse(dem)) && !t.UnloadFailed

	for _, r := range t.Resident {
		if !d.isEvictable(&r) {
			continue
		}

		if d.demandOf[r.Model].Waiting*queuedFactor > dem.Waiting && (!late || d.replicas[r.Model] <= 1) {
			continue
		}

		if !inUse && (r.Running > 0 || d.Now.Sub(r.LastUsed) < minIdleTime) {
			continue
		}

		out = append(out, victim{r, d.evictionCost(t.ID, r.Model)})
	}

	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.loss, b.loss),
			cmp.Compare(a.Running, b.Running),
			a.LastUsed.Compare(b.LastUsed),
			cmp.Compare(a.Model, b.Model),
		)
	})

	d.site.scratch = out

	return out
}
