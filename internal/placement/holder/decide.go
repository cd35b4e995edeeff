package holder

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// adapterLoadTime is the time to load an adapter, including the order's
// transit.
const adapterLoadTime = 20 * time.Millisecond

// keyDemand is the demand for one key.
type keyDemand struct {
	service, model, adapter string
	swap.Demand
}

// splitKey splits a key, service/model or service/model/adapter, into its
// parts. adapter is empty if the key has none.
func splitKey(key string) (service, model, adapter string) {
	service, rest, _ := strings.Cut(key, "/")
	model, adapter, _ = strings.Cut(rest, "/")

	return service, model, adapter
}

// recordUses updates arrival rates and times of last use from an entry's
// report. The caller holds the lock.
func (h *Holder) recordUses(r demand.Report, now time.Time) {
	for _, d := range r.Waiting {
		_, model, _ := splitKey(d.Model)
		h.shortRates.add(model, d.Arrived)
		h.longRates.add(model, d.Arrived)
	}

	for _, u := range r.Uses {
		_, model, adapter := splitKey(u.Model)

		eng := h.engines[u.Target]
		if eng == nil || eng.models[model] == nil {
			continue
		}

		eng.models[model].used = now

		if a := eng.models[model].adapters[adapter]; a != nil {
			a.used = now
		}
	}
}

// decide runs one round of decisions if the lease is valid.
func (h *Holder) decide(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := clock.Now()
	if !h.lease.Valid(now, h.cfg.Timing) {
		return
	}

	h.applyTargetList(now)
	h.confirmLoads(ctx, now)
	h.shortRates.decay(now)
	h.longRates.decay(now)

	// A holder that is releasing the lease waits for its orders in flight and
	// starts no others.
	if !h.draining {
		h.inquireUnsynced(ctx, now)
	}

	if !now.Before(h.ordersFrom) && !h.draining {
		h.orderLoads(ctx, now)
	}

	h.updateBacklogs(now)

	if !h.published || now.Sub(h.snapshotAt) >= publishInterval {
		h.publish(now)
	}
}

// publish publishes a snapshot. The caller holds the lock.
func (h *Holder) publish(now time.Time) {
	h.snapshot, h.snapshotAt, h.published = h.buildSnapshot(), now, true
	h.cfg.Publish(h.snapshot)
}

// orderLoads starts the loads that are due. The caller holds the lock.
func (h *Holder) orderLoads(ctx context.Context, now time.Time) {
	routes := h.cfg.Routes()
	if routes == nil {
		return
	}

	if now.Before(h.inventoryBy) && h.anyUnsynced() {
		return
	}

	demands, inUse := h.demandByKey(), h.usage()

	for name, service := range routes.Services {
		if service.Engine == nil {
			continue
		}

		h.storeCapacity(name).cautious = outlastsClients(routes, name)
		h.orderModels(ctx, name, service.Engine, routes.Version, demands, inUse, now)
		h.orderAdapters(ctx, name, service.Engine, demands, inUse, now)
	}
}

// inventoryWait is how long a new holder waits for the reports of all engines.
// Without it the first engines to report would get loads of models that others
// already hold.
const inventoryWait = 1200 * time.Millisecond

// inquireUnsynced requests reports from the engines that are not synced. A new
// holder does so even before it may send orders, because a request for a report
// is not an order. So the first load after a crash of the former holder starts
// earlier.
func (h *Holder) inquireUnsynced(ctx context.Context, now time.Time) {
	for _, eng := range h.engines {
		if !eng.synced && !eng.inFlight && now.Sub(eng.lastCheck) >= reportRetryDelay {
			eng.lastCheck = now
			h.startWork(eng, func() { h.inquire(ctx, eng) })
		}
	}
}

// anyUnsynced reports whether an engine that serves requests is not synced.
func (h *Holder) anyUnsynced() bool {
	for _, eng := range h.engines {
		if !eng.synced && eng.serves() {
			return true
		}
	}

	return false
}

