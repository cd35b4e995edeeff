package cell

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// leaseTerm is one uninterrupted period during which this instance holds the
// cell's lease, with the state that its decisions use.
type leaseTerm struct {
	*Cell

	ctx     context.Context //nolint:containedctx // It is cancelled when the term ends.
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	trigger chan struct{}
	since   time.Time

	mu      sync.Mutex
	holding lease.Holding
	ledger  ledger.Ledger
	demand  demand.Reports
	models  map[string]weight.Checkpoint
	// ledgerRead says that the ledger was read from the store, without which
	// nothing may be decided.
	ledgerRead bool
	targets    map[instance.ID]*engineState
	// loadFailures counts each model's consecutive failed loads, on any target.
	loadFailures map[string]int
	loadSpeed    speed
	waits        []router.Wait
	published    publication
	history      modelHistory
	// granter divides the load limit between the cells, if this is the first
	// cell.
	granter share.Granter
	// granted is this cell's share of the load limit, valid until grantedUntil.
	granted      share.Loads
	grantedUntil time.Time
	// publishNow makes the next round publish, even before publishEvery.
	publishNow bool
}

// The intervals of a term's loops.
const (
	decideEvery  = 100 * time.Millisecond
	publishEvery = 500 * time.Millisecond
	modelsEvery  = 30 * time.Second
)

func newLeaseTerm(c *Cell, holding lease.Holding) *leaseTerm {
	ctx, cancel := context.WithCancel(context.Background())

	t := &leaseTerm{
		Cell:         c,
		ctx:          ctx,
		cancel:       cancel,
		trigger:      make(chan struct{}, 1),
		since:        time.Now(),
		holding:      holding,
		targets:      make(map[instance.ID]*engineState),
		loadFailures: make(map[string]int),
		loadSpeed:    speed{perSecond: c.cfg.BytesPerSecond},
		granter:      share.Granter{Total: c.cfg.LoadLimit},
	}
	t.granter.Start(t.since)

	return t
}

func (t *leaseTerm) start() {
	t.wg.Go(t.run)
	t.wg.Go(t.refreshModels)

	if t.cfg.Objects != nil {
		t.wg.Go(t.maintainHistory)
	}

	if t.cfg.RequestShare != nil {
		t.wg.Go(t.requestShares)
	}
}

// stop cancels the term's context and waits until its goroutines have ended, so
// that no call for an order is running any more. An order whose call was
// cancelled may still arrive at its engine.
func (t *leaseTerm) stop() {
	t.cancel()
	t.wg.Wait()
}

func (t *leaseTerm) setHolding(h lease.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.holding = h
}

// requestRound makes run start the next round at once.
func (t *leaseTerm) requestRound() {
	select {
	case t.trigger <- struct{}{}:
	default:
	}
}

// run adopts the ledger and then runs rounds until the term ends.
func (t *leaseTerm) run() {
	for !t.adoptLedger() {
		if !t.sleep(decideEvery) {
			return
		}
	}

	timer := time.NewTimer(decideEvery)
	defer timer.Stop()

	for t.ctx.Err() == nil {
		t.runRound()
		timer.Reset(decideEvery)

		select {
		case <-t.ctx.Done():
		case <-t.trigger:
		case <-timer.C:
		}
	}
}

func (t *leaseTerm) sleep(d time.Duration) bool {
	return clock.Sleep(t.ctx, d) == nil
}

