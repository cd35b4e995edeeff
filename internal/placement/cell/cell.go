// Package cell runs the control of one cell. It watches the cell's lease and
// acquires it when it is free. While it holds the lease, it decides which
// models are loaded, orders the loads and unloads, and publishes the replicas
// to the entries. The decisions themselves are in the packages lease, ledger,
// demand and replica; this package connects them to the store, the engines and
// the entries.
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
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Config configures the control of a cell.
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
	// Leaving reports whether a target is known to be leaving from another
	// source than the instance list.
	Leaving func(instance.ID) bool
	// Send sends a snapshot to an entry, this one included. It returns false if
	// the entry could not apply the delta and needs a full snapshot.
	Send func(ctx context.Context, to instance.ID, s *router.Snapshot) (bool, error)
	// NotifySuccessor notifies an instance that a lease was released to it.
	NotifySuccessor func(to instance.ID, cell int)
	// Lists returns the lists in force.
	Lists func() plan.State
	// Objects stores the models' histories, so that they survive a change of
	// the holder. Nil means that there are none: idle replicas then stay for a
	// fixed time.
	Objects object.Store
	Log     *timeline.Log
	Logger  zerolog.Logger
	Timing  lease.Timing
	Policy  replica.Weights
	// LoadLimit limits the loads that all cells together may have in flight.
	LoadLimit share.Loads
	// RequestShare asks the holder of the first cell for this cell's share of them.
	// Nil means that there is only one cell, which has them all.
	RequestShare func(ctx context.Context, a share.Request) (share.Loads, error)
	// BytesPerSecond is the speed of a remote load that is assumed before the
	// first loads have completed.
	BytesPerSecond float64
}

// Cell is the control of one cell on one instance, which may or may not hold
// the cell's lease.
type Cell struct {
	cfg  Config
	wake chan struct{}

	mu    sync.Mutex
	watch lease.Watch
	held  lease.Holding
	term  *leaseTerm
	// preferredSince is since when preferred, another instance, has ranked first
	// for the cell.
	preferredSince time.Time
	preferred      instance.ID
	draining       bool

	// inFlight counts the orders that were sent and not yet answered, over all
	// lease terms of this process.
	inFlight atomic.Int64
	// storeDown says that the last renewal got no answer from the store.
	storeDown atomic.Bool
	// Takeovers counts how often this process has acquired the lease.
	Takeovers atomic.Int64
}

// NotHolderError says that this instance does not hold the cell's lease.
type NotHolderError struct {
	Cell int
	// Hint is the holder that this instance last read from the lease row.
	Hint instance.ID
}

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("cell %d: not the holder, try %s", e.Cell, e.Hint)
}

// New returns the control of a cell. Run starts it.
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

// step renews or checks the lease if that is due, and returns the pause until
// the next step.
func (c *Cell) step(ctx context.Context) time.Duration {
	c.mu.Lock()
	held, draining := c.held, c.draining
	c.mu.Unlock()

	if held.Token != 0 {
		return c.renew(ctx, held)
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

// acquire writes the lease and the fence in one transaction. Once it has taken
// effect, ledger writes of former holders fail.
func (c *Cell) acquire(ctx context.Context, old lease.Record, leaseVersion, fenceVersion uint64) {
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

	held := lease.Holding{Record: next, Version: version, FenceVersion: version, RenewalSent: sent}

	c.Takeovers.Add(1)
	c.cfg.Log.Add(timeline.Event{Kind: timeline.LeaseTaken, Detail: fmt.Sprintf("cell %d token %d", c.cfg.Cell, next.Token)})
	c.cfg.Logger.Info().Int("cell", c.cfg.Cell).Uint64("token", next.Token).Msg("lease taken")

	c.mu.Lock()
	c.held = held
	c.preferred = "" // In each term, preferredSince starts anew.
	c.term = newLeaseTerm(c, held)
	t := c.term
	c.mu.Unlock()

	t.start()
}

// renew renews the lease if that is due and returns the pause until the next
// attempt.
func (c *Cell) renew(ctx context.Context, held lease.Holding) time.Duration {
	if c.shouldHandOver() {
		c.Release(ctx)

		return 0
	}

	due := held.RenewalSent.Add(c.cfg.Timing.Renew)
	if wait := time.Until(due); wait > 0 {
		return wait
	}

	next := held.Record
	next.WriteID = uuid.NewString()
	sent := time.Now()

	renewCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Renew)
	defer cancel()

	version, err := c.row().Write(renewCtx, next, held.Version)

	switch {
	case err == nil:
		c.renewed(next, version, sent)
		c.noteStore(false)
	case table.IsConflict(err):
		c.conflict(ctx, held)
	default:
		c.noteStore(true)
	}

	return c.cfg.Timing.Poll / 2 //nolint:mnd // Two attempts in a poll interval.
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

func (c *Cell) renewed(next lease.Record, version uint64, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.held.Token != next.Token {
		return
	}

	c.held.Record, c.held.Version, c.held.RenewalSent = next, version, sent
	c.term.setHeld(c.held)
}

// conflict handles a renewal that conflicted: it reads the row, and either
// continues with its version or ends the term.
func (c *Cell) conflict(ctx context.Context, held lease.Holding) {
	version, own, err := c.row().CheckOwner(ctx, held.Token)

	switch {
	case err != nil:
	case own:
		c.mu.Lock()
		c.held.Version = version
		c.mu.Unlock()
	default:
		c.loseLease(held.Token)
	}
}

// loseLease ends the term because another instance holds the lease.
func (c *Cell) loseLease(token uint64) {
	c.mu.Lock()
	if c.held.Token != token {
		c.mu.Unlock()

		return
	}

	c.held = lease.Holding{}
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
	c.held = lease.Holding{}
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

	return peer.Lease{Cell: c.cfg.Cell, Token: c.held.Token}, c.held.Token != 0
}

// OrdersInFlight reports whether orders of this process to engines of the cell
// are in flight.
func (c *Cell) OrdersInFlight() bool { return c.inFlight.Load() > 0 }

// Number returns the cell's number.
func (c *Cell) Number() int { return c.cfg.Cell }
