package holder

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// lateOrder is an order that was not answered. Its target may carry it out until the end,
// also as another process than the one that it was sent to.
type lateOrder struct {
	// process is the process that the order was sent to.
	process int64
	// sequence is the number of orders that the target must have accepted before.
	sequence uint64
	// mb is the size of the model, infinite if it is not known, and zero for an adapter and for
	// an unload, which only lets the orders with the next sequence follow.
	mb      float64
	adapter bool
	until   time.Time
}

// lateOrders are the orders that were not answered, by target. The zero value has none.
//
// An order contains a sequence, so that it has no effect after another one. A target that
// starts anew under its id counts from zero, and its sequence may reach that of an order to
// its former process. If its memory is full then, the order overcommits it.
type lateOrders map[instance.ID][]lateOrder

// record records an order and drops those that no target carries out any more.
func (l lateOrders) record(id instance.ID, o lateOrder, now time.Time) {
	kept := slices.DeleteFunc(l[id], func(old lateOrder) bool { return !now.Before(old.until) })
	l[id] = append(kept, o)
}

// reserve returns the memory and the adapter slots that must stay free on a target because
// orders to its former processes may still be carried out there. The target's present
// process has accepted so many orders as the sequence says.
//
// An order that takes effect changes the sequence. Of those with the same sequence only one
// can, and those with the next sequence can follow it. Any other comes after an order of this
// holder, before which a report shows what took effect.
func (l lateOrders) reserve(id instance.ID, process int64, sequence uint64, now time.Time) (mb float64, slots int) {
	largest := make(map[uint64]lateOrder)

	for _, o := range l[id] {
		if o.process == process || o.sequence < sequence || !now.Before(o.until) {
			continue
		}

		known := largest[o.sequence]
		largest[o.sequence] = lateOrder{mb: max(known.mb, o.mb), adapter: known.adapter || o.adapter}
	}

	for first := range largest {
		mbInTurn, slotsInTurn := followedFrom(largest, first)
		mb, slots = max(mb, mbInTurn), max(slots, slotsInTurn)
	}

	return mb, slots
}

// followedFrom returns what the orders with a sequence and those that can follow it take.
func followedFrom(bySequence map[uint64]lateOrder, first uint64) (mb float64, slots int) {
	for sequence := first; ; sequence++ {
		o, found := bySequence[sequence]
		if !found {
			return mb, slots
		}

		mb += o.mb

		if o.adapter {
			slots++
		}
	}
}

// reserveRoom returns the memory and the adapter slots that must stay free on an engine because
// orders to its former processes, of whatever lease holder, may still be carried out there.
// The caller holds the lock.
func (h *Holder) reserveRoom(eng *trackedEngine, now time.Time) (mb float64, slots int) {
	mb, slots = h.lateOrders.reserve(eng.origin.ID, eng.process(), eng.sequence, now)

	if h.mayHaveForeignOrders(eng, now) {
		mb, slots = max(mb, largestMB(h.engineConfig(eng))), max(slots, 1)
	}

	return mb, slots
}

// mayHaveForeignOrders reports whether a former lease holder's orders to a former process of
// the engine may still be carried out. This holder has not heard which of them were left
// unanswered.
func (h *Holder) mayHaveForeignOrders(eng *trackedEngine, now time.Time) bool {
	return h.formerOrders(now) && h.recentlyReplaced(eng, now)
}

// recentlyReplaced reports whether orders to a former process of the engine may still be carried
// out. The caller holds the lock.
func (h *Holder) recentlyReplaced(eng *trackedEngine, now time.Time) bool {
	replaced := eng.target.ReplacedAt
	if eng.born != 0 && eng.born != eng.target.StartedMs {
		replaced = now
	}

	if !replaced.IsZero() {
		return now.Sub(replaced) < ledger.OrderLifetime
	}

	// An entry that has just started has not seen what the target was before.
	uptime := now.Sub(h.started)
	started := time.UnixMilli(eng.target.StartedMs)

	return uptime < ledger.OrderLifetime && time.Since(started) < ledger.OrderLifetime
}

// formerOrders reports whether orders of a former term may still be carried out. The caller holds
// the lock.
func (h *Holder) formerOrders(now time.Time) bool {
	return h.formerTerm && now.Sub(h.termBegan) < ledger.OrderLifetime
}

func largestMB(e *route.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		largest = max(largest, takenBy(m.MB))
	}

	return largest
}

// takenBy returns the memory that a model of a size takes: all of it if the size is not known.
func takenBy(mb float64) float64 {
	if mb <= 0 {
		return math.Inf(1)
	}

	return mb
}

// recordInDoubt records an order that was not answered.
func (h *Holder) recordInDoubt(eng *trackedEngine, o Order, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.lateOrders == nil {
		h.lateOrders = make(lateOrders)
	}

	late := lateOrder{process: eng.process(), sequence: o.Sequence, adapter: !o.Unload && o.Adapter != "", until: now.Add(ledger.OrderLifetime)}
	if !o.Unload && !late.adapter {
		late.mb = takenBy(h.engineConfig(eng).Models[o.Model].MB)
	}

	h.lateOrders.record(eng.origin.ID, late, now)
}

// process returns the process that the engine's sequence and models belong to.
func (eng *trackedEngine) process() int64 {
	if eng.born != 0 {
		return eng.born
	}

	return eng.target.StartedMs
}
