// Package cell implements the controller of one cell. The controller watches
// the cell's lease and acquires it when it is free. While it holds the lease,
// it decides which models are loaded, orders the loads and unloads, and
// publishes the replicas to the entries. The decisions themselves are in the
// packages lease, ledger, demand and replica; this package connects them to the
// store, the engines and the entries.
package cell

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/leaserow"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Config configures a cell's controller.
type Config struct {
	Cell, Cells int
	Self        instance.ID
	Process     string
	Table       table.Service
	Weights     weight.Store
	Fleet       *peer.Set
	// Dial returns the engine behind an instance.
	Dial func(instance.Instance) target.Engine
	// ChecksTokens reports whether an engine refuses old fencing tokens.
	ChecksTokens func(instance.ID) bool
	// Leaving reports whether a source other than the instance list has
	// reported that a target is leaving.
	Leaving func(instance.ID) bool
	// Send sends a full snapshot or a delta to an entry, this one included. It
	// returns false if the entry could not apply a delta and needs a full
	// snapshot.
	Send func(ctx context.Context, to instance.ID, s *router.Snapshot) (bool, error)
	// NotifySuccessor notifies an instance that a lease was released to it.
	NotifySuccessor func(to instance.ID, cell int)
	// Lists returns the state of the plan and allowance lists in force.
	Lists func() plan.State
	// Objects stores the models' histories, so that they survive a change of
	// the holder. Nil means that no history is stored or used: idle replicas
	// then stay for a fixed time.
	Objects object.Store
	Log     *timeline.Log
	Logger  zerolog.Logger
	Timing  lease.Timing
	Policy  replica.Weights
	// LoadLimit limits the loads that all cells together may have in flight.
	LoadLimit share.Loads
	// RequestShare asks the holder of the first cell for this cell's share of
	// LoadLimit. Nil means that there is only one cell, which has the whole
	// limit.
	RequestShare func(ctx context.Context, a share.Request) (share.Loads, error)
	// BytesPerSecond is the speed that is assumed for remote loads until the
	// first loads have completed.
	BytesPerSecond float64
}

// Cell is the controller of one cell on one instance, which may or may not hold
// the cell's lease.
type Cell struct {
	cfg  Config
	wake chan struct{}

	mu      sync.Mutex
	watch   lease.Watch
	holding lease.Holding
	term    *leaseTerm
	// preferred is the other instance that ranks first for the cell, or "", and
	// preferredSince is when it began to rank first.
	preferredSince time.Time
	preferred      instance.ID
	draining       bool

	// inFlight counts the calls for orders that have not returned yet, over all
	// lease terms of this process. An order whose call was cancelled or timed
	// out is no longer counted, though it may still arrive at its engine.
	inFlight atomic.Int64
	// storeDown says that the last renewal got no answer from the store.
	storeDown atomic.Bool
	// Takeovers counts how often this process has acquired the lease.
	Takeovers atomic.Int64
}

// NotHolderError says that this instance does not hold the cell's lease.
type NotHolderError struct {
	Cell int
	// Hint is the holder that this instance last read from the lease row, or
	// "" if it has read none since it lost the lease.
	Hint instance.ID
}

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("cell %d: this instance does not hold the lease; last known holder: %q", e.Cell, e.Hint)
}

// New returns a cell's controller. Run starts it.
func New(cfg Config) *Cell {
	if cfg.Timing == (lease.Timing{}) {
		cfg.Timing = lease.DefaultTiming()
	}

	return &Cell{cfg: cfg, wake: make(chan struct{}, 1)}
}

// RankKey returns the rendezvous-hashing key that ranks the instances for a cell.
func RankKey(cell int) string { return fmt.Sprintf("cell/%d", cell) }

// Of returns the cell that a target or a model belongs to, by rendezvous
// hashing over the given number of cells.
func Of(name string, cells int) int {
	best, highest := 0, uint64(0)

	for c := range cells {
		if s := instance.Score(name, instance.ID(RankKey(c))); s > highest {
			best, highest = c, s
		}
	}

	return best
}

// watchers is how many instances poll a lease that another instance holds.
const watchers = 3

// Run watches or holds the lease until ctx ends.
func (c *Cell) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := c.step(ctx)

		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-t.C:
		}

		t.Stop()
	}

	c.endTerm()
}

