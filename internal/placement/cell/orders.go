package cell

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

func newID() string { return uuid.NewString() }

// load writes the ledger row and then orders the load. The row is written
// first, so that no failure in between leaves an order for a replica that the
// ledger does not count.
func (t *leaseTerm) load(k ledger.Key, writeID string) {
	t.mu.Lock()
	row := t.ledger.Row(k)

	if row == nil || row.WriteID != writeID {
		t.mu.Unlock()

		return
	}

	value, fence := record.EncodeLedger(row), t.holding.FenceVersion
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
		t.handleWriteError(k, err)

		return
	}

	t.mu.Lock()
	row.Version = version
	t.mu.Unlock()

	t.event(timeline.LedgerWritten, k, "")
	t.orderLoad(k, target.Load{Model: k.Model, Base: base, Bytes: bytes}, loadID(writeID))
}

// loadID returns the id of all orders to load a row, in every lease term.
func loadID(writeID string) string { return "load/" + writeID }

// handleWriteError handles a row that could not be written. After a conflict the
// write had no effect, so the row is dropped and the term ends. Any other error
// means that the term has ended while the write was in doubt; the successor reads
// the ledger from the store.
func (t *leaseTerm) handleWriteError(k ledger.Key, err error) {
	if !table.IsConflict(err) {
		return
	}

	t.mu.Lock()
	t.ledger.Remove(k)
	t.mu.Unlock()

	t.foundSuccessor(err)
}

// orderLoad sends the order until the engine has answered it, endsOrder reports
// that it must not be sent again, or the term ends. Sending it again is harmless,
// because the engine carries out each id only once.
func (t *leaseTerm) orderLoad(k ledger.Key, a target.Load, id string) {
	t.event(timeline.LoadOrdered, k, "")

	for {
		ans, err := t.submit(k, a, id)
		if err == nil {
			t.handleAnswer(k, ans, true)

			return
		}

		if t.endsOrder(k, err) || !t.sleep(orderRetryPause) {
			return
		}
	}
}

// orderRetryPause is the pause before an order without an answer is sent again.
const orderRetryPause = 200 * time.Millisecond

