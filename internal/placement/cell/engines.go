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

// engineState is the holder's state of one engine.
type engineState struct {
	instance.Instance

	engine target.Engine
	// inventory is the engine's latest inventory that was applied. fresh says
	// that it is current: it is set when an inventory is applied, and cleared
	// when a poll gets no answer or when the inventory in an order's answer
	// could not be applied.
	inventory target.Inventory
	fresh     bool
	// inventoryAt is when the inventory was applied.
	inventoryAt time.Time
	report      target.Report
	reportAt    time.Time
	// usable says that loads may be ordered.
	usable bool
	// answeredAt is when the engine last answered a poll for its inventory, or
	// when polling began.
	answeredAt time.Time
	// orders counts the loads and unloads whose calls are running; epoch counts
	// those whose calls have ended, with an answer or without. An inventory that
	// was requested in an earlier epoch may be out of date.
	orders int
	epoch  uint64
	// loadTimes holds when the loads of the last hour were ordered.
	loadTimes []time.Time
	stop      chan struct{}
	// trigger makes poll ask the engine at once.
	trigger chan struct{}
}

// pollNow makes poll ask the engine at once.
func (e *engineState) pollNow() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// The intervals at which an engine is polled, and the time without an answer
// after which it counts as down.
const (
	pollEvery       = 500 * time.Millisecond
	pollWhenLoading = 10 * time.Millisecond
	downAfter       = 1500 * time.Millisecond
)

func isNoMemory(err error) bool {
	var noMemory *target.NoMemoryError

	return errors.As(err, &noMemory)
}

// noteLoad records a load and drops those older than an hour.
func (e *engineState) noteLoad(now time.Time) {
	e.loadTimes = append(e.loadTimes, now)
	e.loadTimes = slices.DeleteFunc(e.loadTimes, func(at time.Time) bool { return now.Sub(at) > time.Hour })
}

// syncTargets starts to poll the cell's targets that are new on the instance
// list and removes those that are gone.
func (t *leaseTerm) syncTargets(now time.Time) {
	for _, in := range t.cfg.Fleet.Listed(instance.Engine) {
		if Of(string(in.ID), t.cfg.Cells) != t.cfg.Cell {
			continue
		}

		e := t.targets[in.ID]
		if e == nil {
			e = &engineState{Instance: in, engine: t.cfg.Dial(in), answeredAt: now, stop: make(chan struct{}), trigger: make(chan struct{}, 1)}
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

			t.publishNow = true
		}
	}
}

func (t *leaseTerm) markLeaving(e *engineState) {
	if e.State == instance.Leaving {
		return
	}

	e.State = instance.Leaving
	e.usable = false
	t.publishNow = true
	t.cfg.Log.Add(timeline.Event{Kind: timeline.TargetLeaving, Target: e.ID})
}

