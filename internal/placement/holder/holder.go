// Package holder runs the control of all model engines from one entry at a
// time: the one that holds the lease takes in what all entries ask for, has
// the package swap decide, sends the orders and tells all entries what is
// loaded where.
package holder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// cell is the number of the one cell that there is.
const cell = 0

// Config is what a holder works with.
type Config struct {
	Self    instance.ID
	Process string
	Table   table.Service
	Engines Engines
	Terms   lease.Terms
	// TurnPause is for how long no two holders may take turns with orders.
	TurnPause time.Duration
	// Targets returns what is known of the targets, and Routes what is in
	// force, or nil.
	Targets func() map[instance.ID]inventory.Target
	Routes  func() *route.Config
	// Peers returns the other entries that are alive.
	Peers func() []instance.ID
	// Publish hands news to all entries, this one included.
	Publish func(News)
	Log     zerolog.Logger
}

// Holder is one entry's part in the control. Create it with New.
type Holder struct {
	cfg     Config
	started time.Time
	wake    chan struct{}
	// orders counts the goroutines that send orders.
	orders sync.WaitGroup

	mu    sync.Mutex
	watch lease.Watch
	held  lease.Held
	// mayOrder is from when on this holder may send orders.
	mayOrder time.Time
	asks     demand.Book
	rates    rates
	stations map[instance.ID]*station
	// last is the newest news that was heard or published.
	last   News
	heard  time.Time
	number uint64
	// published says that nothing changed since the last news.
	published bool
	// retry is when the lease row is next looked at.
	retry    time.Time
	draining bool
}

// NotHolderError says that this entry does not hold the lease.
type NotHolderError struct{ Hint instance.ID }

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("not the holder, try %q", string(e.Hint))
}

// New returns an entry's part in the control. Run starts it.
func New(cfg Config) *Holder {
	return &Holder{cfg: cfg, started: clock.Now(), wake: make(chan struct{}, 1), stations: make(map[instance.ID]*station)}
}

const (
	// idleTick is how often the holder looks at what is due when nothing wakes
	// it, and restTick how often the others do.
	idleTick = 50 * time.Millisecond
	restTick = 200 * time.Millisecond
	// publishEvery is how often news are sent when nothing changes. Three
	// that are missing make an entry doubt the holder.
	publishEvery = 400 * time.Millisecond
	// silence is after how long without news an entry looks at the lease.
	silence = 1300 * time.Millisecond
	// lookEvery is how often it does.
	lookEvery = 400 * time.Millisecond
)

// Run watches or holds the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.step(ctx)
		t := time.NewTimer(pause)

		select {
		case <-ctx.Done():
		case <-h.wake:
		case <-t.C:
		}

		t.Stop()
	}
}

// Wake makes Run look at once.
func (h *Holder) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Announce makes the holder publish at once, because what entries must know
// has changed.
func (h *Holder) Announce() {
	h.mu.Lock()
	h.published = false
	h.mu.Unlock()
	h.Wake()
}

func (h *Holder) step(ctx context.Context) time.Duration {
	h.mu.Lock()
	held, draining := h.held, h.draining
	due := !draining && clock.Now().Sub(h.heard) >= silence && !clock.Now().Before(h.retry)
	h.mu.Unlock()

	switch {
	case held.Token != 0:
		h.renewIfDue(ctx, held)
		h.decide(ctx)

		return idleTick
	case due:
		h.look(ctx)
	}

	return restTick
}

// look reads the lease and takes it if it is free.
func (h *Holder) look(ctx context.Context) {
	h.mu.Lock()
	h.retry = clock.Now().Add(lookEvery)
	h.mu.Unlock()

	key := record.LeaseKey(cell)

	rows, err := h.cfg.Table.Read(ctx, key)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease not read")

		return
	}

	var current lease.Record

	if rows[0].Version != 0 {
		if current, err = record.DecodeLease(cell, rows[0].Value); err != nil {
			h.cfg.Log.Error().Err(err).Msg("lease row cannot be read")

			return
		}
	}

	now := clock.Now()

	h.mu.Lock()
	h.watch.Observe(rows[0].Version, current, now)
	free := h.watch.Free(now, h.cfg.Terms, h.cfg.Self, h.rank())
	h.mu.Unlock()

	if free || current.Holder == h.cfg.Self && current.Process != h.cfg.Process {
		h.take(ctx, current, rows[0].Version)
	}
}

