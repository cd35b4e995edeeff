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
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// adapterTime is what the load of an adapter takes, and the way of the order.
const adapterTime = 20 * time.Millisecond

// want is what is asked for under one key.
type want struct {
	service, model, adapter string
	swap.Demand
}

// splitKey takes a key apart into service, model and adapter.
func splitKey(key string) (service, model, adapter string) {
	service, rest, _ := strings.Cut(key, "/")
	model, adapter, _ = strings.Cut(rest, "/")

	return service, model, adapter
}

// noteUses learns from an entry's report when what was used last. The caller
// holds the lock.
func (h *Holder) noteUses(r demand.Report, now time.Time) {
	for _, d := range r.Waiting {
		_, model, _ := splitKey(d.Model)
		h.rates.add(model, d.Arrived)
		h.habits.add(model, d.Arrived)
	}

	for _, u := range r.Uses {
		_, model, adapter := splitKey(u.Model)

		s := h.stations[u.Target]
		if s == nil || s.held[model] == nil {
			continue
		}

		s.held[model].used = now

		if a := s.held[model].adapters[adapter]; a != nil {
			a.used = now
		}
	}
}

// decide does what is due while the lease is held.
func (h *Holder) decide(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := clock.Now()
	if !h.held.Valid(now, h.cfg.Terms) {
		return
	}

	h.sync(now)
	h.awaitLoads(ctx, now)
	h.rates.decay(now)
	h.habits.decay(now)

	// A holder that waits for what it has in hand begins nothing more.
	if !h.draining {
		h.inquireUnknown(ctx, now)
	}

	if !now.Before(h.mayOrder) && !h.draining {
		h.order(ctx, now)
	}

	if !h.published || now.Sub(h.heard) >= publishEvery {
		h.publish(now)
	}
}

// publish sends news. The caller holds the lock.
func (h *Holder) publish(now time.Time) {
	h.last, h.heard, h.published = h.news(), now, true
	h.cfg.Publish(h.last)
}

// order begins the loads that are due. The caller holds the lock.
func (h *Holder) order(ctx context.Context, now time.Time) {
	routes := h.cfg.Routes()
	if routes == nil {
		return
	}

	if now.Before(h.stockBy) && h.unknown() {
		return
	}

	wants, used := h.wants(), h.usage()

	for name, service := range routes.Services {
		if service.Engine == nil {
			continue
		}

		h.orderModels(ctx, name, service.Engine, wants, used, now)
		h.orderAdapters(ctx, name, service.Engine, wants, used, now)
	}
}

// takeStock is how long a new holder waits until all engines have said what
// they hold. Without it the first few that answer would be given loads of
// models that others have.
const takeStock = 1200 * time.Millisecond

// inquireUnknown asks the engines that have not said what they hold. A new
// holder does so before it may order: asking is no order, and after a death
// the first load comes sooner than when it waits first and asks then.
func (h *Holder) inquireUnknown(ctx context.Context, now time.Time) {
	for _, s := range h.stations {
		if !s.known && !s.working && now.Sub(s.doubted) >= reportAgain {
			s.doubted = now
			h.begin(s, func() { h.inquire(ctx, s) })
		}
	}
}

// unknown reports whether some engine has not said what it holds.
func (h *Holder) unknown() bool {
	for _, s := range h.stations {
		if !s.known && s.serves() {
			return true
		}
	}

	return false
}

// wants returns what is asked for, by key.
func (h *Holder) wants() []want {
	var out []want

	for _, d := range h.asks.Merged(time.Now()) {
		w := want{Demand: swap.Demand{Waiting: d.Waiting, Running: d.Running, Deadline: d.Deadline, Goal: d.Goal, Priority: d.Priority}}
		w.service, w.model, w.adapter = splitKey(d.Model)
		out = append(out, w)
	}

	return out
}

func (h *Holder) orderModels(ctx context.Context, service string, e *route.Engine, wants []want, used usage, now time.Time) {
	v := &swap.Snapshot{
		Now: now, Engine: e, Demands: byModel(service, wants), Rate: h.rates.perSecond, LongTermRate: h.habits.perSecond, PromisedSince: h.promised(service), FreeStoreLoads: int(h.feed(service).carries()),
	}
	for id, s := range h.stations {
		if s.target.Service != service {
			continue
		}

		if s.storeLoad != "" {
			v.FreeStoreLoads--
			v.StoreLoadsEndIn = append(v.StoreLoadsEndIn, max(0, s.loading.Sub(now)))
		}

		v.Targets = append(v.Targets, s.view(now, used.running[id], used.byModel[id]))
	}

	slices.SortFunc(v.Targets, func(a, b swap.Target) int { return cmp.Compare(a.ID, b.ID) })

	v.StoreSlowdown = h.feed(service).slower(len(v.StoreLoadsEndIn))
	v.LossRisk = h.risk(service, v)
	round := swap.Decide(v)
	h.foretell(service, round.ReadyIn, now)

	for _, m := range round.Swaps {
		s := h.stations[m.Target]
		h.cfg.Log.Info().Str("target", string(m.Target)).Str("load", m.Load).Strs("unload", m.Unload).Int("tier", int(m.Tier)).
			Dur("takes", m.LoadTime).Str("for", string(m.Reason)).Uint64("token", h.held.Token).Uint64("sequence", s.sequence).Msg("swap decided")
		h.reserve(s, m, now)
		h.begin(s, func() { h.swap(ctx, s, m) })
	}
}