// poll asks one engine for its inventory and its report at intervals, more
// often while it loads a model.
func (t *leaseTerm) poll(e *engineState) {
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
		case <-e.trigger:
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

// pollInventory reads and applies the engine's inventory. If the engine's token
// is lower than this holder's, it raises the engine's token first. It reports
// whether the engine is loading a model.
func (t *leaseTerm) pollInventory(e *engineState) bool {
	t.mu.Lock()
	epoch, token := e.epoch, t.holding.Token
	t.mu.Unlock()

	inv, err := e.engine.Inventory(t.ctx)
	if err == nil && t.cfg.ChecksTokens(e.ID) && inv.Token < token {
		// Once the engine has answered, it refuses all orders of former holders.
		id := sprintf("raise/%d/%s", token, inv.Incarnation)
		inv, err = e.engine.Submit(t.ctx, target.Order{ID: id, Token: token, Action: target.RaiseToken{}})
	}

	if isStale(err) {
		t.foundSuccessor(err)

		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	if err != nil {
		t.noteNoAnswer(e, now)

		return false
	}

	e.answeredAt = now

	if epoch == e.epoch && e.orders == 0 {
		t.reconcile(e.ID, e, inv, now)
	}

	return slices.ContainsFunc(t.ledger.Target(e.ID), func(r *ledger.Row) bool {
		return r.State.Phase == target.Loading
	})
}

// noteNoAnswer records that the engine did not answer, and makes it unusable
// once it has not answered for downAfter.
func (t *leaseTerm) noteNoAnswer(e *engineState, now time.Time) {
	e.fresh = false

	if e.usable && now.Sub(e.answeredAt) > downAfter {
		e.usable = false
		t.publishNow = true
		t.cfg.Log.Add(timeline.Event{Kind: timeline.TargetDied, Target: e.ID, Detail: "does not answer"})
		t.requestRound()
	}
}

func (t *leaseTerm) pollReport(e *engineState) {
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

// reconcile applies an engine's inventory to its state and to the ledger.
func (t *leaseTerm) reconcile(id instance.ID, e *engineState, inv target.Inventory, now time.Time) {
	if inv.Leaving {
		t.markLeaving(e)
	}

	if e.inventory.Incarnation != "" && e.inventory.Incarnation != inv.Incarnation {
		t.cfg.Log.Add(timeline.Event{Kind: timeline.TargetDied, Target: id, Detail: "came back empty"})
	}

	e.inventory, e.fresh, e.inventoryAt = inv, true, now
	wasUsable := e.usable
	e.usable = e.State != instance.Leaving && t.ledgerRead &&
		(!t.cfg.ChecksTokens(id) || inv.Token >= t.holding.Token)

	if e.usable != wasUsable {
		t.publishNow = true
		t.requestRound()
	}

	if !t.ledgerRead {
		e.fresh = false

		return
	}

	for _, r := range slices.Clone(t.ledger.Target(id)) {
		t.reconcileRow(r, inv, now)
	}

	for _, h := range inv.Resident {
		if t.ledger.Row(ledger.Key{Target: id, Model: h.Model}) == nil {
			t.adoptUncounted(id, h, now)
		}
	}
}

// reconcileRow updates a row's state from the engine's inventory.
func (t *leaseTerm) reconcileRow(r *ledger.Row, inv target.Inventory, now time.Time) {
	at := slices.IndexFunc(inv.Resident, func(h target.ResidentModel) bool { return h.Model == r.Model })

	switch {
	case at >= 0:
		t.applyPhase(r, inv.Resident[at].Phase, now)
	case r.State.Acknowledged && r.State.Phase != target.Unloading:
		// The replica has disappeared: the engine was restarted, or the
		// replica was unloaded without an order of this holder. The row is
		// removed once Removable allows it; whether to load the model again
		// is decided as for any other model.
		r.State.Phase = target.Unloading
		r.State.Since = now
		r.State.Retiring = true
		t.publishNow = true
	}
}

// applyPhase sets the row's phase to the engine's. A row that is being unloaded
// keeps its phase.
func (t *leaseTerm) applyPhase(r *ledger.Row, p target.Phase, now time.Time) {
	if r.State.Phase == p || r.State.Phase == target.Unloading {
		return
	}

	switch p {
	case target.Ready:
		if r.State.Phase == target.Loading && r.State.OwnTerm && r.Base == "" {
			t.loadSpeed.add(r.Bytes, now.Sub(r.State.Since))
		}

		delete(t.loadFailures, r.Model)
		t.event(timeline.LoadConfirmed, r.Key, now.Sub(r.State.Since).Round(time.Millisecond).String())
	case target.Failed:
		t.recordLoadFailure(r, now)

		return
	case target.Loading, target.Unloading:
	}

	r.State.Phase = p
	r.State.Since = now
	t.publishNow = true
	t.requestRound()
}

// recordLoadFailure marks the row as failed and counts the failure for its
// model.
func (t *leaseTerm) recordLoadFailure(r *ledger.Row, now time.Time) {
	t.loadFailures[r.Model]++
	r.State.Failures = t.loadFailures[r.Model]
	r.State.Phase = target.Failed
	r.State.Since = now
	t.publishNow = true
	t.event(timeline.LoadFailed, r.Key, sprintf("%d in a row", r.State.Failures))
	t.requestRound()
}

// adoptUncounted adds a row for a replica that is resident on the engine but not
// in the ledger. The row counts at once and is written to the store; after that
// the replica is unloaded.
func (t *leaseTerm) adoptUncounted(id instance.ID, h target.ResidentModel, now time.Time) {
	row := t.ledger.Adopt(ledger.Row{
		Key:     ledger.Key{Target: id, Model: h.Model},
		Base:    h.Base,
		Bytes:   h.Bytes,
		Token:   t.holding.Token,
		Holder:  t.cfg.Self,
		Process: t.cfg.Process,
		WriteID: newID(),
		State: ledger.State{
			Phase: h.Phase, OwnTerm: true, Acknowledged: true, Incarnation: t.targets[id].inventory.Incarnation,
			Retiring: true, Since: now, LastUsed: now,
		},
	})
	t.cfg.Logger.Warn().Str("target", string(id)).Str("model", h.Model).Msg("adopted a replica that had no ledger row")

	key, value, fence := record.LedgerKey(t.cfg.Cell, row.Key), record.EncodeLedger(row), t.holding.FenceVersion
	t.background(row, func(ctx context.Context) {
		version, err := table.Settle(ctx, t.cfg.Table, table.Transaction{
			Conditions: []table.Condition{{Key: key}, {Key: record.FenceKey(t.cfg.Cell), Version: fence}},
			Writes:     []table.Write{{Key: key, Value: value}},
		})
		if table.IsConflict(err) {
			t.foundSuccessor(err)
		}

		if err != nil {
			return
		}

		t.mu.Lock()
		row.Version = version
		t.mu.Unlock()
	})
}

// targetSnapshots returns the targets as input of a decision, sorted by id.
func (t *leaseTerm) targetSnapshots(now time.Time) []replica.Target {
	out := make([]replica.Target, 0, len(t.targets))

	for id, e := range t.targets {
		slots := max(1, e.report.Slots)
		e.loadTimes = slices.DeleteFunc(e.loadTimes, func(at time.Time) bool { return now.Sub(at) > time.Hour })

		out = append(out, replica.Target{
			ID:            id,
			Memory:        e.inventory.Memory,
			Speed:         e.inventory.Speed,
			Slots:         slots,
			Usable:        e.usable,
			Lost:          e.State == instance.Leaving || now.Sub(e.answeredAt) > downAfter,
			Cached:        e.inventory.Cached,
			LoadsLastHour: len(e.loadTimes),
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
