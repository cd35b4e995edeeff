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

// tenure is the time during which this instance holds the cell's lease.
type tenure struct {
	*Cell

	ctx    context.Context //nolint:containedctx // The tenure's life.
	cancel context.CancelFunc
	wg     sync.WaitGroup
	kick   chan struct{}
	since  time.Time

	mu     sync.Mutex
	held   lease.Held
	book   ledger.Book
	asks   demand.Book
	models map[string]weight.Checkpoint
	// ready says that the ledger was read, so that decisions may begin.
	ready    bool
	targets  map[instance.ID]*engineState
	failures map[string]int
	loadTime rate
	waits    []router.Wait
	feed     feed
	past     past
	// granter divides the loads between cells, if this is the first cell.
	granter share.Granter
	// part is this cell's, until partUntil.
	part      share.Amount
	partUntil time.Time
	// urgent asks for a publication at once.
	urgent bool
}

// The times of a tenure's loop.
const (
	decideEvery  = 100 * time.Millisecond
	publishEvery = 500 * time.Millisecond
	modelsEvery  = 30 * time.Second
)

func newTenure(c *Cell, held lease.Held) *tenure {
	ctx, cancel := context.WithCancel(context.Background())

	t := &tenure{
		Cell:     c,
		ctx:      ctx,
		cancel:   cancel,
		kick:     make(chan struct{}, 1),
		since:    time.Now(),
		held:     held,
		targets:  make(map[instance.ID]*engineState),
		failures: make(map[string]int),
		loadTime: rate{perSecond: c.cfg.BytesPerSecond},
		granter:  share.Granter{Total: c.cfg.Loads},
	}
	t.granter.Started(t.since)

	return t
}

func (t *tenure) start() {
	t.wg.Go(t.run)
	t.wg.Go(t.refreshModels)

	if t.cfg.Objects != nil {
		t.wg.Go(t.keepPast)
	}

	if t.cfg.AskShare != nil {
		t.wg.Go(t.askShares)
	}
}

// stop ends the tenure and waits until no order of it is in hand.
func (t *tenure) stop() {
	t.cancel()
	t.wg.Wait()
}

func (t *tenure) setHeld(h lease.Held) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.held = h
}

func (t *tenure) poke() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// run adopts the ledger and then decides, acts and publishes.
func (t *tenure) run() {
	for !t.adoptLedger() {
		if !t.sleep(decideEvery) {
			return
		}
	}

	timer := time.NewTimer(decideEvery)
	defer timer.Stop()

	for t.ctx.Err() == nil {
		t.round()
		timer.Reset(decideEvery)

		select {
		case <-t.ctx.Done():
		case <-t.kick:
		case <-timer.C:
		}
	}
}

func (t *tenure) sleep(d time.Duration) bool {
	return clock.Sleep(t.ctx, d) == nil
}

// adoptLedger reads the rows of the cell. It runs after the fence was
// written, so no row can be added behind its back, and every order that a
// former holder may still send is for a row that is counted here.
func (t *tenure) adoptLedger() bool {
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
			t.cfg.Logger.Error().Err(err).Msg("ledger row cannot be read")

			continue
		}

		r.State = ledger.State{Phase: target.Loading, Since: now, LastUsed: now}
		t.book.Adopt(r)
	}

	t.ready = true
	t.urgent = true

	return true
}

