// Package swap decides which model a target loads next and which models it
// unloads to make room. Its decisions are pure functions of their input: the
// package does no I/O and reads no clock.
//
// It is built for many rarely used models: within a few seconds, more models
// are requested than fit into memory, each by one or two requests, and the
// weights of every model are on the disks of a few targets. A load from disk
// takes one or two seconds, which a client can wait for. A model is therefore
// loaded as soon as a request waits for it, and the models that carry the
// fewest requests are evicted.
package swap

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// ResidentModel is a model that is loaded, or being loaded, on a target.
type ResidentModel struct {
	Model string
	// Running is the number of requests that run on the model, over all entries.
	Running int
	// LastUsed is when a request last ran or waited there; zero means never.
	LastUsed time.Time
	// MB is the largest size that is known of the model as it is on the target. Zero means
	// that only the configuration may know one.
	MB float64
	// Loading reports that the load is still in progress.
	Loading bool
	// Overdue reports that the load has taken much longer than planned and may never
	// end.
	Overdue bool
	// Ready is when the load ended or will end; zero means long ago.
	Ready time.Time
}

// Target is the lease holder's state of a target.
type Target struct {
	ID instance.ID
	// Software is the version of the target's program.
	Software instance.Software
	// AcceptsOrders reports that no order is in flight there and that the target
	// accepts new ones.
	AcceptsOrders bool
	// OrderEndsIn is the predicted time until the order in flight ends.
	OrderEndsIn time.Duration
	// Serving reports that entries send requests there.
	Serving  bool
	Resident []ResidentModel
	// Cached is, for each model, the fastest tier of the target that has its
	// weights. A model that is missing is loaded from the weight store.
	Cached map[string]target.Tier
	// Running is the number of requests that run on the target.
	Running int
	// Speed is the target's speed in relation to the mean of its service; zero means
	// unknown and counts as 1.
	Speed float64
	// RateLimit is the rate of requests that the target accepts.
	RateLimit ratelimit.Limit
	// UnloadFailed reports that an order failed there recently, as when the running
	// requests of a model to be unloaded did not end in time. Models that are in use
	// stay on such a target.
	UnloadFailed bool
	// RestEndsIn is the time until the end of the rest that the target has asked for.
	RestEndsIn time.Duration
	// ReservedMB is memory that must stay free, because an order to a former process of
	// the target may still be carried out.
	ReservedMB float64

	// index is the target's position in [Snapshot].Targets, set by Decide on its copy.
	index int
}

// Demand is the demand for one model, summed over all entries.
type Demand struct {
	Model            string
	Waiting, Running int
	// Deadline is the earliest deadline of the waiting requests.
	Deadline time.Time
	// Goal is the earliest time by which a waiting request should start, among
	// those that can still start on time; zero means that there is none.
	Goal     time.Time
	Priority int
}

// Snapshot is the complete input of a decision round.
type Snapshot struct {
	Now    time.Time
	Engine *route.Engine
	// Targets are sorted by id.
	Targets []Target
	Demands []Demand
	// Resumed is, for each model, the software of the streams that requests resume and that
	// no target which holds the model may go on with.
	Resumed map[string][]instance.Software
	// Rate is the recent arrival rate of each model in requests per second,
	// refused requests included.
	Rate map[string]float64
	// LongTermRate is the same rate over a longer window, for loads whose benefit
	// should last.
	LongTermRate map[string]float64
	// PredictedSince is, for each model that the weight store could not load yet,
	// the time since which clients have been given a ready time.
	PredictedSince map[string]time.Time
	// LossRisk is the probability that a target is lost before its models have
	// another replica.
	LossRisk float64
	// FreeStoreLoads is the number of loads from the weight store that may start
	// now, and StoreLoadsEndIn holds the predicted remaining times of those in
	// flight.
	FreeStoreLoads  int
	StoreLoadsEndIn []time.Duration
	// Reservations are those of the rounds before.
	Reservations Reservations
	// StoreSlowdown is the factor by which the loads in flight slow down another
	// load from the weight store; zero counts as one.
	StoreSlowdown float64
}