// reserve books a swap before its orders are sent, so that the next round
// counts with it and entries stop sending to what makes way.
func (h *Holder) reserve(s *station, m swap.Swap, now time.Time) {
	for _, model := range m.Unload {
		delete(s.held, model)
	}

	s.held[m.Load] = &residence{ready: now.Add(m.LoadTime + unordered), used: now, adapters: make(map[string]*placed)}
	s.ordering, s.takes, s.storeLoad = m.Load, m.LoadTime, ""
	h.published = false

	if m.Tier == target.TierRemote {
		s.storeLoad = m.Load
	}
}

// postpone puts off the end of a load whose order no engine has accepted yet.
//
// It answers the load of busy targets: an unload waits for the runs on its model,
// and callers of the next one would be sent to where its load has not begun.
func (s *station) postpone(now time.Time) {
	if res := s.held[s.ordering]; res != nil {
		res.ready = clock.Later(res.ready, now.Add(s.takes+foretold))
	}
}

// unordered is how much later than its own time a load is expected to end
// while its order has not been accepted.
const unordered = 300 * time.Millisecond

// orderTime is what an order in hand takes of which no load is known yet: an
// unload, or a report.
const orderTime = 300 * time.Millisecond

// byModel sums the wants of a service's models and their adapters.
func byModel(service string, wants []want) []swap.Demand {
	sums := make(map[string]*swap.Demand)

	var order []string

	for _, w := range wants {
		if w.service != service || w.model == "" {
			continue
		}

		sum := sums[w.model]
		if sum == nil {
			sum = &swap.Demand{Model: w.model}
			sums[w.model] = sum
			order = append(order, w.model)
		}

		sum.Waiting += w.Waiting
		sum.Running += w.Running
		sum.Priority = max(sum.Priority, w.Priority)

		sum.Deadline = replica.EarlierNonZero(sum.Deadline, w.Deadline)
		sum.Goal = replica.EarlierNonZero(sum.Goal, w.Goal)
	}

	out := make([]swap.Demand, 0, len(order))
	for _, model := range order {
		out = append(out, *sums[model])
	}

	return out
}

// usage is how many requests run, over all entries.
type usage struct {
	// running counts them by target, and byModel by the target's models and
	// adapters, an adapter's name behind its model's with a slash between.
	running map[instance.ID]int
	byModel map[instance.ID]map[string]int
}

// usage counts what the entries reported. The caller holds the lock.
func (h *Holder) usage() usage {
	out := usage{running: make(map[instance.ID]int), byModel: make(map[instance.ID]map[string]int)}

	for _, u := range h.asks.Uses() {
		_, model, adapter := splitKey(u.Model)
		out.running[u.Target] += u.Running

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

// view returns the station as the plan sees it.
func (s *station) view(now time.Time, running int, uses map[string]int) swap.Target {
	t := swap.Target{
		ID: s.target.ID, AcceptsOrders: s.known && !s.working && !now.Before(s.loading),
		Serving: s.serves(), Cached: s.atHand, Running: running,
	}

	if !t.AcceptsOrders {
		t.OrderEndsIn = max(orderTime, s.loading.Sub(now))

		// Nothing tells how long an order of another holder lasts yet, so it is
		// taken to last as long again. Callers would wait for this target, a
		// moment at a time, while others could load their model.
		if !s.busySince.IsZero() {
			t.OrderEndsIn = max(t.OrderEndsIn, now.Sub(s.busySince))
		}
	}

	for model, res := range s.held {
		t.Models = append(t.Models, swap.ResidentModel{
			Model: model, Running: uses[model], LastUsed: res.used, Loading: now.Before(res.ready),
		})
	}

	return t
}

func (h *Holder) orderAdapters(ctx context.Context, service string, e *route.Engine, wants []want, used usage, now time.Time) {
	for _, w := range wants {
		if w.service != service || w.adapter == "" || w.Waiting == 0 || h.adapterPlaced(w) {
			continue
		}

		var sites []swap.AdapterTarget

		for id, s := range h.stations {
			if s.target.Service == service && s.takesAdapter(w.model, now) {
				sites = append(sites, s.site(id, used.running[id], used.byModel[id]))
			}
		}

		m, ok := swap.PlaceAdapter(sites, e.AdapterSlots, now)
		if !ok {
			continue
		}

		s := h.stations[m.Target]
		h.cfg.Log.Info().Str("target", string(m.Target)).Str("model", w.model).Str("adapter", w.adapter).
			Str("unload", m.Unload).Uint64("sequence", s.sequence).Msg("adapter decided")
		h.begin(s, func() { h.loadAdapter(ctx, s, w.model, w.adapter, m.Unload) })
	}
}

// adapterPlaced reports whether an adapter is on a target, or on its way.
func (h *Holder) adapterPlaced(w want) bool {
	for _, s := range h.stations {
		if !s.serves() || s.target.Service != w.service {
			continue
		}

		if res := s.held[w.model]; res != nil && res.adapters[w.adapter] != nil {
			return true
		}
	}

	return false
}

func (s *station) takesAdapter(model string, now time.Time) bool {
	res := s.held[model]

	return res != nil && s.known && !s.working && s.serves() && !now.Before(s.loading) && !now.Before(res.ready)
}

func (s *station) site(id instance.ID, running int, uses map[string]int) swap.AdapterTarget {
	site := swap.AdapterTarget{ID: id, Running: running}

	for model, res := range s.held {
		for name, a := range res.adapters {
			full := model + "/" + name
			site.Adapters = append(site.Adapters, swap.LoadedAdapter{Name: full, Running: uses[full], LastUsed: a.used})
		}
	}

	return site
}

// begin runs work that sends orders to a station, one at a time. The caller
// holds the lock.
func (h *Holder) begin(s *station, work func()) {
	s.working = true

	h.orders.Go(func() {
		work()

		h.mu.Lock()
		s.working = false
		h.mu.Unlock()
		h.Wake()
	})
}
