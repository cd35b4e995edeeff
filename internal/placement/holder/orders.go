package holder

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// orderTimeout bounds the wait for the answer to an order. Engines answer
	// within a few milliseconds.
	orderTimeout = 700 * time.Millisecond
	// busyRetryDelay is the delay before an order is sent again to an engine
	// that is carrying out another one, and busyTimeout the total time of
	// these retries: an unload waits for the running requests of its model.
	busyRetryDelay = 70 * time.Millisecond
	busyTimeout    = 4 * time.Second
	// busyReportEvery is the number of attempts after which the engine is
	// asked whether it is busy or has another sequence.
	busyReportEvery = 6
	// inDoubtDelay is the delay after an order without an answer before the engine
	// is asked whether it has carried it out.
	inDoubtDelay = 350 * time.Millisecond
	// reportRetryDelay is the delay before an engine that gave no conclusive
	// report is asked again.
	reportRetryDelay = 340 * time.Millisecond
	// orderMargin is added to the duration of a load before requests are sent,
	// for the transit of the order and the engine's own processing.
	orderMargin = 20 * time.Millisecond
)

// swap unloads the models of s.Unload and loads s.Load.
func (h *Holder) swap(ctx context.Context, eng *trackedEngine, s swap.Swap) {
	sent := h.sendOrders(ctx, eng, s)

	h.mu.Lock()
	defer h.mu.Unlock()

	now := clock.Now()

	if !sent {
		eng.storeLoadModel = ""

		if len(s.Unload) > 0 {
			eng.swapFailedAt = now
		}

		return
	}

	eng.loadEnds, eng.loadStarted, eng.unacceptedLoad = now.Add(s.LoadTime+orderMargin), now, ""

	if resident := eng.models[s.Load]; resident != nil {
		resident.ready, resident.used = eng.loadEnds, now
	}

	e := h.engineConfig(eng)

	if eng.storeLoadModel != "" {
		h.storeCapacity(eng.target.Service).start(eng.target.ID, s.Load, e.Models[s.Load].FromStore, now)
	}

	// A load leaves copies in host memory and on disk.
	eng.copies.recordLoad(s.Load, e, eng.loadEnds)
	eng.localTiers = eng.copies.tiers()
	h.published = false
}

// engineConfig returns the configuration of the service's engine, or an empty
// one if the operators have removed it in the meantime.
func (h *Holder) engineConfig(eng *trackedEngine) *route.Engine {
	routes := h.cfg.Routes()
	if routes == nil || routes.Services[eng.target.Service].Engine == nil {
		return &route.Engine{}
	}

	return routes.Services[eng.target.Service].Engine
}

// sendOrders sends a swap's orders and reports whether the load has started.
func (h *Holder) sendOrders(ctx context.Context, eng *trackedEngine, s swap.Swap) bool {
	for _, model := range s.Unload {
		if !h.sendOrder(ctx, eng, Order{Unload: true, Model: model}) {
			return false
		}
	}

	// An engine that has just accepted an unload is carrying it out.
	if len(s.Unload) > 0 && clock.Sleep(ctx, busyRetryDelay) != nil {
		return h.failOrder(eng, Order{Model: s.Load}, Busy)
	}

	load := Order{Model: s.Load}

	return h.awaitRoom(ctx, eng, load) && h.sendOrder(ctx, eng, load)
}