// Swap is a load together with the unloads that make room for it.
type Swap struct {
	Target instance.ID
	Unload []string
	Load   string
	// LoadTime is the predicted duration of the load once the engine has accepted
	// it.
	LoadTime time.Duration
	Tier     target.Tier
	// FreeMB is the memory that is assumed to be free once the unloads have ended, and
	// ReservedMB what is kept beside it for late orders.
	FreeMB, ReservedMB float64
	// Reason says why the model is loaded.
	Reason Reason
	// Value is the number of requests per second that the load serves and that
	// nothing else would, and Cost how many the evicted models serve. Both are
	// zero for engines with large batches.
	Value, Cost float64
}

// Decisions is the result of a decision round.
type Decisions struct {
	// Swaps are the loads to start now: first those of models that a target has
	// loaded or cached and that have demand, by urgency, then loads from the
	// weight store, by worth, then other loads ahead of demand.
	Swaps []Swap
	// ReadyIn is the predicted time until a model is ready, for models that
	// requests wait for, or that refused clients may come back for, and that
	// the weight store cannot load yet. For such a model that does not fit into
	// any target's memory, it is the constant never.
	ReadyIn map[string]time.Duration
	// Reserved are the loads that could not start in this round, with the
	// predicted time until they can. It is empty for engines with large batches.
	Reserved map[Reservation]time.Duration
}

// Reason says why a model is loaded.
type Reason string

// Reasons for a load.
const (
	// ReasonWaiting means that the model has no replica and that requests wait
	// for it or refused clients may come back for it.
	ReasonWaiting Reason = "waiting"
	// ReasonCrowded means that the model's replicas are crowded.
	ReasonCrowded Reason = "crowded"
	// ReasonResumed means that streams are resumed that only targets of the software
	// which began them may go on with, and none of these holds the model.
	ReasonResumed Reason = "resumed"
	// ReasonAhead means that the model is loaded ahead of demand: into free
	// memory or, if the load is worth highWorth or more, possibly in place of
	// models that together are worth at most half as much.
	ReasonAhead Reason = "later"
)

// decider collects the swaps of one round. Each of them takes those before it
// into account.
type decider struct {
	*Snapshot

	swaps []Swap
	// ordered are the targets that have a swap in this round.
	ordered map[instance.ID]bool
	// reserved is, for each target, the total load time of the models that this
	// round has assigned to it but that it cannot load yet.
	reserved map[instance.ID]time.Duration
	demandOf map[string]Demand
	// replicas is the number of serving targets on which the model is loaded or
	// loading, with the swaps of this round. It does not include replicas on
	// targets whose rate limits are used up by other models, or that rest. nearby also counts the serving
	// targets that have its weights in host memory or on disk, but not the
	// swaps of this round.
	replicas, nearby map[string]int
	// uncounted are the replicas that replicas does not include.
	uncounted map[replica]bool
	// restEndsIn is, for each model that only resting targets hold, the time until the
	// first of them accepts requests.
	restEndsIn map[string]time.Duration
	// meanCached is the mean number of cached models per serving target.
	meanCached float64
	// contention holds, for each serving target that accepts orders, the waiting
	// models without a replica whose weights the target has in host memory or on
	// disk. Each is weighted by one over the number of such targets.
	contention map[instance.ID][]contender
	// usableMB is a target's memory without the part that is reserved for
	// adapters.
	usableMB       float64
	freeStoreLoads int
	// storeLoadsEndIn holds the remaining times of the weight store's loads in
	// flight.
	storeLoadsEndIn []time.Duration
	readyIn         map[string]time.Duration
	// rooms are the rooms of the targets, and idleRooms what they would be without the models
	// that are idle, both in the order of Targets.
	rooms, idleRooms []room
	// copiesAt are the serving targets that have a model's weights in host memory or
	// on disk, in the order of Targets.
	copiesAt map[string][]*Target
	// site is nil for engines with large batches.
	site *siteLoad
	// rankingStore reports that the loads from the weight store are being decided.
	rankingStore bool
	// pending are the loads that could not start in this round.
	pending map[Reservation]time.Duration
}

