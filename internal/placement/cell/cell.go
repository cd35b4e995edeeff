// Package cell runs the control of one cell: it watches the cell's lease,
// takes it when it is free, and while it holds it decides and orders what is
// loaded. The decisions themselves are in the packages lease, ledger, demand
// and replica; this package connects them to the table, the engines and the
// entries.
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

// Config is what a cell's control works with.
type Config struct {
	Cell, Cells int
	Self        instance.ID
	Process     string
	Table       table.Service
	Weights     weight.Store
	Fleet       *peer.Set
	// Dial returns the engine behind an instance.
	Dial func(instance.Instance) target.Engine
	// ChecksTokens says which engines refuse old fencing tokens.
	ChecksTokens func(instance.ID) bool
	// Leaving says which targets are known to be leaving by another sign than
	// the list.
	Leaving func(instance.ID) bool
	// Send hands a snapshot to an entry, this one included. It reports false
	// when the entry needs the whole.
	Send func(ctx context.Context, to instance.ID, s *router.Snapshot) (bool, error)
	// Nudge tells an instance that a lease was released to it.
	Nudge func(to instance.ID, cell int)
	// Lists returns the lists in force.
	Lists func() plan.State
	// Objects keeps the models' histories over changes of the holder. Nil
	// means that there are none, and idle replicas stay for a fixed time.
	Objects object.Store
	Log     *timeline.Log
	Logger  zerolog.Logger
	Terms   lease.Terms
	Policy  replica.Terms
	// Loads is how many loads all cells together may have in flight.
	Loads share.Amount
	// AskShare asks the holder of the first cell for this cell's part of them.
	// Nil means that there is one cell, which has all.
	AskShare func(ctx context.Context, a share.Ask) (share.Amount, error)
	// BytesPerSecond is the assumed speed of a remote load until some were
	// measured.
	BytesPerSecond float64
}

// Cell is one instance's part in the control of one cell.
type Cell struct {
	cfg  Config
	wake chan struct{}

	mu     sync.Mutex
	watch  lease.Watch
	held   lease.Held
	tenure *tenure
	// bestSince is since when another instance ranks first for the cell.
	bestSince time.Time
	best      instance.ID
	draining  bool

	// inHand counts the orders that were decided and not yet answered, over
	// all tenures of this process.
	inHand atomic.Int64
	// tableDown says that the last renewal got no answer.
	tableDown atomic.Bool
	// Counts for the measurements.
	Takeovers atomic.Int64
}

// NotHolderError says that this instance does not hold the cell's lease.
type NotHolderError struct {
	Cell int
	// Hint is who held it when this instance last looked.
	Hint instance.ID
}

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("cell %d: not the holder, try %s", e.Cell, e.Hint)
}

