package holder_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/pause"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

var terms = lease.Timing{Duration: 2500 * time.Millisecond, Renew: 800 * time.Millisecond, Poll: 400 * time.Millisecond, Stagger: 200 * time.Millisecond}

const turnPause = 3 * time.Second

// world has holders h0, h1, … before workers that hold two of eight models
// each, on a table that can fail.
type world struct {
	t       *testing.T
	table   platform.Platform
	routes  *route.Config
	workers map[instance.ID]*worker.Worker
	holders map[instance.ID]*member
	cancel  context.CancelFunc

	mu  sync.Mutex
	cut map[instance.ID]bool
	// dark is the engine that answers nothing.
	dark instance.ID
	// rows are the entries of the list as they were last written.
	rows map[instance.ID]inventory.Target
	// leaving are the workers that take no new work.
	leaving map[instance.ID]bool
	// born counts the workers' processes as they stand on the list, and processes
	// those that say another in their reports.
	born      int64
	processes map[instance.ID]int64
	// last is the newest news.
	last holder.News
	// held is how long the next publication is held up.
	held time.Duration
	// slow is how much longer than usual an order is on its way.
	slow time.Duration
}

// member is one holder with what stops it.
type member struct {
	*holder.Holder

	gate pause.Gate
	stop context.CancelFunc
}

func engine() *route.Engine {
	e := &route.Engine{MemoryMB: 30, AdapterSlots: 2, Slots: 8, Models: make(map[string]route.Model)}

	for i := range 8 {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = route.Model{
			Name: name, MB: 10, AdapterMB: 1, FromStore: 6 * time.Second, FromDisk: 1500 * time.Millisecond, FromMemory: time.Second,
		}
	}

	return e
}

func newWorld(t *testing.T, holders int) *world {
	t.Helper()

	return newWorldOf(t, holders, engine(), 3)
}

func newWorldOf(t *testing.T, holders int, e *route.Engine, workers int) *world {
	t.Helper()

	w := &world{
		t: t, workers: make(map[instance.ID]*worker.Worker), holders: make(map[instance.ID]*member), cut: make(map[instance.ID]bool),
		rows: make(map[instance.ID]inventory.Target), leaving: make(map[instance.ID]bool), born: 1,
		routes: &route.Config{Services: map[string]route.Service{"s": {Name: "s", Engine: e}}},
	}

	for i := range workers {
		w.workers[instance.ID(fmt.Sprintf("w%d", i))] = &worker.Worker{
			Engine: e, Holding: []string{fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1)}, OnDisk: []string{"m6", "m7"},
		}
	}

	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = cancel

	for i := range holders {
		w.start(ctx, instance.ID(fmt.Sprintf("h%d", i)))
	}

	return w
}

func (w *world) start(ctx context.Context, id instance.ID) { w.startAs(ctx, id, string(id)+"-1") }

// startAs starts a holder as the process named.
func (w *world) startAs(ctx context.Context, id instance.ID, process string) {
	ctx, stop := context.WithCancel(ctx)
	m := &member{stop: stop}
	m.Holder = holder.New(holder.Config{
		Self: id, Process: process, Table: gated{&w.table, &m.gate}, Engines: engines{w, &m.gate}, Terms: terms, TurnPause: turnPause,
		Targets: w.targets, Routes: func() *route.Config { return w.routes }, Peers: func() []holder.Candidate { return w.candidates(id) },
		Publish: func(n holder.News) { w.publish(id, n) }, Log: zerolog.Nop(),
	})

	w.mu.Lock()
	w.holders[id] = m
	w.mu.Unlock()

	go m.Run(ctx)
}

// candidates returns the other holders, all of them as strong.
func (w *world) candidates(self instance.ID) []holder.Candidate {
	var out []holder.Candidate
	for _, id := range w.peers(self) {
		out = append(out, holder.Candidate{ID: id})
	}

	return out
}

// peers returns the other holders.
func (w *world) peers(self instance.ID) []instance.ID {
	w.mu.Lock()
	defer w.mu.Unlock()

	var out []instance.ID

	for id := range w.holders {
		if id != self && !w.cut[id] {
			out = append(out, id)
		}
	}

	slices.Sort(out)

	return out
}

func (w *world) publish(from instance.ID, n holder.News) {
	w.mu.Lock()
	silent := w.cut[from]
	w.last = n
	held := w.held
	w.held = 0
	w.mu.Unlock()

	time.Sleep(held)

	if silent {
		return
	}

	for _, id := range w.peers(from) {
		go func() {
			w.mu.Lock()
			m := w.holders[id]
			w.mu.Unlock()

			if m != nil && m.gate.Wait(w.t.Context()) == nil {
				m.Hear(n)
			}
		}()
	}
}

