// Package engine is a small stand-in of a model engine: it batches, caches
// prompt prefixes, loads checkpoints through a shared weight store and breaks
// on demand. Its answers are a function of the prompt, so that a client can
// tell whether it got its own answer and all of it.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Poison is a word that crashes the engine which reads it in a prompt.
const Poison = "crash-the-target"

// Fetcher takes the time that a load of bytes takes from the weight store.
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
	// FirstToken and PerToken are the times at speed 1 on an idle engine.
	FirstToken, PerToken time.Duration
	// ReportLag is how old a load report is when it is read.
	ReportLag time.Duration
	// Restart is how long a crashed engine stays away.
	Restart time.Duration
	Weights Fetcher
}

// Faults are the engine's switches.
type Faults struct {
	// SwapAnswers makes the next two streams carry each other's request ids.
	SwapAnswers bool
	// Truncate makes the next stream end cleanly without its end mark.
	Truncate bool
	// LateOrders delays the carrying out of every order.
	LateOrders time.Duration
	// FailLoads makes the next loads fail.
	FailLoads int
	// DropEvents loses every second cache event.
	DropEvents bool
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
	held        map[string]target.Held
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

	// OnChange, when set, is called under the engine's lock after each change
	// of what it holds. Checkers hang on to it.
	OnChange func(id instance.ID, held []target.Held, memory int64)
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

// start begins a new incarnation with nothing loaded. The disk cache stays.
func (e *Engine) start() {
	e.incarnation = uuid.NewString()
	e.down = false
	e.token = 0
	e.held = make(map[string]target.Held)
	e.orders = make(map[string]bool)
	e.running = make(map[string]*generation)
	e.waiting = nil
	e.prefixes = make(map[string]bool)
	e.imported = make(map[string]bool)

	for name := range e.cached {
		e.cached[name] = target.TierDisk
	}
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.faults = f
}

// Crash ends the incarnation. All it ran and held is gone; after the restart
// time the engine is back, empty.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.down {
		return
	}

	e.down = true
	for _, g := range e.running {
		g.cancel()
	}

	for _, g := range e.waiting {
		g.cancel()
	}

	e.held = make(map[string]target.Held)
	e.changed()

	time.AfterFunc(e.opt.Restart, func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		if !e.stopped {
			e.start()
		}
	})
}

// Stop ends the engine for good, as when its instance is reclaimed.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.stopped = true
	e.crashLocked()
}

// Silence makes all open streams go quiet for good. New ones work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, g := range e.running {
		select {
		case <-g.silent:
		default:
			close(g.silent)
		}
	}
}

// Ran reports whether the prompt was ever run here.
func (e *Engine) Ran(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ran[xxhash.Sum64String(prompt)] > 0
}

// PoisonCrashes returns how often a poisonous prompt crashed the engine.
func (e *Engine) PoisonCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.crashes
}

// Use returns how many models are ready and how many generations run.
func (e *Engine) Use() (ready, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, h := range e.held {
		if h.Phase == target.Ready {
			ready++
		}
	}

	return ready, len(e.running)
}

// Holds reports whether the model is ready.
func (e *Engine) Holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.held[model].Phase == target.Ready
}

// ID returns the engine's instance id.
func (e *Engine) ID() instance.ID { return e.opt.ID }

// Leave makes the engine say that it is leaving and refuse new generations.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.leaving = true
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

// swapLocked makes s carry the answer of a generation that is running.
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

// Submit implements target.Engine.
func (e *Engine) Submit(ctx context.Context, o target.Order) (target.Inventory, error) {
	e.mu.Lock()
	late := e.faults.LateOrders
	e.mu.Unlock()

	if late > 0 {
		// A late order is carried out even if its sender has given up.
		done := make(chan struct{})

		go func() {
			time.Sleep(late)

			_, _ = e.carryOut(o)

			close(done)
		}()

		select {
		case <-ctx.Done():
			return target.Inventory{}, ctx.Err()
		case <-done:
			return e.Inventory(ctx)
		}
	}

	return e.carryOut(o)
}

func (e *Engine) carryOut(o target.Order) (target.Inventory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return target.Inventory{}, errDown
	}

	if e.opt.ChecksToken {
		if o.Token < e.token {
			return target.Inventory{}, &target.StaleTokenError{Target: e.opt.ID, Token: o.Token, Highest: e.token}
		}

		e.token = o.Token
	}

	if e.orders[o.ID] {
		return e.inventoryLocked(), nil
	}

	e.orders[o.ID] = true

	switch a := o.Action.(type) {
	case target.Load:
		e.loadLocked(a)
	case target.Unload:
		delete(e.held, a.Model)
		e.changed()
	case target.ChangeRole:
		e.role = a.Role
	case target.RaiseToken:
	}

	return e.inventoryLocked(), nil
}