// demandByKey returns the demand of all entries, by key.
func (h *Holder) demandByKey() []keyDemand {
	var out []keyDemand

	for _, d := range h.demand.Merged(time.Now()) {
		kd := keyDemand{Demand: swap.Demand{Waiting: d.Waiting, Running: d.Running, Deadline: d.Deadline, Goal: d.Goal, Priority: d.Priority}}
		kd.service, kd.model, kd.adapter = splitKey(d.Model)
		out = append(out, kd)
	}

	return out
}

func (h *Holder) orderModels(ctx context.Context, service string, e *route.Engine, version uint64, demands []keyDemand, inUse usage, now time.Time) {
	input := &swap.Snapshot{
		Now: now, Engine: e, Demands: sumByModel(service, demands), Rate: h.shortRates.perSecond, LongTermRate: h.longRates.perSecond, PredictedSince: h.predictedSince(service), FreeStoreLoads: int(h.storeCapacity(service).fullSpeed()),
	}
	input.Resumed = h.resumedModels(service, now)
	speeds := h.speedsByService(now)

	for id, eng := range h.engines {
		if eng.target.Service != service {
			continue
		}

		if eng.usesStore(h.storeCapacity(service).cautious, now) {
			input.FreeStoreLoads--
			input.StoreLoadsEndIn = append(input.StoreLoadsEndIn, max(0, eng.loadEnds.Sub(now)))
		}

		t := eng.swapTarget(e, now, inUse.running[id], inUse.byModel[id])
		t.RateLimit, t.Speed = h.rateLimit(id), eng.publishedSpeed(speeds)
		t.ReservedMB, _ = h.reserveRoom(eng, now)
		input.Targets = append(input.Targets, t)
	}

	slices.SortFunc(input.Targets, func(a, b swap.Target) int { return cmp.Compare(a.ID, b.ID) })

	input.StoreSlowdown = h.storeCapacity(service).slowdown(len(input.StoreLoadsEndIn))
	input.LossRisk = h.risk(service, input)
	input.Reservations = h.reservations[service]
	round := swap.Decide(input)
	h.predict(service, round.ReadyIn, now)
	h.recordReservations(service, round, now)

	for _, s := range round.Swaps {
		eng := h.engines[s.Target]
		h.cfg.Log.Info().Str("target", string(s.Target)).Str("load", s.Load).Strs("unload", s.Unload).Int("tier", int(s.Tier)).
			Float64("needsMB", e.Models[s.Load].MB).Float64("freeMB", s.FreeMB).Float64("reservedMB", s.ReservedMB).Int("models", len(eng.models)).
			Uint64("config", version).Time("reported", eng.reportedAt).Int64("process", eng.process()).
			Dur("takes", s.LoadTime).Str("for", string(s.Reason)).Float64("value", s.Value).Float64("cost", s.Cost).Uint64("token", h.lease.Token).Uint64("sequence", eng.sequence).Msg("swap decided")
		h.reserve(eng, s, now)
		h.startWork(eng, func() { h.swap(ctx, eng, s) })
	}
}

// resumedModels returns the software that each model of the service is wanted at by resumed
// streams. The caller holds the lock.
func (h *Holder) resumedModels(service string, now time.Time) map[string][]instance.Software {
	out := make(map[string][]instance.Software)

	for key, software := range h.resumed.Software(now) {
		if s, model, adapter := splitKey(key); s == service && adapter == "" {
			out[model] = software
		}
	}

	return out
}

// reserve records a swap before its orders are sent, so that the next round
// includes it and entries stop sending requests for the models to be unloaded.
func (h *Holder) reserve(eng *trackedEngine, s swap.Swap, now time.Time) {
	for _, model := range s.Unload {
		delete(eng.models, model)
	}

	eng.models[s.Load] = &trackedModel{ready: now.Add(s.LoadTime + unacceptedMargin), used: now, adapters: make(map[string]*trackedAdapter)}
	eng.unacceptedLoad, eng.loadTime, eng.storeLoadModel = s.Load, s.LoadTime, ""
	h.published = false

	if s.Tier == target.TierRemote {
		eng.storeLoadModel = s.Load
	}
}

