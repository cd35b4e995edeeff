package holder

import (
	"context"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/placement/contents"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
)

// roomCheckInterval is the time between two requests for a report that shows room for a load.
const roomCheckInterval = 100 * time.Millisecond

// hasRoom reports whether a load fits into an engine, whatever has become of the orders before it.
// It does not use the record that the load was decided on. The caller holds the lock.
func (h *Holder) hasRoom(eng *trackedEngine, o Order, now time.Time) bool {
	// Orders of a former term or to a former process are not known, so that only a report shows what
	// was accepted.
	othersOrders := h.formerOrders(now) || h.recentlyReplaced(eng, now)
	if shown, known := eng.contents.Shown(); !known || shown != o.Sequence && othersOrders {
		return false
	}

	e := h.engineConfig(eng)
	reservedMB, reservedSlots := h.reserveRoom(eng, now)
	size := func(model string) float64 { return takenBy(e.Models[model].MB) }
	mb, adapters := eng.contents.Most(contentsOrder(o), size)

	if o.Adapter == "" {
		return mb+reservedMB <= swap.UsableMB(e)+swap.SizeMarginMB
	}

	return adapters+reservedSlots <= e.AdapterSlots && mb+float64(adapters)*swap.LargestAdapterMB(e) <= e.MemoryMB+swap.SizeMarginMB
}

// awaitRoom waits until the engine's reports show that it has room for a load. If they do not, the
// engine is no longer synced.
func (h *Holder) awaitRoom(ctx context.Context, eng *trackedEngine, load Order) bool {
	began := clock.Now()

	for {
		h.mu.Lock()
		load.Sequence = eng.sequence
		shown := h.hasRoom(eng, load, clock.Now())
		h.mu.Unlock()

		if shown {
			return true
		}

		waited := clock.Now().Sub(began)
		if waited >= busyTimeout || clock.Sleep(ctx, roomCheckInterval) != nil {
			return h.refuseLoad(eng, load)
		}

		r, err := h.requestShown(ctx, eng)
		if err == nil && !r.Busy && (r.Sequence > load.Sequence || r.Sequence < load.Sequence && waited >= contents.MaxReportAge) {
			return h.refuseLoad(eng, load)
		}
	}
}

// showOrders requests a report if orders have been sent since the last one that counted. A load and
// an unload of one adapter after that could not be told from none.
func (h *Holder) showOrders(ctx context.Context, eng *trackedEngine) {
	h.mu.Lock()
	shown, _ := eng.contents.Shown()
	pending := shown != eng.sequence
	h.mu.Unlock()

	if pending {
		_, _ = h.requestShown(ctx, eng) // Without it the load waits for longer.
	}
}

// requestShown requests a report and records what it shows.
func (h *Holder) requestShown(ctx context.Context, eng *trackedEngine) (Report, error) {
	requested := clock.Now()

	r, err := h.requestReport(ctx, eng)
	if err != nil {
		return r, err
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if r.Born == 0 || r.Born == eng.process() {
		eng.observe(r, requested, clock.Now())
	}

	return r, nil
}

// refuseLoad records that a load is not sent because no report shows room for it.
func (h *Holder) refuseLoad(eng *trackedEngine, load Order) bool {
	h.mu.Lock()
	eng.synced = false
	shown, _ := eng.contents.Shown()
	h.mu.Unlock()

	h.cfg.Log.Warn().Str("target", string(eng.origin.ID)).Str("model", load.Model).Str("adapter", load.Adapter).
		Uint64("sequence", load.Sequence).Uint64("shown", shown).Msg("load refused: no report shows room")

	return false
}

// observe records a report of the engine's process, and reports whether it counts. A report with a
// lower sequence than the last order that was accepted mostly predates it.
func (eng *trackedEngine) observe(r Report, requested, arrived time.Time) bool {
	if r.Sequence < eng.sequence {
		return eng.contents.Settles(itemsOf(r), requested, arrived)
	}

	return eng.contents.Observe(itemsOf(r), requested, arrived)
}

// recordSent records an order that is about to be sent.
func (eng *trackedEngine) recordSent(o Order, now time.Time) {
	eng.contents.Sent(contentsOrder(o), now.Add(ledger.OrderLifetime))
}

func contentsOrder(o Order) contents.Order {
	return contents.Order{Item: contents.Item{Model: o.Model, Adapter: o.Adapter}, Unload: o.Unload, Sequence: o.Sequence}
}

// itemsOf returns a report with what the engine holds as items.
func itemsOf(r Report) contents.Report {
	items := make(contents.Items, len(r.Resident))

	for _, m := range r.Resident {
		items[contents.Item{Model: m.Model}] = true

		for _, adapter := range m.Adapters {
			items[contents.Item{Model: m.Model, Adapter: adapter}] = true
		}
	}

	for _, pending := range r.Pending {
		model, adapter := splitPending(pending)
		items[contents.Item{Model: model, Adapter: adapter}] = true
	}

	return contents.Report{Sequence: r.Sequence, Busy: r.Busy, Items: items}
}

// splitPending returns the model and the adapter of model/adapter@version.
func splitPending(pending string) (model, adapter string) {
	model, adapter, _ = strings.Cut(pending, "/")
	adapter, _, _ = strings.Cut(adapter, "@")

	return model, adapter
}