// Wake makes Run check the lease at once.
func (c *Cell) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// step renews a lease that this instance holds, or checks one that it does not
// hold, and returns the pause until the next step. An instance that drains or
// ranks behind the watchers does not check the lease.
func (c *Cell) step(ctx context.Context) time.Duration {
	c.mu.Lock()
	holding, draining := c.holding, c.draining
	c.mu.Unlock()

	if holding.Token != 0 {
		return c.renew(ctx, holding)
	}

	rank := c.rank()
	if draining || rank >= watchers {
		return c.cfg.Timing.Poll
	}

	c.checkLease(ctx, rank)

	return c.cfg.Timing.Poll
}

func (c *Cell) rank() int {
	ranked := instance.Rank(RankKey(c.cfg.Cell), c.cfg.Fleet.Entries())

	return slices.Index(ranked, c.cfg.Self)
}

// checkLease reads the lease, which this instance does not hold, and acquires
// it if it is free.
func (c *Cell) checkLease(ctx context.Context, rank int) {
	rows, err := c.cfg.Table.Read(ctx, record.LeaseKey(c.cfg.Cell), record.FenceKey(c.cfg.Cell))
	if err != nil {
		return
	}

	current, err := c.row().Decode(rows[0])
	if err != nil {
		c.cfg.Logger.Error().Err(err).Int("cell", c.cfg.Cell).Msg("cannot decode lease row")

		return
	}

	now := time.Now()

	c.mu.Lock()
	c.watch.Observe(rows[0].Version, current, now)
	free := c.watch.Free(now, c.cfg.Timing, c.cfg.Self, rank)
	c.mu.Unlock()

	if free {
		c.acquire(ctx, current, rows[0].Version, rows[1].Version)
	}
}

// row returns the row of this cell's lease.
func (c *Cell) row() leaserow.Row {
	return leaserow.Row{Table: c.cfg.Table, Cell: c.cfg.Cell, Process: c.cfg.Process}
}

// acquire acquires the lease and starts a lease term. It writes the lease and the
// fence in one transaction; once that has taken effect, ledger writes of former
// holders fail. If the transaction fails or stays in doubt, no term starts, and
// the next check reads the lease again.
func (c *Cell) acquire(ctx context.Context, old lease.Record, leaseVersion, fenceVersion revision.Number) {
	next := lease.Record{
		Cell:    c.cfg.Cell,
		Holder:  c.cfg.Self,
		Process: c.cfg.Process,
		Token:   old.Token + 1,
		WriteID: uuid.NewString(),
	}
	sent := time.Now()

	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Duration/2)
	defer cancel()

	version, err := table.Settle(ctx, c.cfg.Table, table.Transaction{
		Conditions: []table.Condition{
			{Key: record.LeaseKey(c.cfg.Cell), Version: leaseVersion},
			{Key: record.FenceKey(c.cfg.Cell), Version: fenceVersion},
		},
		Writes: []table.Write{
			{Key: record.LeaseKey(c.cfg.Cell), Value: record.EncodeLease(next)},
			{Key: record.FenceKey(c.cfg.Cell), Value: record.EncodeFence(next.Token)},
		},
	})
	if err != nil {
		return
	}

	holding := lease.Holding{Record: next, Version: version, FenceVersion: version, RenewalSent: sent}

	c.Takeovers.Add(1)
	c.cfg.Log.Add(timeline.Event{Kind: timeline.LeaseTaken, Detail: fmt.Sprintf("cell %d token %d", c.cfg.Cell, next.Token)})
	c.cfg.Logger.Info().Int("cell", c.cfg.Cell).Uint64("token", next.Token).Msg("lease taken")

	c.mu.Lock()
	c.holding = holding
	c.preferred = "" // Restarts the wait for rebalanceAfter in each term.
	c.term = newLeaseTerm(c, holding)
	t := c.term
	c.mu.Unlock()

	t.start()
}

