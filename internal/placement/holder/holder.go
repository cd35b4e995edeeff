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

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// cell is the number of the one cell that there is.
const cell = 0

// Config is what a holder works with.
type Config struct {
	Self    instance.ID
	Process string
	Table   table.Service
	Engines Engines
	Terms   lease.Timing
	// TurnPause is for how long no two holders may take turns with orders.
	TurnPause time.Duration
	// Targets returns what is known of the targets, and Routes what is in
	// force, or nil.
	Targets func() map[instance.ID]inventory.Target
	Routes  func() *route.Config
	// Strength is the share of a processor that this entry has.
	Strength float64
	// Peers returns the other entries that are alive.
	Peers func() []Candidate
	// Rivals returns those and the ones that may be alive, among which this entry
	// takes its turn to look at the lease. Nil means the same as Peers.
	Rivals func() []Candidate
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
	held  lease.Holding
	// mayOrder is from when on this holder may send orders, and stockBy until
	// when it waits for what the engines hold.
	mayOrder, stockBy time.Time
	asks              demand.Reports
	// rates follow the demand of the moment, and habits that of half a minute.
	rates, habits rates
	stations      map[instance.ID]*station
	// turnovers tell how fast the targets of each service leave.
	turnovers map[string]*turnover
	// feeds tell how many loads the weight store carries for each service.
	feeds map[string]*feed
	// waits are the models that can be had only later, sorted by key.
	waits []Wait
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
	now := clock.Now()

	return &Holder{
		cfg: cfg, started: now, heard: now.Add(firstLook - silence), wake: make(chan struct{}, 1),
		stations: make(map[instance.ID]*station), rates: rates{span: rateSpan}, habits: rates{span: habitSpan},
	}
}

const (
	// idleTick is how often the holder looks at what is due when nothing wakes
	// it, and restTick how often the others do.
	idleTick = 50 * time.Millisecond
	restTick = 200 * time.Millisecond
	// restShare is how many times as long as a round took the next one waits at
	// least, so that decisions take at most a fifth of a core.
	restShare = 4
	// restMost bounds that wait: a round may take long because it was held up,
	// and a holder that rests for seconds loses its lease.
	restMost = 150 * time.Millisecond
	// heldUp is from when on a round that took long is worth a line.
	heldUp = 300 * time.Millisecond
	// publishEvery is how often news are sent when nothing changes. Three
	// that are missing make an entry doubt the holder.
	publishEvery = 400 * time.Millisecond
	// silence is after how long without news an entry looks at the lease.
	silence = 1300 * time.Millisecond
	// lookEvery is how often it does.
	lookEvery = 400 * time.Millisecond
	// firstLook is how long after its start an entry that hears no holder looks
	// at the lease. By then it knows the others, so that not all of them look.
	firstLook = 300 * time.Millisecond
	// settled is how long after its start an entry may take the lease: by then
	// it has heard of the others, of which a stronger one may be there.
	settled = 900 * time.Millisecond
	// watchers is how many entries look at the lease first, and lookStep how
	// much later the next so many join them, since one of them takes it.
	watchers = 5
	lookStep = 400 * time.Millisecond
)

// Run watches or holds the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		pause := h.step(ctx)

		took := time.Since(began)
		if took >= heldUp {
			h.cfg.Log.Warn().Dur("took", took).Bool("holds", h.Holding()).Msg("round of decisions held up")
		}

		// Reports of many entries wake it hundreds of times a second.
		_ = clock.Sleep(ctx, min(restShare*took, restMost))

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
	quiet := clock.Now().Sub(h.heard)
	due := !draining && quiet >= silence && !clock.Now().Before(h.retry)
	h.mu.Unlock()

	if due && held.Token == 0 {
		due = quiet >= silence+time.Duration(h.group())*lookStep
	}

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

// Report takes in what an entry asks for.
func (h *Holder) Report(r demand.Report, missing []Missing) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held.Token == 0 {
		return &NotHolderError{Hint: h.last.Holder}
	}

	h.asks.Record(r, time.Now())
	h.noteUses(r, clock.Now())

	for _, m := range missing {
		if m.Key == "" {
			h.suspect(m.Target, r.Entry)
		} else {
			h.doubt(m)
		}
	}

	h.Wake()

	return nil
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
		h.held = lease.Holding{}
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