// adoptLedger reads the cell's ledger from the store, and returns false if that
// fails. It runs after the fence was written, so a former holder can add no more
// rows, and every order that a former holder may still send is for a row that is
// counted here, unless the row cannot be decoded: such rows are logged and
// skipped.
func (t *leaseTerm) adoptLedger() bool {
	rows, err := table.ScanAll(t.ctx, t.cfg.Table, record.LedgerPrefix(t.cfg.Cell))
	if err != nil {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()

	for _, row := range rows {
		r, err := record.DecodeLedger(row.Key, row.Value, row.Version)
		if err != nil {
			t.cfg.Logger.Error().Err(err).Msg("cannot decode ledger row")

			continue
		}

		r.State = ledger.State{Phase: target.Loading, Since: now, LastUsed: now}
		t.ledger.Adopt(r)
	}

	t.ledgerRead = true
	t.publishNow = true

	return true
}

// refreshModels reads the weight store's list of checkpoints at intervals.
func (t *leaseTerm) refreshModels() {
	for {
		checkpoints, err := t.cfg.Weights.Checkpoints(t.ctx)
		if err == nil {
			models := make(map[string]weight.Checkpoint, len(checkpoints))
			for _, cp := range checkpoints {
				models[cp.Name] = cp
			}

			t.mu.Lock()
			t.models = models
			t.mu.Unlock()
			t.requestRound()
		}

		pause := modelsEvery
		if err != nil {
			pause = publishEvery
		}

		if !t.sleep(pause) {
			return
		}
	}
}

// report records an entry's demand.
func (t *leaseTerm) report(r demand.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	t.demand.Record(r, now)

	for _, d := range r.Waiting {
		t.history.addUse(d.Model, now, d.Waiting)
	}

	for _, u := range r.Uses {
		t.history.addUse(u.Model, now, u.Running+u.Served)

		if row := t.ledger.Row(u.Key); row != nil && u.Running+u.Served > 0 {
			row.State.LastUsed = now
		}
	}

	t.requestRound()
}

// runRound updates the targets, decides, carries the decisions out and
// publishes, once.
func (t *leaseTerm) runRound() {
	now := time.Now()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.syncTargets(now)

	if t.models != nil {
		t.countRunning()

		s := t.decisionSnapshot(now)
		t.carryOut(replica.Decide(s), now)
		t.countWaiting(s.Demand)
	}

	t.advance(now)
	t.publish(now)
}

// countRunning sums the running requests of each replica over all entries.
func (t *leaseTerm) countRunning() {
	t.ledger.All(func(r *ledger.Row) { r.State.Running = 0 })

	for _, u := range t.demand.Uses() {
		if row := t.ledger.Row(u.Key); row != nil {
			row.State.Running += u.Running
		}
	}
}

// decisionSnapshot returns the input of a decision.
func (t *leaseTerm) decisionSnapshot(now time.Time) *replica.Snapshot {
	s := &replica.Snapshot{
		Now:            now,
		Ledger:         &t.ledger,
		Models:         t.models,
		Demand:         t.demand.Merged(now),
		BytesPerSecond: t.loadSpeed.perSecond,
		Accelerators:   make(map[string]int),
		Weights:        t.cfg.Policy,
	}

	if t.history.restored {
		s.Forecast = &t.history.uses
		s.Candidates = t.history.candidates(now, t.cfg.Policy.WaitCost)
	}

	for _, p := range t.cfg.Lists().Plans() {
		if p.Accelerators > 0 {
			s.Accelerators[p.Name] = p.Accelerators
		}
	}

	limit, using := t.loadShare(now), t.loadsInFlight()
	s.FreeLoads = limit.Models - using.Models
	s.FreeAdapterLoads = limit.Adapters - using.Adapters

	s.Targets = t.targetSnapshots(now)

	return s
}

// carryOut carries out the decisions. Loads and unloads run in goroutines of
// their own, because they wait for the store and the engines.
func (t *leaseTerm) carryOut(decisions []replica.Decision, now time.Time) {
	t.waits = t.waits[:0]
	valid := t.holding.Valid(now, t.cfg.Timing)

	for _, d := range decisions {
		switch d := d.(type) {
		case replica.Load:
			if valid {
				t.beginLoad(d, now)
			}

			t.waits = append(t.waits, router.Wait{Model: d.Model, Ready: d.ReadyIn})
		case replica.Retire:
			// Without a valid lease no load is started that could replace this
			// replica, so it stays.
			if valid {
				t.retire(ledger.Key{Target: d.Target, Model: d.Model})
			}
		case replica.CancelRetire:
			t.cancelRetire(ledger.Key{Target: d.Target, Model: d.Model})
		case replica.Predict:
			t.waits = append(t.waits, router.Wait{Model: d.Model, Ready: d.ReadyIn})
		case replica.Deny:
			t.waits = append(t.waits, router.Wait{Model: d.Model, Reason: d.Reason, RetryAfter: d.RetryAfter})
		}
	}

	if !valid {
		t.denyLoads()
	}
}

// countWaiting sets in t.waits how many requests wait for each model, and adds
// the models that are missing there, loaded or not.
func (t *leaseTerm) countWaiting(demand []replica.Demand) {
	for _, d := range demand {
		if d.Waiting == 0 {
			continue
		}

		at := slices.IndexFunc(t.waits, func(w router.Wait) bool { return w.Model == d.Model })
		if at < 0 {
			at = len(t.waits)
			t.waits = append(t.waits, router.Wait{Model: d.Model})
		}

		t.waits[at].Waiting = d.Waiting
	}
}

// reasonNoLease is the reason for refusing requests for models without a ledger
// row once the lease is no longer valid, which usually means that the holder
// could not renew it in time.
const reasonNoLease = "the table service is unavailable"

// denyLoads replaces the predicted ready times of models without a ledger row by
// denials: a holder whose lease is no longer valid starts no load, so it must not
// promise one.
func (t *leaseTerm) denyLoads() {
	for i, w := range t.waits {
		if rows := t.ledger.Model(w.Model); w.Reason == "" && len(rows) == 0 {
			t.waits[i] = router.Wait{Model: w.Model, Reason: reasonNoLease, RetryAfter: t.cfg.Timing.Duration}
		}
	}
}

func (t *leaseTerm) beginLoad(d replica.Load, now time.Time) {
	e := t.targets[d.Target]

	row, err := t.ledger.Reserve(ledger.Row{
		Key:     ledger.Key{Target: d.Target, Model: d.Model},
		Base:    d.Base,
		Bytes:   d.Bytes,
		Plan:    d.Plan,
		Token:   t.holding.Token,
		Holder:  t.cfg.Self,
		Process: t.cfg.Process,
		WriteID: newID(),
		State: ledger.State{
			Phase: target.Loading, OwnTerm: true, Since: now, LastUsed: now, Failures: t.loadFailures[d.Model],
		},
	}, e.inventory.Memory)
	if err != nil {
		t.cfg.Logger.Error().Err(err).Msg("cannot reserve memory for a load")

		return
	}

	e.noteLoad(now)
	t.wg.Go(func() { t.load(row.Key, row.WriteID) })
}

func (t *leaseTerm) retire(k ledger.Key) {
	row := t.ledger.Row(k)
	row.State.Retiring = true
	t.publishNow = true
}

func (t *leaseTerm) cancelRetire(k ledger.Key) {
	row := t.ledger.Row(k)
	row.State.Retiring = false
	t.publishNow = true
}

// foundSuccessor ends the term when the store or an engine shows that a
// successor exists. It does not wait for the end, because it is called from the
// term's own goroutines.
func (t *leaseTerm) foundSuccessor(cause error) {
	t.cfg.Logger.Warn().Err(cause).Int("cell", t.cfg.Cell).Msg("a successor holds the lease; ending the term")

	token := t.token()

	go t.loseLease(token)
}

func (t *leaseTerm) token() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.holding.Token
}

func isStale(err error) bool {
	var stale *target.StaleTokenError

	return errors.As(err, &stale)
}

// speed is an exponential moving average of the speed of loads, in bytes per
// second.
type speed struct{ perSecond float64 }

// add adds one completed load to the average.
func (s *speed) add(bytes int64, d time.Duration) {
	const gain = 0.2

	if d <= 0 {
		return
	}

	s.perSecond += gain * (float64(bytes)/d.Seconds() - s.perSecond)
}

func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }
