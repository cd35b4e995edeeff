package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// engineState is what the holder knows of one target.
type engineState struct {
	instance.Instance

	engine target.Engine
	// inventory is the engine's last, and fresh says that there is one and
	// that no order was answered after it.
	inventory target.Inventory
	fresh     bool
	// inventoryAt is when the inventory came.
	inventoryAt time.Time
	report      target.Report
	reportAt    time.Time
	// usable says that loads may be ordered.
	usable bool
	// heardAt is when the engine last answered.
	heardAt time.Time
	// orders counts the orders in flight; epoch counts those answered. An
	// inventory that was asked for in an earlier epoch is out of date.
	orders int
	epoch  uint64
	loads  []time.Time
	stop   chan struct{}
	// kick makes the next look at the engine come at once.
	kick chan struct{}
}

func (e *engineState) poke() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// The times between two looks at an engine.
const (
	pollEvery       = 500 * time.Millisecond
	pollWhenLoading = 10 * time.Millisecond
	downAfter       = 1500 * time.Millisecond
)

func isNoMemory(err error) bool {
	var noMemory *target.NoMemoryError

	return errors.As(err, &noMemory)
}

func (e *engineState) noteLoad(now time.Time) {
	e.loads = append(e.loads, now)
	e.loads = slices.DeleteFunc(e.loads, func(at time.Time) bool { return now.Sub(at) > time.Hour })
}

// syncTargets starts to watch the targets that are new on the list and
// forgets those that are gone.
func (t *tenure) syncTargets(now time.Time) {
	for _, in := range t.cfg.Fleet.Listed(instance.Engine) {
		if Of(string(in.ID), t.cfg.Cells) != t.cfg.Cell {
			continue
		}

		e := t.targets[in.ID]
		if e == nil {
			e = &engineState{Instance: in, engine: t.cfg.Dial(in), heardAt: now, stop: make(chan struct{}), kick: make(chan struct{}, 1)}
			t.targets[in.ID] = e
			t.wg.Go(func() { t.poll(e) })
		}

		if in.State == instance.Leaving || t.cfg.Leaving(in.ID) {
			t.markLeaving(e)
		}
	}

	for id, e := range t.targets {
		if t.cfg.Fleet.Gone(id, now) {
			close(e.stop)
			delete(t.targets, id)

			t.urgent = true
		}
	}
}

func (t *tenure) markLeaving(e *engineState) {
	if e.State == instance.Leaving {
		return
	}

	e.State = instance.Leaving
	e.usable = false
	t.urgent = true
	t.cfg.Log.Add(timeline.Event{Kind: timeline.TargetLeaving, Target: e.ID})
}

