// Package engine is a small stand-in of a model engine. It batches requests, caches
// prompt prefixes, loads checkpoints from a shared weight store and has faults that can
// be set. Its answers are a function of the prompt, so that a client can check that an
// answer is its own and complete.
package engine

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Poison is a word that crashes an engine that reads it in a prompt.
const Poison = "crash-the-target"

// Fetcher waits for the time that a load takes.
type Fetcher interface {
	Fetch(ctx context.Context, model string, bytes int64, tier target.Tier) error
}

// Options describe one engine. The zero value is a slow engine without
// memory.
type Options struct {
	ID          instance.ID
	Memory      int64
	Speed       float64
	Slots       int
	ChecksToken bool
	// Software is the version of the engine's program.
	Software instance.Software
	// FirstToken and PerToken are the times at speed 1 on an idle engine.
	FirstToken, PerToken time.Duration
	// ReportLag is how old a load report is when it is read.
	ReportLag time.Duration
	// Restart is the time that a crashed engine takes to restart.
	Restart time.Duration
	Weights Fetcher
}

// Engine is the stand-in. It implements target.Engine.
type Engine struct {
	opt Options

	mu          sync.Mutex
	incarnation string
	down        bool
	stopped     bool
	leaving     bool
	token       uint64
	role        string
	held        map[string]target.ResidentModel
	cached      map[string]target.Tier
	orders      map[string]bool
	running     map[string]*generation
	waiting     []*generation
	events      []target.CacheEvent
	number      uint64
	prefixes    map[string]bool
	imported    map[string]bool
	reports     []target.Report
	// ran counts how often each prompt was run, over all incarnations.
	ran     map[uint64]int
	faults  Faults
	crashes int

	// OnChange, if set, is called under the engine's lock after each change of what it
	// holds, for checks.
	OnChange func(id instance.ID, held []target.ResidentModel, memory int64)
}

type generation struct {
	target.Generation

	cancel context.CancelFunc
	ready  chan struct{}
	silent chan struct{}
}

var errDown = errors.New("engine is down")

// New returns a running engine.
func New(opt Options) *Engine {
	if opt.Speed == 0 {
		opt.Speed = 1
	}

	if opt.Slots == 0 {
		opt.Slots = 8
	}

	e := &Engine{opt: opt, role: "mixed", cached: make(map[string]target.Tier)}
	e.start()

	return e
}

// start begins a new incarnation with nothing loaded. The disk cache remains.
func (e *Engine) start() {
	e.incarnation = uuid.NewString()
	e.down = false
	e.token = 0
	e.held = make(map[string]target.ResidentModel)
	e.orders = make(map[string]bool)
	e.running = make(map[string]*generation)
	e.waiting = nil
	e.prefixes = make(map[string]bool)
	e.imported = make(map[string]bool)

	for name := range e.cached {
		e.cached[name] = target.TierDisk
	}
}

// Generate implements target.Engine.
func (e *Engine) Generate(ctx context.Context, g target.Generation) (target.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return nil, &target.NotReachedError{Target: e.opt.ID, Err: errDown}
	}

	if strings.Contains(g.Prompt, Poison) {
		e.crashes++
		e.crashLocked()

		return nil, io.ErrUnexpectedEOF
	}

	if e.leaving && g.Offset == 0 {
		return nil, &target.LeavingError{Target: e.opt.ID}
	}

	if h := e.held[g.Model]; h.Phase != target.Ready {
		return nil, &target.NotLoadedError{Target: e.opt.ID, Model: g.Model}
	}

	ctx, cancel := context.WithCancel(ctx)
	gen := &generation{
		Generation: g,
		cancel:     cancel,
		ready:      make(chan struct{}),
		silent:     make(chan struct{}),
	}

	s := &stream{ctx: ctx, engine: e, gen: gen, next: g.Offset, id: g.RequestID, truncate: e.faults.Truncate}
	e.faults.Truncate = false

	if e.faults.SwapAnswers {
		e.swapLocked(s)
	}

	if e.ran == nil {
		e.ran = make(map[uint64]int)
	}

	e.ran[xxhash.Sum64String(g.Prompt)]++
	e.enqueue(gen)

	return s, nil
}

// swapLocked makes s return the answer of another running generation.
func (e *Engine) swapLocked(s *stream) {
	for id, other := range e.running {
		s.id, s.gen = id, &generation{
			Generation: other.Generation,
			cancel:     s.gen.cancel,
			ready:      s.gen.ready,
			silent:     s.gen.silent,
		}
		e.faults.SwapAnswers = false

		return
	}
}

func (e *Engine) enqueue(g *generation) {
	e.waiting = append(e.waiting, g)
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return b.Priority - a.Priority })
	e.admit()
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.opt.Slots {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[g.RequestID] = g
		close(g.ready)
	}
}

func (e *Engine) finish(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()

	g.cancel()

	if e.running[g.RequestID] == g {
		delete(e.running, g.RequestID)
	}

	e.waiting = slices.DeleteFunc(e.waiting, func(o *generation) bool { return o == g })
	e.admit()
}

// Cancel implements target.Engine.
func (e *Engine) Cancel(_ context.Context, requestID string) error {
	e.mu.Lock()
	g := e.running[requestID]
	e.mu.Unlock()

	if g != nil {
		e.finish(g)
	}

	return nil
}

// Report implements target.Engine. It returns the newest report that is at
// least as old as the lag.
func (e *Engine) Report(context.Context) (target.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return target.Report{}, errDown
	}

	now := target.Report{
		At:      time.Now(),
		Running: len(e.running),
		Waiting: len(e.waiting),
		Slots:   e.opt.Slots,
		Leaving: e.leaving,
	}
	e.reports = append(e.reports, now)

	at := 0

	for i, r := range e.reports {
		if now.At.Sub(r.At) >= e.opt.ReportLag {
			at = i
		}
	}

	e.reports = e.reports[at:]

	return e.reports[0], nil
}

// Events implements target.Engine.
func (e *Engine) Events(_ context.Context, after uint64) ([]target.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	var out []target.CacheEvent

	for _, ev := range e.events {
		if ev.Number > after && (!e.faults.DropEvents || ev.Number%2 == 0) {
			out = append(out, ev)
		}
	}

	return out, nil
}

// ExportKV implements target.Engine.
func (e *Engine) ExportKV(_ context.Context, requestID string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	g := e.running[requestID]
	if g == nil {
		return nil, &target.NotLoadedError{Target: e.opt.ID, Model: requestID}
	}

	return []byte(g.Prompt), nil
}

// ImportKV implements target.Engine.
func (e *Engine) ImportKV(_ context.Context, requestID string, _ []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.imported[requestID] = true

	return nil
}