// postponeLoad delays the expected end of a load that the engine has not yet
// accepted.
//
// On a target with running requests, an unload waits for those of its model.
// Meanwhile entries must not send requests for the next model, whose load has
// not started.
func (eng *trackedEngine) postponeLoad(now time.Time) {
	if resident := eng.models[eng.unacceptedLoad]; resident != nil {
		resident.ready = clock.Later(resident.ready, now.Add(eng.loadTime+orderMargin))
	}
}

// unacceptedMargin is added to the duration of a load when the load is decided,
// for the time until the engine accepts its order.
const unacceptedMargin = 300 * time.Millisecond

// orderTime is the least time assumed until an engine that accepts no orders,
// for example during an unload or a request for a report, accepts them again.
const orderTime = 300 * time.Millisecond

// sumByModel sums the demand for a service's models and their adapters, by
// model.
func sumByModel(service string, demands []keyDemand) []swap.Demand {
	sums := make(map[string]*swap.Demand)

	var order []string

	for _, kd := range demands {
		if kd.service != service || kd.model == "" {
			continue
		}

		sum := sums[kd.model]
		if sum == nil {
			sum = &swap.Demand{Model: kd.model}
			sums[kd.model] = sum
			order = append(order, kd.model)
		}

		sum.Waiting += kd.Waiting
		sum.Running += kd.Running
		sum.Priority = max(sum.Priority, kd.Priority)

		sum.Deadline = replica.EarlierNonZero(sum.Deadline, kd.Deadline)
		sum.Goal = replica.EarlierNonZero(sum.Goal, kd.Goal)
	}

	out := make([]swap.Demand, 0, len(order))
	for _, model := range order {
		out = append(out, *sums[model])
	}

	return out
}

// usage counts running requests over all entries.
type usage struct {
	// running has the number of running requests by target. byModel has it by
	// target and by model, and for requests with an adapter also by
	// model/adapter.
	running map[instance.ID]int
	byModel map[instance.ID]map[string]int
	// tokens has the tokens of the running requests by target.
	tokens map[instance.ID]int
}

// usage counts the running requests that the entries reported. The caller
// holds the lock.
func (h *Holder) usage() usage {
	out := usage{running: make(map[instance.ID]int), tokens: make(map[instance.ID]int), byModel: make(map[instance.ID]map[string]int)}

	for _, u := range h.demand.Uses() {
		_, model, adapter := splitKey(u.Model)
		out.running[u.Target] += u.Running
		out.tokens[u.Target] += u.Tokens

		if out.byModel[u.Target] == nil {
			out.byModel[u.Target] = make(map[string]int)
		}

		out.byModel[u.Target][model] += u.Running

		if adapter != "" {
			out.byModel[u.Target][model+"/"+adapter] += u.Running
		}
	}

	return out
}

// rateLimit returns the rate limit that a target states, if any.
func (h *Holder) rateLimit(id instance.ID) ratelimit.Limit {
	if h.cfg.RateLimit == nil {
		return ratelimit.Limit{}
	}

	return h.cfg.RateLimit(id)
}

// swapRetryDelay is how long after a failed swap no model with running requests is
// unloaded from the engine: requests that run for longer than busyTimeout would delay
// every other order again.
const swapRetryDelay = 10 * time.Second

// swapTarget returns the engine as an input of swap.Decide.
func (eng *trackedEngine) swapTarget(e *route.Engine, now time.Time, running int, uses map[string]int) swap.Target {
	t := swap.Target{
		ID: eng.target.ID, Software: eng.target.Software, AcceptsOrders: eng.synced && !eng.inFlight && !now.Before(eng.loadEnds) && !now.Before(eng.restUntil),
		Serving: eng.serves(), Cached: eng.localTiers, Running: running, UnloadFailed: now.Sub(eng.swapFailedAt) < swapRetryDelay, RestEndsIn: max(0, eng.restUntil.Sub(now)),
	}

	if !t.AcceptsOrders {
		t.OrderEndsIn = max(orderTime, eng.loadEnds.Sub(now), eng.restUntil.Sub(now))

		// The remaining time of another holder's order is unknown, so it is
		// assumed to take as long again as it has taken so far. A fixed short
		// time would make requests wait for this target again and again while
		// others could load their model.
		if !eng.busySince.IsZero() {
			t.OrderEndsIn = max(t.OrderEndsIn, now.Sub(eng.busySince))
		}
	}

	for model, resident := range eng.models {
		t.Resident = append(t.Resident, swap.ResidentModel{
			Model: model, MB: resident.knownMB(e, model), Running: uses[model], LastUsed: resident.used, Loading: now.Before(resident.ready), Ready: resident.ready,
			Overdue: model == eng.storeLoadModel && eng.overdue(now),
		})
	}

	return t
}

