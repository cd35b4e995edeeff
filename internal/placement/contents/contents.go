// Package contents judges what an engine holds by the engine's own reports.
//
// What a lease holder is told may be old, or belong to another call. So a report counts only if it
// accounts for every order that the engine has accepted, or if the engine has said the same for
// longer than a report can be old. No answer to an order counts: an order takes effect only after
// as many others as it states, so the orders that were sent tell what the engine can hold then.
package contents

import (
	"maps"
	"math"
	"slices"
	"time"
)

// MaxReportAge is the age that the state in an engine's report stays below: it is some hundred
// milliseconds old.
const MaxReportAge = time.Second

// Item is a model, or one of its adapters if Adapter is not empty.
type Item struct{ Model, Adapter string }

// Items are what an engine holds.
type Items map[Item]bool

// Report is an engine's report of what it holds after so many accepted orders.
type Report struct {
	Sequence uint64
	// Busy says that the engine is carrying out an order.
	Busy  bool
	Items Items
}

func (r *Report) same(o *Report) bool {
	return r.Sequence == o.Sequence && r.Busy == o.Busy && maps.Equal(r.Items, o.Items)
}

// Record is what is known of one process of an engine. The zero value knows nothing. It is not
// safe for concurrent use.
type Record struct {
	// shown says that the engine held items after it had accepted sequence orders.
	shown    bool
	sequence uint64
	items    Items
	// sent are the orders that may have taken effect since then, or may do so.
	sent []sentOrder
	// sizes are the largest sizes, in MB, that were known of the models of items and sent.
	sizes map[string]float64
	// candidate is the newest report, and since is when the first of those that say the same
	// arrived. Zero means that there is none.
	candidate Report
	since     time.Time
}

// Order is a load or an unload that takes effect if the engine has accepted Sequence orders.
type Order struct {
	Item

	Unload   bool
	Sequence uint64
}

// sentOrder is an order that may take effect until a time.
type sentOrder struct {
	Order

	until time.Time
}

// Shown returns the number of orders after which the contents are known. It reports false if they
// are not known.
func (c *Record) Shown() (sequence uint64, known bool) { return c.sequence, c.shown }

// Observe records a report that was requested and arrived at these times. It reports whether it
// counts: all orders that the engine has accepted since the last report that counted are visible
// in it, or the engine has said the same for longer than a report can be old.
func (c *Record) Observe(r Report, requested, arrived time.Time) bool {
	return c.observe(r, requested, c.settle(r, requested, arrived) || c.accounts(&r))
}

// Settles does the same for a report that may predate the last order: it counts only if the engine
// has said the same for longer than a report can be old.
func (c *Record) Settles(r Report, requested, arrived time.Time) bool {
	return c.observe(r, requested, c.settle(r, requested, arrived))
}

// Unanswered records that the engine has not answered a request for a report. What it says after
// that may be an answer to a request before.
func (c *Record) Unanswered() { c.since = time.Time{} }

func (c *Record) observe(r Report, requested time.Time, counts bool) bool {
	if counts && !r.Busy {
		c.show(r, requested)
	}

	return counts
}

// settle reports whether the engine has said the same for longer than a report can be old, and
// nothing was sent in the meantime.
func (c *Record) settle(r Report, requested, arrived time.Time) bool {
	if c.shown && r.Sequence < c.sequence {
		return false
	}

	if c.since.IsZero() || !c.candidate.same(&r) {
		c.candidate, c.since = r, arrived

		return false
	}

	return requested.Sub(c.since) >= MaxReportAge
}

// accounts reports whether as many changes since the last report that counted are visible as the
// engine has accepted orders. Each order changes one item. So no order is missing among the items,
// even if they are older than the sequence.
func (c *Record) accounts(r *Report) bool {
	return c.shown && !r.Busy && r.Sequence >= c.sequence && r.Sequence-c.sequence == c.items.orders(r.Items)
}

// reloadOrders is the number of orders that remove all adapters from a model that stays: an unload
// of the model and a load.
const reloadOrders = 2

// orders returns the least number of orders that lead from these items to others.
func (i Items) orders(to Items) uint64 {
	n, dropped := uint64(0), make(map[string]uint64)

	for item := range to {
		if !i[item] {
			n++
		}
	}

	for item := range i {
		switch {
		case to[item]:
		case item.Adapter == "":
			n++
		case to[Item{Model: item.Model}]:
			dropped[item.Model]++
		}
	}

	for _, adapters := range dropped {
		n += min(adapters, reloadOrders)
	}

	return n
}