// rank returns this entry's place among the candidates.
func (h *Holder) rank() int {
	ids := append([]instance.ID{h.cfg.Self}, h.cfg.Peers()...)
	for i, id := range instance.Rank("holder", ids) {
		if id == h.cfg.Self {
			return i
		}
	}

	return 0
}

func (h *Holder) take(ctx context.Context, old lease.Record, version uint64) {
	next := lease.Record{
		Cell: cell, Holder: h.cfg.Self, Process: h.cfg.Process, Token: old.Token + 1, WriteID: uuid.NewString(),
	}
	sent := clock.Now()

	ctx, cancel := context.WithTimeout(ctx, h.cfg.Terms.Duration/2)
	defer cancel()

	version, err := h.writeLease(ctx, next, version)
	if err != nil {
		h.cfg.Log.Info().Err(err).Msg("lease not taken")

		return
	}

	h.mu.Lock()
	h.held = lease.Held{Record: next, Version: version, Fence: version, Sent: sent}
	h.mayOrder = h.firstOrder(old, sent)
	h.number, h.published = 0, false
	h.adopt()
	mayOrder := h.mayOrder
	h.mu.Unlock()

	h.cfg.Log.Info().Uint64("token", next.Token).Str("former", string(old.Holder)).Bool("released", old.Released).
		Dur("ordersIn", mayOrder.Sub(sent)).Msg("lease taken")
}

// firstOrder returns from when on this holder may send orders. A former holder
// that released the lease has none in hand; of any other the last may have
// been sent right before its lease lapsed. A process that has just started may
// follow a holder on the same instance, whose orders count as its own.
func (h *Holder) firstOrder(old lease.Record, now time.Time) time.Time {
	first := h.started.Add(h.cfg.TurnPause)
	if old.Token == 0 || old.Released {
		return first
	}

	if t := now.Add(h.cfg.TurnPause - h.cfg.Terms.Duration + clockSlack); t.After(first) {
		return t
	}

	return first
}

// clockSlack covers what the clocks of two instances and the way of an order
// may differ by.
const clockSlack = 400 * time.Millisecond

func (h *Holder) writeLease(ctx context.Context, next lease.Record, version uint64) (uint64, error) {
	key := record.LeaseKey(cell)

	return table.Settle(ctx, h.cfg.Table, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: record.EncodeLease(next)}},
	})
}

// renewIfDue writes the lease again in the background of the decisions.
func (h *Holder) renewIfDue(ctx context.Context, held lease.Held) {
	now := clock.Now()
	if now.Before(held.Sent.Add(h.cfg.Terms.Renew)) {
		return
	}

	h.mu.Lock()
	again := now.Before(h.retry)

	if !again {
		h.retry = now.Add(h.cfg.Terms.Renew / 2) //nolint:mnd // Two tries in the time of one renewal.
	}
	h.mu.Unlock()

	if !again {
		go h.renew(ctx, held)
	}
}

func (h *Holder) renew(ctx context.Context, held lease.Held) {
	next := held.Record
	next.WriteID = uuid.NewString()
	sent := clock.Now()

	ctx, cancel := context.WithTimeout(ctx, h.cfg.Terms.Renew)
	defer cancel()

	version, err := h.writeLease(ctx, next, held.Version)

	switch {
	case err == nil:
		h.renewed(next, version, sent)
	case table.IsConflict(err):
		h.conflict(ctx, held)
	default:
		h.cfg.Log.Warn().Err(err).Uint64("token", held.Token).Dur("leaseAge", clock.Now().Sub(held.Sent)).Msg("lease not renewed")
	}
}

func (h *Holder) renewed(next lease.Record, version uint64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held.Token == next.Token && sent.After(h.held.Sent) {
		h.held.Record, h.held.Version, h.held.Sent = next, version, sent
	}
}