func (h *Holder) orderAdapters(ctx context.Context, service string, e *route.Engine, demands []keyDemand, inUse usage, now time.Time) {
	for _, kd := range demands {
		if kd.service != service || kd.adapter == "" || kd.Waiting == 0 || h.adapterPlaced(kd) {
			continue
		}

		// The sizes of adapters of a model that is not named are not known.
		if _, named := e.Models[kd.model]; !named {
			continue
		}

		var targets []swap.AdapterTarget

		for id, eng := range h.engines {
			if eng.target.Service == service && eng.acceptsAdapter(kd.model, now) && eng.models[kd.model].adapters[kd.adapter] == nil {
				t := eng.adapterTarget(id, inUse.running[id], inUse.byModel[id])
				t.Limited = h.rateLimit(id).Stated
				_, t.ReservedSlots = h.reserveRoom(eng, now)
				targets = append(targets, t)
			}
		}

		s, ok := swap.PlaceAdapter(targets, e.AdapterSlots, now)
		if !ok {
			continue
		}

		eng := h.engines[s.Target]
		h.cfg.Log.Info().Str("target", string(s.Target)).Str("model", kd.model).Str("adapter", kd.adapter).
			Str("unload", s.Unload).Uint64("sequence", eng.sequence).Msg("adapter decided")
		h.startWork(eng, func() { h.loadAdapter(ctx, eng, kd.model, kd.adapter, s.Unload) })
	}
}

// adapterPlaced reports whether an adapter is on a target or being loaded. If only
// targets that state a rate limit have it, it counts as placed unless another target
// holds its model: an adapter is loaded faster than a limited target accepts the
// requests that wait for it.
func (h *Holder) adapterPlaced(kd keyDemand) bool {
	limitedOnly, elsewhere := false, false

	for id, eng := range h.engines {
		if !eng.serves() || eng.target.Service != kd.service {
			continue
		}

		resident, limited := eng.models[kd.model], h.rateLimit(id).Stated

		switch {
		case resident == nil:
		case resident.adapters[kd.adapter] == nil || resident.adapters[kd.adapter].unloading:
			elsewhere = elsewhere || !limited
		case !limited:
			return true
		default:
			limitedOnly = true
		}
	}

	return limitedOnly && !elsewhere
}

func (eng *trackedEngine) acceptsAdapter(model string, now time.Time) bool {
	resident := eng.models[model]

	return resident != nil && eng.synced && !eng.inFlight && eng.serves() && !now.Before(eng.loadEnds) && !now.Before(eng.restUntil) && !now.Before(resident.ready)
}

func (eng *trackedEngine) adapterTarget(id instance.ID, running int, uses map[string]int) swap.AdapterTarget {
	t := swap.AdapterTarget{ID: id, Running: running}

	for model, resident := range eng.models {
		for name, a := range resident.adapters {
			full := model + "/" + name
			t.Adapters = append(t.Adapters, swap.LoadedAdapter{Name: full, Running: uses[full], LastUsed: a.used, Unloading: a.unloading})
		}
	}

	return t
}

// startWork starts a goroutine that sends orders to an engine or requests its
// report, unless the lease is being released. Each engine has at most one such
// goroutine at a time. The caller holds the lock.
func (h *Holder) startWork(eng *trackedEngine, work func()) {
	if !h.work.TryAcquire(1) {
		return
	}

	eng.inFlight = true

	go func() {
		work()

		h.mu.Lock()
		eng.inFlight = false
		h.mu.Unlock()
		h.work.Release(1)
		h.Wake()
	}()
}