func (c *Record) show(r Report, requested time.Time) {
	c.shown, c.sequence, c.items = true, r.Sequence, r.Items

	c.sent = slices.DeleteFunc(c.sent, func(o sentOrder) bool { return o.Sequence < r.Sequence || !requested.Before(o.until) })

	maps.DeleteFunc(c.sizes, func(model string, _ float64) bool { return !c.mayHold(model) })
}

func (c *Record) mayHold(model string) bool {
	return c.items[Item{Model: model}] || slices.ContainsFunc(c.sent, func(o sentOrder) bool { return o.Model == model })
}

// Sent records an order that is sent and may take effect until a time. What the engine says before
// and after differs.
func (c *Record) Sent(o Order, until time.Time) {
	c.since = time.Time{}

	if i := slices.IndexFunc(c.sent, func(old sentOrder) bool { return old.Order == o }); i >= 0 {
		c.sent[i].until = until

		return
	}

	c.sent = append(c.sent, sentOrder{Order: o, until: until})
}

// Most returns the memory in MB that models may take, and the number of adapters that there may be
// on the engine, once a load takes effect, whatever the answers to the orders before it were. size
// returns the size of a model, infinite if it is not known.
//
// Of the orders with one sequence exactly one has taken effect when the engine accepts the next.
func (c *Record) Most(load Order, size func(model string) float64) (mb float64, adapters int) {
	if !c.shown || load.Sequence < c.sequence {
		return math.Inf(1), math.MaxInt
	}

	held := maps.Clone(c.items)
	if held == nil {
		held = make(Items)
	}

	for sequence := c.sequence; sequence < load.Sequence; sequence++ {
		switch orders := c.sentAt(sequence); len(orders) {
		case 0: // Somebody else's order has taken effect.
			return math.Inf(1), math.MaxInt
		case 1:
			held.apply(orders[0])
		default:
			mb, adapters = mb+c.largestLoad(orders, held, size), adapters+adapterLoads(orders)
		}
	}

	mb += c.largestLoad(append(c.sentAt(load.Sequence), sentOrder{Order: load}), held, size)
	adapters += adapterLoads([]sentOrder{{Order: load}})

	for _, later := range c.sent {
		if later.Sequence > load.Sequence {
			mb, adapters = mb+c.largestLoad([]sentOrder{later}, held, size), adapters+adapterLoads([]sentOrder{later})
		}
	}

	for item := range held {
		if item.Adapter == "" {
			mb += c.largest(item.Model, size)
		} else {
			adapters++
		}
	}

	return mb, adapters
}

// sentAt returns the orders that were sent with a sequence.
func (c *Record) sentAt(sequence uint64) []sentOrder {
	var out []sentOrder

	for _, o := range c.sent {
		if o.Sequence == sequence {
			out = append(out, o)
		}
	}

	return out
}

// largestLoad returns the memory that one of the orders may take more than what is held.
func (c *Record) largestLoad(orders []sentOrder, held Items, size func(string) float64) float64 {
	mb := 0.0

	for _, o := range orders {
		if !o.Unload && o.Adapter == "" && !held[o.Item] {
			mb = max(mb, c.largest(o.Model, size))
		}
	}

	return mb
}

// adapterLoads returns 1 if one of the orders loads an adapter.
func adapterLoads(orders []sentOrder) int {
	if slices.ContainsFunc(orders, func(o sentOrder) bool { return !o.Unload && o.Adapter != "" }) {
		return 1
	}

	return 0
}

// apply changes the items by an order that has taken effect. A model takes its adapters along.
// Requests may still run on an unloaded adapter, so that it keeps its place until a report shows
// that it is gone.
func (i Items) apply(o sentOrder) {
	switch {
	case !o.Unload:
		i[o.Item] = true
	case o.Adapter == "":
		maps.DeleteFunc(i, func(item Item, _ bool) bool { return item.Model == o.Model })
	}
}

// largest returns the largest size that is known of a model since it may be on the engine.
func (c *Record) largest(model string, size func(string) float64) float64 {
	if c.sizes == nil {
		c.sizes = make(map[string]float64)
	}

	if now := size(model); !math.IsInf(now, 1) {
		c.sizes[model] = max(c.sizes[model], now)
	}

	if known, found := c.sizes[model]; found {
		return known
	}

	return math.Inf(1)
}