// heard returns the newest news.
func (w *world) heard() holder.News {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.last
}

func (w *world) targets() map[instance.ID]inventory.Target {
	w.mu.Lock()
	defer w.mu.Unlock()

	for id, one := range w.workers {
		old := w.rows[id]
		row := one.Describe(inventory.Target{ID: id, Service: "s", Slots: 8, Born: w.born, Leaving: w.leaving[id], Version: old.Version})

		if !reflect.DeepEqual(row, old) {
			row.Version++
			w.rows[id] = row
		}
	}

	return maps.Clone(w.rows)
}

// gated is a table behind a pause of its caller.
type gated struct {
	*platform.Platform

	gate *pause.Gate
}

func (g gated) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := g.gate.Wait(ctx); err != nil {
		return nil, err
	}

	return g.Platform.Read(ctx, keys...)
}

func (g gated) Commit(ctx context.Context, tx table.Transaction) (uint64, error) {
	if err := g.gate.Wait(ctx); err != nil {
		return 0, err
	}

	return g.Platform.Commit(ctx, tx)
}

// engines are the workers behind a pause of their caller.
type engines struct {
	w    *world
	gate *pause.Gate
}

func (w *world) worker(id instance.ID) *worker.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.workers[id]
}

// setDark makes an engine answer no call any more.
func (w *world) setDark(id instance.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.dark = id
}

// setSlow makes all orders take longer on their way.
func (w *world) setSlow(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.slow = d
}

func (w *world) orderDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.slow
}

func (w *world) isDark(id instance.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.dark == id
}

// way is how long a call to a worker takes.
const way = 2 * time.Millisecond

var errSilent = errors.New("no answer")

func (e engines) Order(ctx context.Context, t inventory.Target, o holder.Order) (holder.Outcome, error) {
	if err := e.gate.Wait(ctx); err != nil {
		return holder.Rejected, err
	}

	if e.w.isDark(t.ID) {
		<-ctx.Done()

		return holder.Rejected, errSilent
	}

	time.Sleep(way + e.w.orderDelay())

	out, answered := e.w.worker(t.ID).Order(o)
	if !answered {
		<-ctx.Done()

		return holder.Rejected, errSilent
	}

	return out, nil
}

func (e engines) Report(ctx context.Context, t inventory.Target) (holder.Report, error) {
	if err := e.gate.Wait(ctx); err != nil {
		return holder.Report{}, err
	}

	if e.w.isDark(t.ID) {
		<-ctx.Done()

		return holder.Report{}, errSilent
	}

	time.Sleep(way)

	r := e.w.worker(t.ID).Report()
	r.Born = e.w.process(t.ID)

	return r, nil
}

// ask reports to every holder that requests wait for models, until one takes
// it.
func (w *world) ask(models ...string) {
	r := demand.Report{Entry: "e"}
	for _, model := range models {
		r.Waiting = append(r.Waiting, replica.Demand{Model: "s/" + model, Waiting: 1, Deadline: time.Now().Add(10 * time.Second)})
	}

	for _, m := range w.holders {
		if m.Report(r, nil) == nil {
			return
		}
	}
}

// served waits until some worker runs a request for the key, and asks for it
// meanwhile as an entry does.
func (w *world) served(key string, within time.Duration) bool {
	name, adapter, _ := cutKey(key)

	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.ask(key)

		for _, one := range w.workers {
			if one.Begin("r", name, adapter) {
				one.End(name)

				return true
			}
		}
	}

	return false
}

func cutKey(key string) (name, adapter string, found bool) {
	for i := range key {
		if key[i] == '/' {
			return key[:i], key[i+1:], true
		}
	}

	return key, "", false
}

// holding returns who holds the lease now.
func (w *world) holding() instance.ID {
	for id, m := range w.holders {
		if m.Holding() {
			return id
		}
	}

	return ""
}

// finish checks what must hold in every story and ends the bubble's
// goroutines. Only where the lease is given up in person may its next holder
// order at once.
func (w *world) finish() {
	w.t.Helper()

	all := w.all()
	assert.DeepEqual(w.t, worker.Changes(turnPause, all...), []string(nil))
	w.finishReleased()
}

func (w *world) all() []*worker.Worker {
	all := make([]*worker.Worker, 0, len(w.workers))
	for _, one := range w.workers {
		all = append(all, one)
	}

	return all
}

func (w *world) finishReleased() {
	w.t.Helper()

	for _, one := range w.workers {
		assert.DeepEqual(w.t, one.Broken(), []string(nil))
	}

	assert.DeepEqual(w.t, worker.Turns(turnPause, w.all()...), []string(nil))

	for _, m := range w.holders {
		m.gate.Open()
	}

	w.cancel()
	time.Sleep(time.Minute)
}