// poll asks one engine for its inventory and its load at intervals, more
// often while it loads.
func (t *tenure) poll(e *engineState) {
	var reported time.Time

	for {
		loading := t.pollInventory(e)

		if time.Since(reported) >= pollEvery {
			t.pollReport(e)

			reported = time.Now()
		}

		pause := pollEvery
		if loading {
			pause = pollWhenLoading
		}

		timer := time.NewTimer(pause)
		select {
		case <-t.ctx.Done():
		case <-e.stop:
		case <-e.kick:
		case <-timer.C:
		}

		timer.Stop()

		if t.ctx.Err() != nil || isClosed(e.stop) {
			return
		}
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// pollInventory reports whether the engine is loading something.
func (t *tenure) pollInventory(e *engineState) bool {
	t.mu.Lock()
	epoch, token := e.epoch, t.held.Token
	t.mu.Unlock()

	inv, err := e.engine.Inventory(t.ctx)
	if err == nil && t.cfg.ChecksTokens(e.ID) && inv.Token < token {
		// From the answer on the engine refuses all orders of former holders.
		id := detail("raise/%d/%s", token, inv.Incarnation)
		inv, err = e.engine.Submit(t.ctx, target.Order{ID: id, Token: token, Action: target.RaiseToken{}})
	}

	if isStale(err) {
		t.lostLease(err)

		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	if err != nil {
		t.silent(e, now)

		return false
	}

	e.heardAt = now

	if epoch == e.epoch && e.orders == 0 {
		t.reconcile(e.ID, e, inv, now)
	}

	return slices.ContainsFunc(t.book.Target(e.ID), func(r *ledger.Row) bool {
		return r.State.Phase == target.Loading
	})
}

// silent notes that the engine did not answer.
func (t *tenure) silent(e *engineState, now time.Time) {
	e.fresh = false

	if e.usable && now.Sub(e.heardAt) > downAfter {
		e.usable = false
		t.urgent = true
		t.cfg.Log.Add(timeline.Event{Kind: timeline.TargetDied, Target: e.ID, Detail: "does not answer"})
		t.poke()
	}
}

func (t *tenure) pollReport(e *engineState) {
	report, err := e.engine.Report(t.ctx)
	if err != nil {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	e.report, e.reportAt = report, time.Now()

	if report.Leaving {
		t.markLeaving(e)
	}
}

// reconcile compares the ledger with what the engine holds.
func (t *tenure) reconcile(id instance.ID, e *engineState, inv target.Inventory, now time.Time) {
	if inv.Leaving {
		t.markLeaving(e)
	}

	if e.inventory.Incarnation != "" && e.inventory.Incarnation != inv.Incarnation {
		t.cfg.Log.Add(timeline.Event{Kind: timeline.TargetDied, Target: id, Detail: "came back empty"})
	}

	e.inventory, e.fresh, e.inventoryAt = inv, true, now
	wasUsable := e.usable
	e.usable = e.State != instance.Leaving && t.ready &&
		(!t.cfg.ChecksTokens(id) || inv.Token >= t.held.Token)

	if e.usable != wasUsable {
		t.urgent = true
		t.poke()
	}

	if !t.ready {
		e.fresh = false

		return
	}

	for _, r := range slices.Clone(t.book.Target(id)) {
		t.compare(r, inv, now)
	}

	for _, h := range inv.Held {
		if t.book.Row(ledger.Key{Target: id, Model: h.Model}) == nil {
			t.adoptReplica(id, h, now)
		}
	}
}

// compare brings a row's state in line with the engine's inventory.
func (t *tenure) compare(r *ledger.Row, inv target.Inventory, now time.Time) {
	at := slices.IndexFunc(inv.Held, func(h target.Held) bool { return h.Model == r.Model })

	switch {
	case at >= 0:
		t.follow(r, inv.Held[at].Phase, now)
	case r.State.Acked && r.State.Phase != target.Unloading:
		// The replica was there and is gone: the engine was restarted, or
		// somebody else unloaded it. The row is removed once that is proved;
		// a new load is decided like any other.
		r.State.Phase = target.Unloading
		r.State.Since = now
		r.State.Retiring = true
		t.urgent = true
	}
}

// follow moves the row's phase after the engine's.
func (t *tenure) follow(r *ledger.Row, p target.Phase, now time.Time) {
	if r.State.Phase == p || r.State.Phase == target.Unloading {
		return
	}

	switch p {
	case target.Ready:
		if r.State.Phase == target.Loading && r.State.Own && r.Base == "" {
			t.loadTime.learn(r.Bytes, now.Sub(r.State.Since))
		}

		delete(t.failures, r.Model)
		t.event(timeline.LoadConfirmed, r.Key, now.Sub(r.State.Since).Round(time.Millisecond).String())
	case target.Failed:
		t.fail(r, now)

		return
	case target.Loading, target.Unloading:
	}

	r.State.Phase = p
	r.State.Since = now
	t.urgent = true
	t.poke()
}

func (t *tenure) fail(r *ledger.Row, now time.Time) {
	t.failures[r.Model]++
	r.State.Failures = t.failures[r.Model]
	r.State.Phase = target.Failed
	r.State.Since = now
	t.urgent = true
	t.event(timeline.LoadFailed, r.Key, detail("%d in a row", r.State.Failures))
	t.poke()
}

// adoptReplica counts a replica that the engine holds without a row. It is
// counted at once, written to the ledger, and then unloaded.
func (t *tenure) adoptReplica(id instance.ID, h target.Held, now time.Time) {
	row := t.book.Adopt(ledger.Row{
		Key:     ledger.Key{Target: id, Model: h.Model},
		Base:    h.Base,
		Bytes:   h.Bytes,
		Token:   t.held.Token,
		Holder:  t.cfg.Self,
		Process: t.cfg.Process,
		WriteID: newID(),
		State: ledger.State{
			Phase: h.Phase, Own: true, Acked: true, Incarnation: t.targets[id].inventory.Incarnation,
			Retiring: true, Since: now, LastUsed: now,
		},
	})
	t.cfg.Logger.Warn().Str("target", string(id)).Str("model", h.Model).Msg("replica without a ledger row adopted")

	key, value, fence := record.LedgerKey(t.cfg.Cell, row.Key), record.EncodeLedger(row), t.held.Fence
	t.background(row, func(ctx context.Context) {
		version, err := table.Settle(ctx, t.cfg.Table, table.Transaction{
			Conditions: []table.Condition{{Key: key}, {Key: record.FenceKey(t.cfg.Cell), Version: fence}},
			Writes:     []table.Write{{Key: key, Value: value}},
		})
		if table.IsConflict(err) {
			t.lostLease(err)
		}

		if err != nil {
			return
		}

		t.mu.Lock()
		row.Version = version
		t.mu.Unlock()
	})
}

// targetViews returns the targets as the decision sees them, sorted by id.
func (t *tenure) targetViews(now time.Time) []replica.Target {
	out := make([]replica.Target, 0, len(t.targets))

	for id, e := range t.targets {
		slots := max(1, e.report.Slots)
		e.loads = slices.DeleteFunc(e.loads, func(at time.Time) bool { return now.Sub(at) > time.Hour })

		out = append(out, replica.Target{
			ID:            id,
			Memory:        e.inventory.Memory,
			Speed:         e.inventory.Speed,
			Slots:         slots,
			Usable:        e.usable,
			Lost:          e.State == instance.Leaving || now.Sub(e.heardAt) > downAfter,
			Cached:        e.inventory.Cached,
			LoadsLastHour: len(e.loads),
		})
	}

	slices.SortFunc(out, func(a, b replica.Target) int {
		if a.ID < b.ID {
			return -1
		}

		return 1
	})

	return out
}