// renew hands the lease over if another instance has ranked first for longer
// than rebalanceAfter, and otherwise renews it if that is due. It returns the
// pause until the next step.
func (c *Cell) renew(ctx context.Context, holding lease.Holding) time.Duration {
	if c.shouldHandOver() {
		c.Release(ctx)

		return 0
	}

	due := holding.RenewalSent.Add(c.cfg.Timing.Renew)
	if wait := time.Until(due); wait > 0 {
		return wait
	}

	next := holding.Record
	next.WriteID = uuid.NewString()
	sent := time.Now()

	renewCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Renew)
	defer cancel()

	version, err := c.row().Write(renewCtx, next, holding.Version)

	switch {
	case err == nil:
		c.renewed(next, version, sent)
		c.noteStore(false)
	case table.IsConflict(err):
		c.handleConflict(ctx, holding)
	default:
		c.noteStore(true)
	}

	return c.cfg.Timing.Poll / 2 //nolint:mnd // Retry twice in a poll interval.
}

// noteStore records when the store becomes unavailable and available again.
func (c *Cell) noteStore(down bool) {
	if c.storeDown.Swap(down) == down {
		return
	}

	kind := timeline.TableBack
	if down {
		kind = timeline.TableDown
	}

	c.cfg.Log.Add(timeline.Event{Kind: kind, Detail: fmt.Sprintf("cell %d", c.cfg.Cell)})
	c.cfg.Logger.Warn().Bool("down", down).Int("cell", c.cfg.Cell).Msg("store availability changed")
}

func (c *Cell) renewed(next lease.Record, version revision.Number, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.holding.Token != next.Token {
		return
	}

	c.holding.Record, c.holding.Version, c.holding.RenewalSent = next, version, sent
	c.term.setHolding(c.holding)
}

// handleConflict handles a renewal that conflicted. It reads the row: if this
// process still holds the lease, the next renewal uses the row's version; if not,
// the term ends. If the row cannot be read, the next renewal uses the old version
// and conflicts again.
func (c *Cell) handleConflict(ctx context.Context, holding lease.Holding) {
	version, own, err := c.row().CheckOwner(ctx, holding.Token)

	switch {
	case err != nil:
	case own:
		c.mu.Lock()
		c.holding.Version = version
		c.mu.Unlock()
	default:
		c.loseLease(holding.Token)
	}
}

// loseLease ends the term with the given token because this process no longer
// holds the lease. It does nothing if that term has already ended.
func (c *Cell) loseLease(token uint64) {
	c.mu.Lock()
	if c.holding.Token != token {
		c.mu.Unlock()

		return
	}

	c.holding = lease.Holding{}
	c.watch = lease.Watch{}
	t := c.term
	c.term = nil
	c.mu.Unlock()

	t.stop()
	c.cfg.Log.Add(timeline.Event{Kind: timeline.LeaseLost, Detail: fmt.Sprintf("cell %d token %d", c.cfg.Cell, token)})
	c.cfg.Logger.Warn().Int("cell", c.cfg.Cell).Uint64("token", token).Msg("lease lost")
}

func (c *Cell) endTerm() {
	c.mu.Lock()
	t := c.term
	c.term = nil
	c.holding = lease.Holding{}
	c.mu.Unlock()

	if t != nil {
		t.stop()
	}
}

// Report records the demand that an entry reports to the cell. It returns a
// NotHolderError if this instance does not hold the lease.
func (c *Cell) Report(r demand.Report) error {
	c.mu.Lock()
	t, hint := c.term, c.watch.Record().Holder
	c.mu.Unlock()

	if t == nil {
		return &NotHolderError{Cell: c.cfg.Cell, Hint: hint}
	}

	t.report(r)

	return nil
}

// GrantShare grants a cell its share of the loads that all cells together may
// have in flight. Only the holder of the first cell is asked; an instance that
// does not hold its cell grants nothing.
func (c *Cell) GrantShare(a share.Request) share.Loads {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()

	if t == nil {
		return share.Loads{}
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return t.granter.Grant(a, time.Now())
}

// Lease returns the lease that this instance has acquired, and whether it has
// one. A lease that has expired is returned until this instance finds out that
// another one has acquired it.
func (c *Cell) Lease() (peer.Lease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return peer.Lease{Cell: c.cfg.Cell, Token: c.holding.Token}, c.holding.Token != 0
}

// OrdersInFlight reports whether a call of this process for an order to an engine
// of the cell is still running. An order whose call was cancelled or timed out is
// not counted, though it may still arrive.
func (c *Cell) OrdersInFlight() bool { return c.inFlight.Load() > 0 }

// Number returns the cell's number.
func (c *Cell) Number() int { return c.cfg.Cell }