// conflict finds out whether the lease was lost, or whether an earlier renewal
// took effect after its answer was given up.
func (h *Holder) conflict(ctx context.Context, held lease.Held) {
	version, own, err := h.ownRow(ctx, held.Token)
	if err != nil {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held.Token != held.Token {
		return
	}

	if own {
		h.held.Version = version

		return
	}

	h.cfg.Log.Warn().Uint64("token", held.Token).Uint64("row", version).Msg("lease lost")
	h.held = lease.Held{}
	h.watch = lease.Watch{}
}

// Release gives the lease up to another entry, once no order is in hand.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	held := h.held
	h.mu.Unlock()

	if held.Token == 0 {
		return
	}

	// An order in hand must be settled before another entry sends its own.
	if !h.settled(ctx) {
		h.cfg.Log.Warn().Msg("lease not released, orders are in hand")

		return
	}

	peers := h.cfg.Peers()
	if len(peers) == 0 {
		return
	}

	next := held.Record
	next.Released, next.WriteID = true, uuid.NewString()
	next.Successor = instance.Rank("holder", peers)[0]

	h.mu.Lock()
	version := h.held.Version
	h.held = lease.Held{}
	news := h.last
	h.mu.Unlock()

	version, err := h.writeRelease(ctx, next, version)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease not released")

		return
	}

	h.cfg.Log.Info().Str("successor", string(next.Successor)).Msg("lease released")

	news.Number++
	news.Successor, news.LeaseVersion = next.Successor, version
	h.cfg.Publish(news)
}

// Report takes in what an entry asks for.
func (h *Holder) Report(r demand.Report, missing []Missing) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held.Token == 0 {
		return &NotHolderError{Hint: h.last.Holder}
	}

	h.asks.Take(r, time.Now())
	h.noteUses(r, clock.Now())

	for _, m := range missing {
		h.doubt(m)
	}

	h.Wake()

	return nil
}

// writeRelease writes the release over the row, also when a renewal of this
// process that was on its way has changed it meanwhile.
func (h *Holder) writeRelease(ctx context.Context, next lease.Record, version uint64) (uint64, error) {
	for {
		written, err := h.writeLease(ctx, next, version)
		if err == nil || !table.IsConflict(err) {
			return written, err
		}

		now, own, readErr := h.ownRow(ctx, next.Token)
		if readErr != nil || !own {
			return 0, err
		}

		version = now
	}
}

// ownRow reads the lease row. It reports whether that names this process with
// the token, and the row's version.
func (h *Holder) ownRow(ctx context.Context, token uint64) (version uint64, own bool, err error) {
	rows, err := h.cfg.Table.Read(ctx, record.LeaseKey(cell))
	if err != nil {
		return 0, false, err
	}

	current, err := record.DecodeLease(cell, rows[0].Value)
	own = err == nil && current.Process == h.cfg.Process && current.Token == token && !current.Released

	return rows[0].Version, own, nil
}

// settled waits until no order is in hand.
func (h *Holder) settled(ctx context.Context) bool {
	done := make(chan struct{})

	go func() {
		h.orders.Wait()
		close(done)
	}()

	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Hear takes in another holder's news. It reports whether they are newer than
// what was known.
func (h *Holder) Hear(n News) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !n.newer(h.last) {
		return false
	}

	now := clock.Now()
	h.last, h.heard = n, now

	released := lease.Record{Cell: cell, Holder: n.Holder, Process: n.Process, Token: n.Token, Released: n.Successor != "", Successor: n.Successor}
	h.watch.Observe(n.LeaseVersion, released, now)

	if h.held.Token != 0 && n.Token > h.held.Token {
		h.cfg.Log.Warn().Uint64("token", h.held.Token).Str("holder", string(n.Holder)).Msg("lease lost")
		h.held = lease.Held{}
	}

	if n.Successor == h.cfg.Self {
		h.heard, h.retry = time.Time{}, time.Time{}
		h.Wake()
	}

	return true
}

// Holding reports whether this entry holds the lease.
func (h *Holder) Holding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.held.Token != 0
}

// Known returns who was last heard to hold the lease.
func (h *Holder) Known() instance.ID {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.last.Holder
}