// loadAdapter loads an adapter. If idle, as model/adapter, is not empty, it
// unloads that adapter first, and loads nothing if the unload fails.
func (h *Holder) loadAdapter(ctx context.Context, eng *trackedEngine, model, adapter, idle string) {
	if idle != "" {
		_, idleModel, idleName := splitKey("/" + idle)

		h.mu.Lock()
		if resident := eng.models[idleModel]; resident != nil && resident.adapters[idleName] != nil {
			resident.adapters[idleName].unloading = true
		}

		h.publish(clock.Now())
		h.mu.Unlock()

		h.showOrders(ctx, eng)

		if !h.sendOrder(ctx, eng, Order{Unload: true, Model: idleModel, Adapter: idleName}) || !h.freeSlot(eng, idleModel, idleName) {
			return
		}
	}

	load := Order{Model: model, Adapter: adapter}
	if !h.awaitRoom(ctx, eng, load) || !h.sendOrder(ctx, eng, load) {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if resident := eng.models[model]; resident != nil {
		now := clock.Now()
		resident.adapters[adapter] = &trackedAdapter{ready: now.Add(adapterLoadTime), used: now}
	}

	h.published = false
}

// freeSlot removes an adapter that has been unloaded from the record. It reports false if the
// engine still runs requests on it: the engine is then no longer synced, and its report
// shows when the slot is free.
func (h *Holder) freeSlot(eng *trackedEngine, model, adapter string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if eng.unloadWaits {
		eng.unloadWaits, eng.synced = false, false

		return false
	}

	if resident := eng.models[model]; resident != nil {
		delete(resident.adapters, adapter)
	}

	return true
}

// sendOrder sends one order and reports whether it is or will be carried out.
// If not, the engine is no longer synced and will be asked for a report.
func (h *Holder) sendOrder(ctx context.Context, eng *trackedEngine, o Order) bool {
	began := clock.Now()
	attempts := 0

	for {
		if !h.stamp(eng, &o) {
			return false
		}

		out, err := h.submit(ctx, eng, o)

		switch {
		case err != nil:
			h.cfg.Log.Warn().Err(err).Str("target", string(eng.origin.ID)).Str("model", o.Model).Uint64("sequence", o.Sequence).Msg("order without answer")
			h.recordInDoubt(eng, o, clock.Now())
			h.suspectReach(eng)

			if !h.resolveInDoubt(ctx, eng, o) {
				return false
			}
		case out == Accepted || out == AlreadyDone:
			h.recordAccepted(eng, o, out)
			h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Str("model", o.Model).Str("adapter", o.Adapter).Bool("unload", o.Unload).
				Uint64("sequence", o.Sequence).Int("tries", attempts+1).Dur("took", clock.Now().Sub(began)).Msg("order accepted")

			return true
		case out == Busy && clock.Now().Sub(began) < busyTimeout:
			attempts++

			if clock.Sleep(ctx, busyRetryDelay) != nil || attempts%busyReportEvery == 0 && h.sequenceDiffers(ctx, eng, o) {
				return h.failOrder(eng, o, out)
			}
		default:
			return h.failOrder(eng, o, out)
		}
	}
}

// sequenceDiffers reports whether an engine that answered Busy is not carrying
// out an order but has another sequence than the order expects, as after orders
// that this holder has not recorded.
func (h *Holder) sequenceDiffers(ctx context.Context, eng *trackedEngine, o Order) bool {
	r, err := h.requestReport(ctx, eng)

	return err == nil && !r.Busy && r.Sequence != o.Sequence
}

// stamp sets the lease's token and holder and the engine's sequence on an
// order. It returns false, and marks the engine as not synced, if the holder is
// releasing the lease, if the lease is not valid, if the engine's record has
// been replaced or deleted, or if nothing shows that a load has room.
//
// A holder that was paused or cut off may still consider its lease valid. So
// the lease is checked right before each order, after the last wait, against a
// clock that includes suspensions.
func (h *Holder) stamp(eng *trackedEngine, o *Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.draining || !h.lease.Valid(clock.Now(), h.cfg.Timing) || h.engines[eng.origin.ID] != eng {
		eng.synced = false

		return false
	}

	o.Sequence, o.Token, o.Holder = eng.sequence, h.lease.Token, h.cfg.Self

	if !o.Unload && !h.hasRoom(eng, *o, clock.Now()) {
		eng.synced = false

		return false
	}

	eng.recordSent(*o, clock.Now())
	h.sentOrders.begin()

	return true
}

func (h *Holder) submit(ctx context.Context, eng *trackedEngine, o Order) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.sentOrders.end(clock.Now())
	}()

	return h.cfg.Engines.Order(ctx, eng.origin, o)
}

// recordAccepted counts an order that the engine accepted. Of the orders that
// were already done it counts only unloads: an engine unloads an adapter at
// once, counts the order and answers AlreadyDone, whereas it does not count a
// load that had nothing to do.
func (h *Holder) recordAccepted(eng *trackedEngine, o Order, out Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if out == Accepted || o.Unload {
		eng.sequence++
	}

	eng.unloadWaits = out == Accepted && o.Unload && o.Adapter != ""
}

func (h *Holder) failOrder(eng *trackedEngine, o Order, out Outcome) bool {
	h.mu.Lock()
	eng.synced = false
	h.mu.Unlock()

	h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Str("model", o.Model).Str("adapter", o.Adapter).Bool("unload", o.Unload).
		Uint64("sequence", o.Sequence).Int("outcome", int(out)).Msg("order not carried out")

	return false
}

// resolveInDoubt determines whether an order without an answer must be sent
// again.
//
// An engine may leave an order unanswered and carry it out seconds later. An
// order that has not been carried out is sent again under the same sequence,
// so that only one of the two can take effect. If the sequence has moved on,
// the cause may be a delayed order of a former holder instead, so the engine
// must report its models before it gets other orders.
func (h *Holder) resolveInDoubt(ctx context.Context, eng *trackedEngine, o Order) (again bool) {
	if clock.Sleep(ctx, inDoubtDelay) == nil {
		if r, err := h.requestReport(ctx, eng); err == nil && r.Sequence == o.Sequence {
			return true
		}
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	eng.synced = false

	return false
}

// requestReport requests an engine's report.
func (h *Holder) requestReport(ctx context.Context, eng *trackedEngine) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	r, err := h.cfg.Engines.Report(ctx, eng.origin)
	if err != nil {
		h.mu.Lock()
		eng.contents.Unanswered()
		h.mu.Unlock()
	}

	return r, err
}

// inquire asks an engine for a report and applies it.
func (h *Holder) inquire(ctx context.Context, eng *trackedEngine) {
	requested := clock.Now()

	r, err := h.requestReport(ctx, eng)
	if err != nil {
		h.suspectReach(eng)
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("target", string(eng.origin.ID)).Msg("cannot get engine report")
		h.markDown(eng, clock.Now())

		return
	}

	now := clock.Now()

	if eng.resetIfRestarted(r) {
		h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Int64("born", r.Born).Uint64("sequence", eng.sequence).Msg("engine restarted")
		h.storeCapacity(eng.target.Service).remove(eng.origin.ID, now)
		h.published = false
	}

	if eng.down {
		eng.down, h.published = false, false
	}

	if !eng.observe(r, requested, now) {
		h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Uint64("sequence", r.Sequence).Uint64("expected", eng.sequence).Int("models", len(r.Resident)).Bool("busy", r.Busy).
			Msg("report does not account for all orders yet")

		return
	}

	eng.applyReport(r, now)
	h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Uint64("sequence", r.Sequence).Int("models", len(r.Resident)).Bool("busy", r.Busy).Msg("engine reported")
	h.published = false
}