// Decide decides which swaps to start now.
func Decide(s *Snapshot) Decisions {
	d := &decider{
		Snapshot: s, ordered: make(map[instance.ID]bool), reserved: make(map[instance.ID]time.Duration), demandOf: make(map[string]Demand, len(s.Demands)),
		replicas: make(map[string]int), nearby: make(map[string]int), usableMB: UsableMB(s.Engine), freeStoreLoads: s.FreeStoreLoads,
		storeLoadsEndIn: slices.Clone(s.StoreLoadsEndIn), readyIn: make(map[string]time.Duration),
	}

	for _, dem := range s.Demands {
		d.demandOf[dem.Model] = dem
	}

	d.indexTargets()
	d.indexCopies()
	d.countReplicas()
	d.excludeOverdue()
	d.countContention()
	d.countSiteLoad()

	for _, dem := range d.byUrgency() {
		d.placeResumed(dem)
		d.placeDemanded(dem)
	}

	d.loadFromStore()
	d.loadAheadFromCache()

	return Decisions{Swaps: d.swaps, ReadyIn: d.readyIn, Reserved: d.pending}
}

// countReplicas counts where models are loaded and cached.
func (d *decider) countReplicas() {
	total, serving := 0, 0

	for i := range d.Targets {
		t := &d.Targets[i]
		if !t.Serving {
			continue
		}

		total += len(t.Cached)
		serving++

		for _, r := range t.Resident {
			if !t.RateLimit.Stated && t.RestEndsIn == 0 {
				d.replicas[r.Model]++
			}

			if t.Cached[r.Model] == 0 {
				d.nearby[r.Model]++
			}
		}

		for model := range t.Cached {
			d.nearby[model]++
		}
	}

	d.meanCached = float64(total) / float64(max(1, serving))
	d.countLimitedReplicas()
	d.countRestingReplicas()
}

// add adds a swap to the round.
func (d *decider) add(s Swap) {
	if s.Tier == target.TierRemote {
		d.freeStoreLoads--
		d.storeLoadsEndIn = append(d.storeLoadsEndIn, s.LoadTime)
	}

	d.weigh(&s)
	d.recordRoom(&s)

	d.ordered[s.Target] = true
	d.replicas[s.Load]++
	d.swaps = append(d.swaps, s)

	for _, model := range s.Unload {
		if !d.uncounted[replica{s.Target, model}] {
			d.replicas[model]--
		}
	}
}

// candidate is a target for a load, with what the load would cost there.
type candidate struct {
	swap Swap
	cost float64
	// free reports that the target could start the load now.
	free bool
	// certain reports that the target can start the load when its order in flight
	// has ended. startsIn is the predicted time until the target accepts the order,
	// and readyIn that until the load has ended.
	certain           bool
	startsIn, readyIn time.Duration
}

// place starts the load on the target where the model is ready soonest at the
// least cost to other models. If that target cannot start the load yet, because
// an order is in flight there or its memory is in use, no load starts in this
// round and the target's time is reserved.
//
// Waiting for such a target avoids loads from the weight store while the
// targets that have the weights on disk are busy for a second. A load from the
// store takes six seconds, during which its target accepts no other order.
// After a few such loads, the targets that have the next models' weights on
// disk are blocked, and these models must be loaded from the store as well.
func (d *decider) place(m route.Model, dem Demand, reason Reason, limits evictionLimits) {
	d.start(d.best(m, dem, reason, limits))
}

// start starts the load on the best target, which may be nil, or reserves its time.
func (d *decider) start(best *candidate) {
	if best == nil {
		return
	}

	if !best.free {
		d.reserve(best)

		return
	}

	d.add(best.swap)
}