// refreshModels reads the weight store's list at intervals.
func (t *tenure) refreshModels() {
	for {
		all, err := t.cfg.Weights.Checkpoints(t.ctx)
		if err == nil {
			models := make(map[string]weight.Checkpoint, len(all))
			for _, cp := range all {
				models[cp.Name] = cp
			}

			t.mu.Lock()
			t.models = models
			t.mu.Unlock()
			t.poke()
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

// report takes in an entry's demand.
func (t *tenure) report(r demand.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	t.asks.Take(r, now)

	for _, d := range r.Waiting {
		t.past.used(d.Model, now, d.Waiting)
	}

	for _, u := range r.Uses {
		t.past.used(u.Model, now, u.Running+u.Served)

		if row := t.book.Row(u.Key); row != nil && u.Running+u.Served > 0 {
			row.State.LastUsed = now
		}
	}

	t.poke()
}

// round looks at the targets, decides, acts and publishes, once.
func (t *tenure) round() {
	now := time.Now()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.syncTargets(now)

	if t.models != nil {
		t.countRunning()

		v := t.view(now)
		t.act(replica.Decide(v), now)
		t.countWaiting(v.Demand)
	}

	t.advance(now)
	t.publish(now)
}

func (t *tenure) countRunning() {
	t.book.All(func(r *ledger.Row) { r.State.Running = 0 })

	for _, u := range t.asks.Uses() {
		if row := t.book.Row(u.Key); row != nil {
			row.State.Running += u.Running
		}
	}
}

// view gathers what the decision depends on.
func (t *tenure) view(now time.Time) *replica.View {
	v := &replica.View{
		Now:            now,
		Book:           &t.book,
		Models:         t.models,
		Demand:         t.asks.Merged(now),
		BytesPerSecond: t.loadTime.perSecond,
		Accelerators:   make(map[string]int),
		Terms:          t.cfg.Policy,
	}

	if t.past.known {
		v.Forecast = &t.past.book
		v.Candidates = t.past.candidates(now, t.cfg.Policy.Worth)
	}

	for _, p := range t.cfg.Lists().Plans() {
		if p.Accelerators > 0 {
			v.Accelerators[p.Name] = p.Accelerators
		}
	}

	part, using := t.loadShare(now), t.loading()
	v.FreeLoads = part.Models - using.Models
	v.FreeAdapterLoads = part.Adapters - using.Adapters

	v.Targets = t.targetViews(now)

	return v
}

// act carries out the decisions. Loads and unloads run on their own, since
// they wait for the table and the engines.
func (t *tenure) act(decisions []replica.Decision, now time.Time) {
	t.waits = t.waits[:0]
	valid := t.held.Valid(now, t.cfg.Terms)

	for _, d := range decisions {
		switch d := d.(type) {
		case replica.Load:
			if valid {
				t.beginLoad(d, now)
			}

			t.waits = append(t.waits, router.Wait{Model: d.Model, Ready: d.Ready})
		case replica.Retire:
			// Without the lease nothing could be loaded in its place, so what
			// is loaded stays.
			if valid {
				t.retire(ledger.Key{Target: d.Target, Model: d.Model})
			}
		case replica.Revive:
			t.revive(ledger.Key{Target: d.Target, Model: d.Model})
		case replica.Expect:
			t.waits = append(t.waits, router.Wait{Model: d.Model, Ready: d.Ready})
		case replica.Deny:
			t.waits = append(t.waits, router.Wait{Model: d.Model, Reason: d.Reason, RetryAfter: d.RetryAfter})
		}
	}

	if !valid {
		t.denyLoads()
	}
}

// countWaiting notes how many requests wait for each model, ready or not.
func (t *tenure) countWaiting(demand []replica.Demand) {
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

// reasonNoLease is what waiters learn while the holder cannot renew.
const reasonNoLease = "the table service is unavailable"

// denyLoads turns promises of loads into denials: without the lease no load
// can be written to the ledger, so none may be promised.
func (t *tenure) denyLoads() {
	for i, w := range t.waits {
		if row := t.book.Model(w.Model); w.Reason == "" && len(row) == 0 {
			t.waits[i] = router.Wait{Model: w.Model, Reason: reasonNoLease, RetryAfter: t.cfg.Terms.Duration}
		}
	}
}

func (t *tenure) beginLoad(d replica.Load, now time.Time) {
	e := t.targets[d.Target]

	row, err := t.book.Reserve(ledger.Row{
		Key:     ledger.Key{Target: d.Target, Model: d.Model},
		Base:    d.Base,
		Bytes:   d.Bytes,
		Plan:    d.Plan,
		Token:   t.held.Token,
		Holder:  t.cfg.Self,
		Process: t.cfg.Process,
		WriteID: newID(),
		State: ledger.State{
			Phase: target.Loading, Own: true, Since: now, LastUsed: now, Failures: t.failures[d.Model],
		},
	}, e.inventory.Memory)
	if err != nil {
		t.cfg.Logger.Error().Err(err).Msg("decision does not fit the ledger")

		return
	}

	e.noteLoad(now)
	t.wg.Go(func() { t.load(row.Key, row.WriteID) })
}

func (t *tenure) retire(k ledger.Key) {
	row := t.book.Row(k)
	row.State.Retiring = true
	t.urgent = true
}

func (t *tenure) revive(k ledger.Key) {
	row := t.book.Row(k)
	row.State.Retiring = false
	t.urgent = true
}

// lostLease ends the tenure from within, when the table or an engine shows
// that a successor exists.
func (t *tenure) lostLease(cause error) {
	t.cfg.Logger.Warn().Err(cause).Int("cell", t.cfg.Cell).Msg("a successor holds the lease")

	token := t.token()

	go t.lost(token)
}

func (t *tenure) token() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.held.Token
}

func isStale(err error) bool {
	var stale *target.StaleTokenError

	return errors.As(err, &stale)
}

// rate is a smoothed speed in bytes a second.
type rate struct{ perSecond float64 }

// learn takes in one measured load.
func (r *rate) learn(bytes int64, d time.Duration) {
	const gain = 0.2

	if d <= 0 {
		return
	}

	r.perSecond += gain * (float64(bytes)/d.Seconds() - r.perSecond)
}

func detail(format string, args ...any) string { return fmt.Sprintf(format, args...) }
