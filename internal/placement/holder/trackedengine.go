package holder

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/contents"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// trackedEngine is the holder's record of one engine.
//
// Every order contains the sequence number that the engine must have, and
// models is what the engine held at that sequence. So the engine refuses an
// order that was decided on outdated state or that arrives seconds late, and
// its memory is never overcommitted.
type trackedEngine struct {
	// origin is the target as it was when the record was created. Orders are
	// addressed to it, and it does not change.
	origin inventory.Target
	// target is the newest row of the target list.
	target inventory.Target
	// born identifies the process that sequence and models belong to. Zero
	// means the process on the target list.
	born int64
	// synced is true when sequence and models match the engine.
	synced   bool
	sequence uint64
	models   map[string]*trackedModel
	// localTiers are the models with copies outside the weight store, with the
	// fastest tier of each.
	localTiers map[string]target.Tier
	copies     localCopies
	speed      speed
	// inFlight is true while a goroutine sends orders or requests a report.
	inFlight bool
	// unloadWaits is true if the order that was accepted last unloads an adapter on which
	// requests run.
	unloadWaits bool
	// contents are what the engine's own reports show that it holds. Unlike models, they
	// contain nothing that only follows from answers to orders.
	contents contents.Record
	// reportedAt is when the last report arrived that models were replaced by.
	reportedAt time.Time
	// down is true when both this holder and another entry have failed to reach
	// the engine. suspectedAt is when another entry last reported that it
	// failed to reach it.
	down        bool
	suspectedAt time.Time
	// restUntil is the latest end of the rests that the target has asked entries for.
	restUntil time.Time
	// lastCheck is when an entry last found a model missing or the engine was
	// last asked for a report, whichever is later.
	lastCheck time.Time
	// busySince is when the engine first reported that it is carrying out an
	// order of unknown duration, such as one of another holder. Zero means that
	// it is not.
	busySince time.Time
	// loadEnds is when the last model load is expected to end, or has ended.
	// While a load from the weight store is overdue, it is when the engine is
	// next asked for a report.
	loadEnds time.Time
	// unacceptedLoad is a model whose load was decided and, as far as is known,
	// not yet accepted. loadTime is the planned duration of the last load that
	// was decided, from its acceptance on.
	unacceptedLoad string
	loadTime       time.Duration
	// storeLoadModel is the model of a load from the weight store that was
	// decided and, as far as is known, has not ended, or empty. It is set
	// before the load's orders are sent. Otherwise each round of decisions
	// until the engine accepts the order would start as many loads as the
	// weight store serves at full speed.
	storeLoadModel string
	// loadStarted is when the order of the last load was accepted, and swapFailedAt
	// when the orders of a swap with an
	// unload last failed.
	loadStarted, swapFailedAt time.Time
}

// trackedModel is a model on an engine.
type trackedModel struct {
	ready time.Time
	used  time.Time
	// mb is the largest size that a configuration has stated since the model has been on the
	// engine. Zero means that none has.
	mb       float64
	adapters map[string]*trackedAdapter
}

// knownMB returns the largest size that is known of the model, or zero. Where adapters are on a
// model that the configuration does not name, their sizes are not known.
func (m *trackedModel) knownMB(e *route.Engine, name string) float64 {
	stated, named := e.Models[name]
	m.mb = max(m.mb, stated.MB)

	if !named && len(m.adapters) > 0 {
		return 0
	}

	return m.mb
}

// trackedAdapter is an adapter on an engine.
type trackedAdapter struct {
	ready time.Time
	used  time.Time
	// unloading is true from the engine's acceptance of the unload, which waits for running
	// requests, until a report no longer lists the adapter. It keeps its slot until then.
	unloading bool
}

// updateCopies updates the tiers from which the engine would load models.
func (eng *trackedEngine) updateCopies(t inventory.Target, now time.Time) {
	eng.copies.applyRow(t, now)
	eng.localTiers = eng.copies.tiers()
}

// applyReport replaces the record by the engine's own report.
func (eng *trackedEngine) applyReport(r Report, now time.Time) {
	models := make(map[string]*trackedModel, len(r.Resident))

	for _, m := range r.Resident {
		old := eng.models[m.Model]
		if old == nil {
			old = &trackedModel{}
		}

		resident := &trackedModel{used: old.used, mb: old.mb, adapters: make(map[string]*trackedAdapter, len(m.Adapters))}

		for _, name := range m.Adapters {
			resident.adapters[name] = &trackedAdapter{used: lastUse(old.adapters[name]), unloading: isUnloading(old.adapters[name])}
		}

		models[m.Model] = resident
	}

	for _, pending := range r.Pending {
		model, adapter := splitPending(pending)

		if resident := models[model]; resident != nil {
			resident.adapters[adapter] = &trackedAdapter{ready: now.Add(adapterLoadTime)}
		}
	}

	eng.models, eng.sequence, eng.synced, eng.unacceptedLoad = models, r.Sequence, !r.Busy, ""
	eng.reportedAt = now

	switch {
	case !r.Busy:
		eng.busySince = time.Time{}
	case eng.busySince.IsZero():
		eng.busySince = now
	}
}

// resetIfRestarted clears the record when a report comes from a new process of
// the engine, and reports whether it did. The new process holds none of the
// recorded models and counts orders from zero.
//
// The reports of a restarted engine have a lower sequence than the last order,
// so they would be ignored as outdated. Without the reset, entries would send
// requests for the former models until the target list shows the new process.
func (eng *trackedEngine) resetIfRestarted(r Report) bool {
	known := eng.process()
	if r.Born == 0 || known == 0 || r.Born == known {
		return false
	}

	eng.born, eng.sequence, eng.contents = r.Born, 0, contents.Record{}
	eng.reportedAt, eng.loadEnds, eng.busySince, eng.restUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	eng.models, eng.unacceptedLoad = make(map[string]*trackedModel), ""
	eng.speed = speed{}
	eng.synced = false
	eng.copies.memory = nil
	eng.localTiers = eng.copies.tiers()

	return true
}

func isUnloading(a *trackedAdapter) bool { return a != nil && a.unloading }

func lastUse(a *trackedAdapter) time.Time {
	if a == nil {
		return time.Time{}
	}

	return a.used
}

// adoptSnapshot starts a lease term with the state in the former holder's last
// snapshot. That state may be outdated, which does no harm: each order contains
// the sequence that it was decided on, and the engine refuses it if its own
// sequence differs.
func (h *Holder) adoptSnapshot() {
	h.engines = make(map[instance.ID]*trackedEngine)
	now := clock.Now()

	for _, c := range h.storeCapacities {
		c.loads = nil
	}

	h.applyTargetList(now)

	for _, state := range h.snapshot.Engines {
		eng := h.engines[state.Target]
		if eng == nil || eng.target.StartedMs != state.Born {
			continue
		}

		for _, held := range state.Resident {
			resident := &trackedModel{ready: held.Ready, adapters: make(map[string]*trackedAdapter, len(held.Adapters))}
			for _, a := range held.Adapters {
				resident.adapters[a.Name] = &trackedAdapter{ready: a.Ready}
			}

			eng.models[held.Model] = resident
			// The load may still be in progress.
			eng.loadEnds = clock.Later(eng.loadEnds, held.Ready)
		}

		eng.sequence = state.Sequence
		eng.speed.adopt(state.Speed)
	}
}
