package cell

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

func newID() string { return uuid.NewString() }

// load writes the ledger row and then orders the load. The row comes first:
// whatever dies in between, the order can only do what the table counts.
func (t *tenure) load(k ledger.Key, writeID string) {
	t.mu.Lock()
	row := t.book.Row(k)

	if row == nil || row.WriteID != writeID {
		t.mu.Unlock()

		return
	}

	value, fence := record.EncodeLedger(row), t.held.Fence
	bytes, base := row.Bytes, row.Base
	t.mu.Unlock()

	key := record.LedgerKey(t.cfg.Cell, k)

	version, err := table.Settle(t.ctx, t.cfg.Table, table.Transaction{
		Conditions: []table.Condition{
			{Key: key},
			{Key: record.FenceKey(t.cfg.Cell), Version: fence},
		},
		Writes: []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		t.notWritten(k, err)

		return
	}

	t.mu.Lock()
	row.Version = version
	t.mu.Unlock()

	t.event(timeline.LedgerWritten, k, "")
	t.orderLoad(k, target.Load{Model: k.Model, Base: base, Bytes: bytes}, loadID(writeID))
}

// loadID returns the id of all orders to load a row, whoever sends them.
func loadID(writeID string) string { return "load/" + writeID }

// notWritten handles a row that could not be written. On a conflict it had no
// effect, and the reservation is dropped. In any other case the tenure has
// ended while the write was in doubt; the successor reads what is there.
func (t *tenure) notWritten(k ledger.Key, err error) {
	if !table.IsConflict(err) {
		return
	}

	t.mu.Lock()
	t.book.Remove(k)
	t.mu.Unlock()

	t.lostLease(err)
}

// orderLoad sends the order until the engine has answered it. Sending it
// again under the same id is harmless.
func (t *tenure) orderLoad(k ledger.Key, a target.Load, id string) {
	t.event(timeline.LoadOrdered, k, "")

	for {
		got, err := t.submit(k, a, id)
		if err == nil {
			t.answered(k, got, true)

			return
		}

		if t.settledBy(k, err) || !t.sleep(orderRetry) {
			return
		}
	}
}

// orderRetry is the pause before an order without an answer is sent again.
const orderRetry = 200 * time.Millisecond

// settledBy reports whether the error ends the order, so that it is not sent
// again.
func (t *tenure) settledBy(k ledger.Key, err error) bool {
	if isStale(err) {
		t.lostLease(err)

		return true
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	row := t.book.Row(k)
	if row == nil {
		return true
	}

	if isNoMemory(err) {
		// The engine proved that it did not load.
		row.State.Acked = true
		row.State.Incarnation = t.targets[k.Target].inventory.Incarnation
		t.fail(row, time.Now())

		return true
	}

	// A target that is gone takes no orders. Its rows are removed when the
	// list proves that it is gone.
	_, listed := t.cfg.Fleet.Lookup(k.Target)

	return !listed
}

// answer is an engine's answer to an order.
type answer struct {
	inventory target.Inventory
	// alone says that no other order was in flight meanwhile. Otherwise the
	// inventory may have been taken before another order took effect whose
	// answer was handled first, and would show its replica as missing.
	alone bool
	// epoch is the engine's after this answer. If it has changed by the time
	// the inventory is looked at, another order was answered in between.
	epoch uint64
}

// submit sends one order, if this holder may. It checks the lease right
// before and right after.
func (t *tenure) submit(k ledger.Key, a target.Action, id string) (answer, error) {
	t.mu.Lock()

	now := time.Now()
	token := t.held.Token

	row, e := t.book.Row(k), t.targets[k.Target]
	if row == nil || e == nil || !t.mayOrder(row, now) {
		t.mu.Unlock()

		return answer{}, &lease.LapsedError{Cell: t.cfg.Cell, Token: token}
	}

	doubt := row.State.Doubt
	row.State.Doubt = now
	e.orders++
	epoch := e.epoch

	t.inHand.Add(1)
	t.mu.Unlock()

	inv, err := e.engine.Submit(t.ctx, target.Order{ID: id, Token: token, Action: a})

	t.mu.Lock()
	defer t.mu.Unlock()

	t.inHand.Add(-1)

	e.orders--
	alone := e.orders == 0 && e.epoch == epoch
	e.epoch++

	if err == nil || isNoMemory(err) || isStale(err) {
		// The engine has dealt with this order. An earlier one without an
		// answer stays in doubt.
		row.State.Doubt = doubt
	}

	if !t.mayOrder(row, time.Now()) {
		// The order went out while the lease lapsed. The row stays counted
		// until the order's effect is proved, by this holder or the next.
		t.cfg.Log.Add(timeline.Event{Kind: timeline.LateOrder, Model: k.Model, Target: k.Target, Detail: id})
	}

	return answer{inventory: inv, alone: alone, epoch: e.epoch}, err
}

// mayOrder reports whether an order for the row may be sent. Without a valid
// lease it may only if the engine itself refuses former holders, and only for
// a row that the table is known to count.
func (t *tenure) mayOrder(row *ledger.Row, now time.Time) bool {
	if t.held.Valid(now, t.cfg.Terms) {
		return true
	}

	return row.Version != 0 && t.cfg.ChecksTokens(row.Target)
}

// answered takes in the inventory that came with the answer to an order.
func (t *tenure) answered(k ledger.Key, a answer, load bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	row := t.book.Row(k)
	if row == nil {
		return
	}

	if load {
		row.State.Acked = true
		row.State.Incarnation = a.inventory.Incarnation
	}

	e := t.targets[k.Target]

	switch {
	case e == nil:
	case a.alone && e.orders == 0 && e.epoch == a.epoch:
		t.reconcile(k.Target, e, a.inventory, time.Now())
	default:
		e.fresh = false
	}

	if e != nil {
		e.poke()
	}

	t.poke()
}

// unload orders an unload until it is answered.
func (t *tenure) unload(k ledger.Key) {
	t.event(timeline.UnloadOrdered, k, "")

	id := "unload/" + newID()

	for {
		got, err := t.submit(k, target.Unload{Model: k.Model}, id)
		if err == nil {
			t.answered(k, got, false)

			return
		}

		if isStale(err) {
			t.lostLease(err)

			return
		}

		if _, listed := t.cfg.Fleet.Lookup(k.Target); !listed || !t.sleep(orderRetry) {
			return
		}
	}
}

// remove deletes a row that is proved to hold nothing.
func (t *tenure) remove(k ledger.Key, version, fence uint64) {
	err := table.SettleDelete(t.ctx, t.cfg.Table, record.LedgerKey(t.cfg.Cell, k), version,
		table.Condition{Key: record.FenceKey(t.cfg.Cell), Version: fence})
	if table.IsConflict(err) {
		t.lostLease(err)

		return
	}

	if err != nil {
		return
	}

	t.event(timeline.LedgerRemoved, k, "")

	t.mu.Lock()
	t.book.Remove(k)
	t.mu.Unlock()
	t.poke()
}

func (t *tenure) event(kind timeline.Kind, k ledger.Key, detail string) {
	t.cfg.Log.Add(timeline.Event{Kind: kind, Model: k.Model, Target: k.Target, Detail: detail})
}

// advance moves every row on that waits for something: replicas to be
// unloaded, rows to be removed, orders to be repeated after a take-over.
func (t *tenure) advance(now time.Time) {
	t.book.All(func(r *ledger.Row) { t.advanceRow(r, now) })
}

func (t *tenure) advanceRow(r *ledger.Row, now time.Time) {
	e := t.targets[r.Target]
	t.noteSettled(r, now)

	switch {
	case r.Version == 0 || r.State.Busy:
	case e == nil || r.State.Phase == target.Unloading:
		t.tryRemove(r, e, now)
	case r.Unloadable() && t.quiet(r.Key, now):
		r.State.Phase = target.Unloading
		r.State.Since = now
		t.background(r, func(context.Context) { t.unload(r.Key) })
	case t.orphaned(r, e):
		id := loadID(r.WriteID)
		load := target.Load{Model: r.Model, Base: r.Base, Bytes: r.Bytes}
		t.background(r, func(context.Context) { t.orderLoad(r.Key, load, id) })
	}
}

// orphaned reports whether the row was adopted and this holder has not ordered
// its load yet. It orders it again, under the same id: that brings about what
// the former holder may not have come to, and makes the engine ignore what the
// former holder may still send.
func (t *tenure) orphaned(r *ledger.Row, e *engineState) bool {
	return !r.State.Own && !r.State.Acked && !r.State.Retiring && e.usable
}

func (t *tenure) quiet(k ledger.Key, now time.Time) bool {
	return t.feed.publishedWithout(k) && t.asks.Quiet(k, t.held.Token, t.feed.withoutSince(k), now)
}

func (t *tenure) tryRemove(r *ledger.Row, e *engineState, now time.Time) {
	ev := ledger.Evidence{
		Now:          now,
		ChecksTokens: t.cfg.ChecksTokens(r.Target),
		Token:        t.held.Token,
		TargetGone:   t.cfg.Fleet.Gone(r.Target, now),
	}

	if !r.State.SettledSince.IsZero() {
		ev.Settled = now.Sub(r.State.SettledSince)
	}

	if e != nil && e.fresh && e.orders == 0 {
		ev.Inventory = &e.inventory
	}

	removable := r.Removable(ev)
	r.State.Stuck = !removable && now.Sub(r.State.Since) > stuckAfter

	if !removable {
		return
	}

	k, version, fence := r.Key, r.Version, t.held.Fence
	t.background(r, func(context.Context) { t.remove(k, version, fence) })
}

// noteSettled notes since when the writer of an adopted row has nothing in
// hand.
func (t *tenure) noteSettled(r *ledger.Row, now time.Time) {
	switch {
	case r.State.Own:
	case !t.settled(r, now):
		r.State.SettledSince = time.Time{}
	case r.State.SettledSince.IsZero():
		r.State.SettledSince = now
	}
}

// stuckAfter is how long a row that is to be removed may wait for its proof
// before its memory is no longer planned with.
const stuckAfter = time.Second

// settled reports whether whoever wrote the row has no order for it in hand.
// This process knows of its own: a former tenure of it has ended only when its
// orders were answered. An earlier process on this instance has ended, or this
// one could not listen on its address.
func (t *tenure) settled(r *ledger.Row, now time.Time) bool {
	if r.Holder == t.cfg.Self {
		return true
	}

	return t.cfg.Fleet.Settled(r.Holder, r.Process, t.cfg.Cell, t.since, now)
}

// background runs f for the row; until it ends nothing else is begun for it.
func (t *tenure) background(r *ledger.Row, f func(context.Context)) {
	r.State.Busy = true

	t.wg.Go(func() {
		f(t.ctx)

		t.mu.Lock()
		r.State.Busy = false
		t.mu.Unlock()
		t.poke()
	})
}