// New returns the control of a cell. Run starts it.
func New(cfg Config) *Cell {
	if cfg.Terms == (lease.Terms{}) {
		cfg.Terms = lease.DefaultTerms()
	}

	return &Cell{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Name returns the key by which instances are ranked for a cell.
func Name(cell int) string { return fmt.Sprintf("cell/%d", cell) }

// Of returns the cell of a target or a model.
func Of(name string, cells int) int {
	best, most := 0, uint64(0)

	for c := range cells {
		if s := instance.Score(name, instance.ID(Name(c))); s > most {
			best, most = c, s
		}
	}

	return best
}

// watchers is how many instances look at a lease that another one holds.
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

	c.endTenure()
}

// Wake makes Run look at the lease at once.
func (c *Cell) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// step does what is due and returns how long nothing is.
func (c *Cell) step(ctx context.Context) time.Duration {
	c.mu.Lock()
	held, draining := c.held, c.draining
	c.mu.Unlock()

	if held.Token != 0 {
		return c.renew(ctx, held)
	}

	rank := c.rank()
	if draining || rank >= watchers {
		return c.cfg.Terms.Poll
	}

	c.look(ctx, rank)

	return c.cfg.Terms.Poll
}

func (c *Cell) rank() int {
	ranked := instance.Rank(Name(c.cfg.Cell), c.cfg.Fleet.Entries())

	return slices.Index(ranked, c.cfg.Self)
}

// look reads the lease of another instance and takes it if it is free.
func (c *Cell) look(ctx context.Context, rank int) {
	rows, err := c.cfg.Table.Read(ctx, record.LeaseKey(c.cfg.Cell), record.FenceKey(c.cfg.Cell))
	if err != nil {
		return
	}

	current, err := c.row().Decode(rows[0])
	if err != nil {
		c.cfg.Logger.Error().Err(err).Int("cell", c.cfg.Cell).Msg("lease row cannot be read")

		return
	}

	now := time.Now()

	c.mu.Lock()
	c.watch.Observe(rows[0].Version, current, now)
	free := c.watch.Free(now, c.cfg.Terms, c.cfg.Self, rank)
	c.mu.Unlock()

	if free {
		c.take(ctx, current, rows[0].Version, rows[1].Version)
	}
}

// row is the row of this cell's lease.
func (c *Cell) row() leaserow.Row {
	return leaserow.Row{Table: c.cfg.Table, Cell: c.cfg.Cell, Process: c.cfg.Process}
}

// take writes the lease and the fence in one transaction. From then on no
// ledger write of a former holder can succeed.
func (c *Cell) take(ctx context.Context, old lease.Record, leaseVersion, fenceVersion uint64) {
	next := lease.Record{
		Cell:    c.cfg.Cell,
		Holder:  c.cfg.Self,
		Process: c.cfg.Process,
		Token:   old.Token + 1,
		WriteID: uuid.NewString(),
	}
	sent := time.Now()

	ctx, cancel := context.WithTimeout(ctx, c.cfg.Terms.Duration/2)
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

	held := lease.Held{Record: next, Version: version, Fence: version, Sent: sent}

	c.Takeovers.Add(1)
	c.cfg.Log.Add(timeline.Event{Kind: timeline.LeaseTaken, Detail: fmt.Sprintf("cell %d token %d", c.cfg.Cell, next.Token)})
	c.cfg.Logger.Info().Int("cell", c.cfg.Cell).Uint64("token", next.Token).Msg("lease taken")

	c.mu.Lock()
	c.held = held
	c.best = "" // How long another ranked first in an earlier tenure does not count.
	c.tenure = newTenure(c, held)
	t := c.tenure
	c.mu.Unlock()

	t.start()
}

// renew writes the lease again and returns when the next renewal is due.
func (c *Cell) renew(ctx context.Context, held lease.Held) time.Duration {
	if c.handBack() {
		c.Release(ctx)

		return 0
	}

	due := held.Sent.Add(c.cfg.Terms.Renew)
	if wait := time.Until(due); wait > 0 {
		return wait
	}

	next := held.Record
	next.WriteID = uuid.NewString()
	sent := time.Now()

	tryCtx, cancel := context.WithTimeout(ctx, c.cfg.Terms.Renew)
	defer cancel()

	version, err := c.row().Write(tryCtx, next, held.Version)

	switch {
	case err == nil:
		c.renewed(next, version, sent)
		c.noteTable(false)
	case table.IsConflict(err):
		c.conflict(ctx, held)
	default:
		c.noteTable(true)
	}

	return c.cfg.Terms.Poll / 2 //nolint:mnd // Two tries in the time of a look.
}

// noteTable records when the table service goes away and comes back.
func (c *Cell) noteTable(down bool) {
	if c.tableDown.Swap(down) == down {
		return
	}

	kind := timeline.TableBack
	if down {
		kind = timeline.TableDown
	}

	c.cfg.Log.Add(timeline.Event{Kind: kind, Detail: fmt.Sprintf("cell %d", c.cfg.Cell)})
	c.cfg.Logger.Warn().Bool("down", down).Int("cell", c.cfg.Cell).Msg("table service")
}

func (c *Cell) renewed(next lease.Record, version uint64, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.held.Token != next.Token {
		return
	}

	c.held.Record, c.held.Version, c.held.Sent = next, version, sent
	c.tenure.setHeld(c.held)
}

// conflict finds out whether the lease was lost.
func (c *Cell) conflict(ctx context.Context, held lease.Held) {
	version, own, err := c.row().Own(ctx, held.Token)

	switch {
	case err != nil:
	case own:
		c.mu.Lock()
		c.held.Version = version
		c.mu.Unlock()
	default:
		c.lost(held.Token)
	}
}

// lost ends the tenure, because another instance holds the lease.
func (c *Cell) lost(token uint64) {
	c.mu.Lock()
	if c.held.Token != token {
		c.mu.Unlock()

		return
	}

	c.held = lease.Held{}
	c.watch = lease.Watch{}
	t := c.tenure
	c.tenure = nil
	c.mu.Unlock()

	t.stop()
	c.cfg.Log.Add(timeline.Event{Kind: timeline.LeaseLost, Detail: fmt.Sprintf("cell %d token %d", c.cfg.Cell, token)})
	c.cfg.Logger.Warn().Int("cell", c.cfg.Cell).Uint64("token", token).Msg("lease lost")
}

func (c *Cell) endTenure() {
	c.mu.Lock()
	t := c.tenure
	c.tenure = nil
	c.held = lease.Held{}
	c.mu.Unlock()

	if t != nil {
		t.stop()
	}
}

// Report takes in what an entry asks of the cell.
func (c *Cell) Report(r demand.Report) error {
	c.mu.Lock()
	t, hint := c.tenure, c.watch.Record().Holder
	c.mu.Unlock()

	if t == nil {
		return &NotHolderError{Cell: c.cfg.Cell, Hint: hint}
	}

	t.report(r)

	return nil
}

// GrantShare divides the loads between the cells. Only the holder of the first
// cell is asked; anybody else grants nothing.
func (c *Cell) GrantShare(a share.Ask) share.Amount {
	c.mu.Lock()
	t := c.tenure
	c.mu.Unlock()

	if t == nil {
		return share.Amount{}
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return t.granter.Grant(a, time.Now())
}

// Lease returns the lease that this instance believes to hold.
func (c *Cell) Lease() (peer.Lease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return peer.Lease{Cell: c.cfg.Cell, Token: c.held.Token}, c.held.Token != 0
}

// OrdersInHand reports whether an order of this process may still reach an
// engine of the cell.
func (c *Cell) OrdersInHand() bool { return c.inHand.Load() > 0 }

// Number returns the cell's number.
func (c *Cell) Number() int { return c.cfg.Cell }