// loadLocked starts a load. Like many engines, it takes the order on trust
// and does not check its memory: that is what the books are for.
func (e *Engine) loadLocked(a target.Load) {
	if _, ok := e.held[a.Model]; ok {
		return
	}

	e.held[a.Model] = target.Held{Model: a.Model, Base: a.Base, Bytes: a.Bytes, Phase: target.Loading}
	e.changed()

	tier := e.cached[a.Model]
	if tier == 0 {
		tier = target.TierRemote
	}

	go e.fetch(a, tier, e.incarnation)
}

func (e *Engine) fetch(a target.Load, tier target.Tier, incarnation string) {
	var err error
	if e.opt.Weights != nil {
		err = e.opt.Weights.Fetch(context.Background(), a.Model, a.Bytes, tier)
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	h, ok := e.held[a.Model]
	if !ok || e.incarnation != incarnation || e.down {
		return
	}

	h.Phase = target.Ready

	if err != nil || e.faults.FailLoads > 0 {
		e.faults.FailLoads = max(0, e.faults.FailLoads-1)
		h.Phase = target.Failed
	} else {
		e.cached[a.Model] = target.TierMemory
	}

	e.held[a.Model] = h
	e.changed()
}

func (e *Engine) changed() {
	if e.OnChange != nil {
		e.OnChange(e.opt.ID, e.heldLocked(), e.opt.Memory)
	}
}

func (e *Engine) heldLocked() []target.Held {
	var out []target.Held
	for _, name := range slices.Sorted(maps.Keys(e.held)) {
		out = append(out, e.held[name])
	}

	return out
}

// Inventory implements target.Engine.
func (e *Engine) Inventory(context.Context) (target.Inventory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return target.Inventory{}, errDown
	}

	return e.inventoryLocked(), nil
}

func (e *Engine) inventoryLocked() target.Inventory {
	return target.Inventory{
		Incarnation: e.incarnation,
		Token:       e.token,
		Memory:      e.opt.Memory,
		Speed:       e.opt.Speed,
		Role:        e.role,
		Leaving:     e.leaving,
		Held:        e.heldLocked(),
		Cached:      maps.Clone(e.cached),
	}
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

// prefill returns the time to the first token, and caches the prefix.
func (e *Engine) prefill(g *generation) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	const prefixLen, maxPrefixes, maxEvents = 64, 256, 1024

	prefix := g.Prompt[:min(len(g.Prompt), prefixLen)]
	d := time.Duration(float64(e.opt.FirstToken) / e.opt.Speed)

	if e.prefixes[prefix] || e.imported[g.RequestID] {
		return d / 4
	}

	if len(e.prefixes) < maxPrefixes {
		e.prefixes[prefix] = true
		e.number++
		e.events = append(e.events, target.CacheEvent{Number: e.number, Prefix: prefix, Cached: true})
		e.events = e.events[max(0, len(e.events)-maxEvents):]
	}

	return d
}

// step returns the time between tokens at the present batch size.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	batch := 1 + 0.1*float64(len(e.running))

	return time.Duration(float64(e.opt.PerToken) / e.opt.Speed * batch)
}

// stream produces one generation's frames as they are asked for.
type stream struct {
	ctx      context.Context //nolint:containedctx // A stream lives as long as its call.
	engine   *Engine
	gen      *generation
	next     int
	id       string
	truncate bool
	started  bool
	ended    bool
}

func (s *stream) Next() (target.Frame, error) {
	if s.ended {
		return target.Frame{}, io.EOF
	}

	delay, err := s.begin()
	if err != nil {
		return target.Frame{}, err
	}

	select {
	case <-s.ctx.Done():
		return target.Frame{}, io.ErrUnexpectedEOF
	case <-s.gen.silent:
		<-s.ctx.Done()

		return target.Frame{}, io.ErrUnexpectedEOF
	case <-time.After(delay):
	}

	if s.next >= s.gen.MaxTokens {
		s.ended = true

		return target.Frame{RequestID: s.id, Index: s.next, End: true}, nil
	}

	if s.truncate && s.next > s.gen.MaxTokens/2 {
		return target.Frame{}, io.EOF
	}

	f := target.Frame{RequestID: s.id, Index: s.next, Text: Token(s.gen.Model, s.gen.Prompt, s.next)}
	s.next++

	return f, nil
}

// begin waits for a slot before the first frame and returns the time that the
// next frame takes.
func (s *stream) begin() (time.Duration, error) {
	if s.started {
		return s.engine.step(), nil
	}

	s.started = true

	select {
	case <-s.ctx.Done():
		return 0, io.ErrUnexpectedEOF
	case <-s.gen.ready:
		return s.engine.prefill(s.gen), nil
	}
}

func (s *stream) Close() error {
	s.engine.finish(s.gen)

	return nil
}

// Token returns the token at index of the answer to prompt.
func Token(model, prompt string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(model+"\x00"+prompt)), index) //nolint:gosec // A digest.
}

// Answer returns the whole answer of n tokens to prompt.
func Answer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}

	return b.String()
}