// reserve records a load that its target cannot start yet.
func (d *decider) reserve(c *candidate) {
	id := c.swap.Target

	if d.site != nil {
		if d.pending == nil {
			d.pending = make(map[Reservation]time.Duration)
		}

		d.pending[Reservation{id, c.swap.Load}] = c.startsIn
	}

	d.reserved[id] += c.swap.LoadTime
}

func holds(t *Target, model string) bool {
	return slices.ContainsFunc(t.Resident, func(r ResidentModel) bool { return r.Model == model })
}

// evictionWeight converts the eviction of a model into seconds of delay:
// evicting the only replica of a model with one request per second costs as
// much as two seconds of delay.
const evictionWeight = 2.0

// contentionWeight is the cost, in seconds of delay, of using a target that is
// the only one with the weights of another waiting model; if n targets have
// them, the cost is one n-th. It keeps a model that could be loaded elsewhere
// off that target.
const contentionWeight = 0.5

// runningWeight is the cost, in seconds of delay, of each request that runs on
// a target, because all requests of a batch share its steps.
const runningWeight = 0.02

func (d *decider) consider(t *Target, m route.Model, dem Demand, reason Reason, limits evictionLimits) (candidate, bool) {
	tier, loadTime := d.tierAndTime(t, m)
	if rest, resting := d.restEndsIn[m.Name]; resting && t.OrderEndsIn+loadTime >= rest {
		return candidate{}, false
	}

	if tier == target.TierRemote && !d.mayLoadFromStore(dem, reason) {
		return candidate{}, false
	}

	victims, loss, wait, ok := d.makeRoomFor(t, m, dem, reason, limits)

	if !ok {
		// A target that has the weights has room once its running requests have
		// ended. Where a crowded model is not worth the evictions, that changes
		// nothing.
		if tier == target.TierRemote || d.site != nil && reason == ReasonCrowded {
			return candidate{}, false
		}

		wait = maxRunTime
	}

	wait += blockedWait(t, tier)

	reserved := d.reserved[t.ID]
	c := candidate{
		swap: Swap{Target: t.ID, Unload: victims, Load: m.Name, LoadTime: loadTime, Tier: tier, Reason: reason},
		cost: (t.OrderEndsIn + reserved + loadTime + wait).Seconds() + evictionWeight*loss + runningWeight*float64(t.Running) +
			contentionWeight*d.contentionFor(t, m.Name) + d.slotWait(t, dem, victims),
		free: ok && t.AcceptsOrders && reserved == 0, certain: ok, startsIn: t.OrderEndsIn + reserved, readyIn: t.OrderEndsIn + reserved + wait + loadTime,
	}

	return c, c.free || !d.timedOut(t.ID, m.Name)
}

// blockedWait returns the cost, as a delay, of a load from the tier on a target that
// states a rate limit, or that other loads have to wait for.
func blockedWait(t *Target, tier target.Tier) time.Duration {
	wait := time.Duration(0)
	if t.RateLimit.Stated {
		wait += limitedWait
	}

	if tier == target.TierRemote {
		wait += time.Duration(blockedWeight * float64(len(t.Cached)) * float64(time.Second))
	}

	return wait
}

func (d *decider) tierAndTime(t *Target, m route.Model) (target.Tier, time.Duration) {
	switch t.Cached[m.Name] {
	case target.TierMemory:
		return target.TierMemory, m.FromMemory
	case target.TierDisk:
		return target.TierDisk, m.FromDisk
	case target.TierRemote:
	}

	return target.TierRemote, d.storeLoadTime(m)
}

// storeLoadTime returns the duration of a load of the model from the weight
// store that starts now.
func (d *decider) storeLoadTime(m route.Model) time.Duration {
	return time.Duration(float64(m.FromStore) * max(1, d.StoreSlowdown))
}