// endsOrder handles the error of an order and reports whether it is final, so
// that the order is not sent again.
func (t *leaseTerm) endsOrder(k ledger.Key, err error) bool {
	if isStale(err) {
		t.foundSuccessor(err)

		return true
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	row := t.ledger.Row(k)
	if row == nil {
		return true
	}

	if isNoMemory(err) {
		// The engine has confirmed that it did not load the model.
		row.State.Acknowledged = true
		row.State.Incarnation = t.targets[k.Target].inventory.Incarnation
		t.recordLoadFailure(row, time.Now())

		return true
	}

	// A target that is not on the instance list gets no orders. Its rows are
	// removed once it has been missing from the list for long enough to count as
	// gone.
	_, listed := t.cfg.Fleet.Lookup(k.Target)

	return !listed
}

// answer is an engine's answer to an order.
type answer struct {
	inventory target.Inventory
	// alone says that no other order to the engine was in flight at the same
	// time. Otherwise another order, whose answer was handled first, may have
	// taken effect after this inventory was read, so that this inventory does
	// not show the other order's effect.
	alone bool
	// epoch is the engine's epoch after this answer. If it has changed by the
	// time the inventory is applied, another order has ended in between.
	epoch uint64
}

// submit sends one order, if its row and target have not been removed and
// mayOrder allows it right before the order is sent; otherwise it returns an
// ExpiredError. If mayOrder no longer allows the order when the call has
// returned, submit records a LateOrder event and returns the answer all the same.
func (t *leaseTerm) submit(k ledger.Key, a target.Action, id string) (answer, error) {
	t.mu.Lock()

	now := time.Now()
	token := t.holding.Token

	row, e := t.ledger.Row(k), t.targets[k.Target]
	if row == nil || e == nil || !t.mayOrder(row, now) {
		t.mu.Unlock()

		return answer{}, &lease.ExpiredError{Cell: t.cfg.Cell, Token: token}
	}

	earlierDoubt := row.State.InDoubtSince
	row.State.InDoubtSince = now
	e.orders++
	epoch := e.epoch

	t.inFlight.Add(1)
	t.mu.Unlock()

	inv, err := e.engine.Submit(t.ctx, target.Order{ID: id, Token: token, Action: a})

	t.mu.Lock()
	defer t.mu.Unlock()

	t.inFlight.Add(-1)

	e.orders--
	alone := e.orders == 0 && e.epoch == epoch
	e.epoch++

	if err == nil || isNoMemory(err) || isStale(err) {
		// The engine has answered this order. An earlier one without an answer
		// stays in doubt.
		row.State.InDoubtSince = earlierDoubt
	}

	if !t.mayOrder(row, time.Now()) {
		// The lease expired while the order was in flight. The row stays
		// counted until Removable allows this holder or its successor to
		// remove it.
		t.cfg.Log.Add(timeline.Event{Kind: timeline.LateOrder, Model: k.Model, Target: k.Target, Detail: id})
	}

	return answer{inventory: inv, alone: alone, epoch: e.epoch}, err
}

// mayOrder reports whether an order for the row may be sent. Without a valid
// lease, it may be sent only to an engine that itself refuses orders of former
// holders, and only for a row whose write to the store is confirmed.
func (t *leaseTerm) mayOrder(row *ledger.Row, now time.Time) bool {
	if t.holding.Valid(now, t.cfg.Timing) {
		return true
	}

	return row.Version != 0 && t.cfg.ChecksTokens(row.Target)
}

// handleAnswer applies the inventory in the answer to an order.
func (t *leaseTerm) handleAnswer(k ledger.Key, a answer, load bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	row := t.ledger.Row(k)
	if row == nil {
		return
	}

	if load {
		row.State.Acknowledged = true
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
		e.pollNow()
	}

	t.requestRound()
}

// unload sends an unload order until the engine has answered it. It stops early
// if a successor is found, the target is no longer on the instance list, or the
// term ends.
func (t *leaseTerm) unload(k ledger.Key) {
	t.event(timeline.UnloadOrdered, k, "")

	id := "unload/" + newID()

	for {
		ans, err := t.submit(k, target.Unload{Model: k.Model}, id)
		if err == nil {
			t.handleAnswer(k, ans, false)

			return
		}

		if isStale(err) {
			t.foundSuccessor(err)

			return
		}

		if _, listed := t.cfg.Fleet.Lookup(k.Target); !listed || !t.sleep(orderRetryPause) {
			return
		}
	}
}

// remove deletes a row that Removable has allowed to be removed.
func (t *leaseTerm) remove(k ledger.Key, version, fence revision.Number) {
	err := table.SettleDelete(t.ctx, t.cfg.Table, record.LedgerKey(t.cfg.Cell, k), version,
		table.Condition{Key: record.FenceKey(t.cfg.Cell), Version: fence})
	if table.IsConflict(err) {
		t.foundSuccessor(err)

		return
	}

	if err != nil {
		return
	}

	t.event(timeline.LedgerRemoved, k, "")

	t.mu.Lock()
	t.ledger.Remove(k)
	t.mu.Unlock()
	t.requestRound()
}

func (t *leaseTerm) event(kind timeline.Kind, k ledger.Key, detail string) {
	t.cfg.Log.Add(timeline.Event{Kind: kind, Model: k.Model, Target: k.Target, Detail: detail})
}

// advance starts the next operation of each row, if one is due: unloading a
// replica, removing a row, or sending the load order of an adopted row.
func (t *leaseTerm) advance(now time.Time) {
	t.ledger.All(func(r *ledger.Row) { t.advanceRow(r, now) })
}

func (t *leaseTerm) advanceRow(r *ledger.Row, now time.Time) {
	e := t.targets[r.Target]
	t.noteWriterIdle(r, now)

	switch {
	case r.Version == 0 || r.State.Busy:
	case e == nil || r.State.Phase == target.Unloading:
		t.tryRemove(r, e, now)
	case r.Unloadable() && t.idleEverywhere(r.Key, now):
		r.State.Phase = target.Unloading
		r.State.Since = now
		t.background(r, func(context.Context) { t.unload(r.Key) })
	case t.needsOrder(r, e):
		id := loadID(r.WriteID)
		load := target.Load{Model: r.Model, Base: r.Base, Bytes: r.Bytes}
		t.background(r, func(context.Context) { t.orderLoad(r.Key, load, id) })
	}
}

// needsOrder reports whether this holder must send the load order of a row that
// it adopted, because the former holder may not have sent it. Both orders have
// the same id, so the engine carries out the one that arrives first and ignores
// the other.
func (t *leaseTerm) needsOrder(r *ledger.Row, e *engineState) bool {
	return !r.State.OwnTerm && !r.State.Acknowledged && !r.State.Retiring && e.usable
}

// idleEverywhere reports whether all entries have removed the replica from their
// routing and run no request on it.
func (t *leaseTerm) idleEverywhere(k ledger.Key, now time.Time) bool {
	return t.published.omits(k) && t.demand.Drained(k, t.holding.Token, t.published.omittedSince(k), now)
}

// tryRemove removes the row if it may be removed; if not, it marks a row that
// has waited for more than stuckAfter as stuck.
func (t *leaseTerm) tryRemove(r *ledger.Row, e *engineState, now time.Time) {
	ev := ledger.Evidence{
		Now:          now,
		ChecksTokens: t.cfg.ChecksTokens(r.Target),
		Token:        t.holding.Token,
		TargetGone:   t.cfg.Fleet.Gone(r.Target, now),
	}

	if !r.State.WriterIdleSince.IsZero() {
		ev.WriterIdle = now.Sub(r.State.WriterIdleSince)
	}

	if e != nil && e.fresh && e.orders == 0 {
		ev.Inventory = &e.inventory
	}

	removable := r.Removable(ev)
	r.State.Stuck = !removable && now.Sub(r.State.Since) > stuckAfter

	if !removable {
		return
	}

	k, version, fence := r.Key, r.Version, t.holding.FenceVersion
	t.background(r, func(context.Context) { t.remove(k, version, fence) })
}

// noteWriterIdle sets WriterIdleSince of an adopted row when its writer is first
// proved to have no order in flight, and clears it if that is no longer proved.
func (t *leaseTerm) noteWriterIdle(r *ledger.Row, now time.Time) {
	switch {
	case r.State.OwnTerm:
	case !t.writerIdle(r, now):
		r.State.WriterIdleSince = time.Time{}
	case r.State.WriterIdleSince.IsZero():
		r.State.WriterIdleSince = now
	}
}

// stuckAfter is how long a row that is to be removed may wait for proof that it
// may be, before decisions stop relying on its memory becoming free.
const stuckAfter = time.Second

// writerIdle reports whether the process that wrote the row is proved to have no
// order in flight, that is, no running call for one. Rows of this instance count
// as proved: an earlier term of this process cancelled its calls to engines when
// it ended (if foundSuccessor ended it, this term may have started before they
// returned), and an earlier process has ended, since this one could not listen on
// its address otherwise. An order whose call was cancelled or timed out may still
// arrive; Removable therefore also requires that the engine has the raised token,
// or that OrderLifetime has passed.
func (t *leaseTerm) writerIdle(r *ledger.Row, now time.Time) bool {
	if r.Holder == t.cfg.Self {
		return true
	}

	return t.cfg.Fleet.ProvedIdle(r.Holder, r.Process, t.cfg.Cell, t.since, now)
}

// background runs f for the row in a goroutine. Until f returns, no other
// operation starts for the row.
func (t *leaseTerm) background(r *ledger.Row, f func(context.Context)) {
	r.State.Busy = true

	t.wg.Go(func() {
		f(t.ctx)

		t.mu.Lock()
		r.State.Busy = false
		t.mu.Unlock()
		t.requestRound()
	})
}
