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
	"testing/synctest"
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

var terms = lease.Terms{Duration: 2500 * time.Millisecond, Renew: 800 * time.Millisecond, Poll: 400 * time.Millisecond, Stagger: 200 * time.Millisecond}

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

// TestColdModel: a model that is on two disks and in no memory is asked for.
// It is loaded once, on one target, within the time of a load from disk.
func TestColdModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)

		began := time.Now()

		assert.Assert(t, w.served("m6", 5*time.Second))
		assert.Assert(t, time.Since(began) < 1800*time.Millisecond, "took %s", time.Since(began))

		loads := 0

		for _, one := range w.workers {
			for _, o := range one.Orders() {
				if !o.Unload && o.Outcome == holder.Accepted {
					loads++
				}
			}
		}

		assert.Equal(t, loads, 1)
		w.finish()
	})
}

// TestAdapter: an adapter of a loaded model is asked for and comes at once;
// with all places taken an idle one makes way.
func TestAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)

		time.Sleep(5 * time.Second)

		for _, key := range []string{"m0/a1", "m0/a2", "m0/a3", "m1/a1"} {
			began := time.Now()

			assert.Assert(t, w.served(key, time.Second), "%s", key)
			assert.Assert(t, time.Since(began) < 200*time.Millisecond)
			time.Sleep(time.Second)
		}

		w.finish()
	})
}

// TestFaultyOrders: an engine leaves orders unanswered, and carries them out
// seconds late or at once. The model is served all the same, on one target, and
// no memory is overcommitted when the late order arrives.
func TestFaultyOrders(t *testing.T) {
	cases := map[string]worker.Faults{
		"late":  {LateOrders: 2, Late: 4 * time.Second},
		"lost":  {LostOrders: 2},
		"a lot": {LateOrders: 5, Late: 2 * time.Second, LostOrders: 3},
	}

	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)

				time.Sleep(5 * time.Second)

				for _, one := range w.workers {
					one.SetFaults(faults)
				}

				assert.Assert(t, w.served("m6", 15*time.Second))
				assert.Assert(t, w.served("m7", 15*time.Second))
				time.Sleep(10 * time.Second)
				w.finish()
			})
		})
	}
}

// TestTwoLateOrders: an order of a holder that stops is late, and so is the
// first order of its successor, under the same sequence. The former's is
// carried out first. If the successor took it for its own, it would count a
// small model where a large one is and overcommit the memory.
func TestTwoLateOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine()
		e.MemoryMB = 44
		e.Models["m6"] = route.Model{Name: "m6", MB: 18, FromDisk: 1500 * time.Millisecond, FromMemory: time.Second}
		w := newWorldOf(t, 2, e, 1)
		only := w.workers["w0"]

		time.Sleep(5 * time.Second)

		only.SetFaults(worker.Faults{LateOrders: 1, Late: 1700 * time.Millisecond})

		old := w.holding()
		w.ask("m6")
		time.Sleep(100 * time.Millisecond)
		only.SetFaults(worker.Faults{LateOrders: 1, Late: 9 * time.Second})
		w.holders[old].Release(t.Context())

		for _, model := range []string{"m7", "m5"} {
			w.served(model, 5*time.Second)
		}

		time.Sleep(10 * time.Second)
		w.finishReleased()
	})
}

// TestHolderDies: the holder is killed. Another takes over within a few
// seconds, and no two of them send orders within the pause between turns.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)
		assert.Assert(t, w.served("m6", 5*time.Second))

		dead := w.holding()
		w.holders[dead].gate.Close()
		w.holders[dead].stop()

		w.mu.Lock()
		w.cut[dead] = true
		delete(w.holders, dead)
		w.mu.Unlock()

		assert.Assert(t, w.served("m7", 9*time.Second))
		w.finish()
	})
}

// TestTakeOverIsReady: the holder is killed and an engine does not answer
// either. The next holder must not begin to ask the engines what they hold when
// it could already order: callers who wait for a model go meanwhile.
func TestTakeOverIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)
		assert.Assert(t, w.served("m6", 5*time.Second))

		dead := w.holding()

		w.mu.Lock()
		w.cut[dead] = true
		m := w.holders[dead]
		delete(w.holders, dead)
		w.mu.Unlock()

		m.gate.Close()
		m.stop()
		w.setDark("w2")

		for w.holding() == "" {
			time.Sleep(10 * time.Millisecond)
		}

		taken := time.Now()

		// 0.9 s until the former holder's last order is past, 0.3 s for the dark
		// engine, and a load from disk of 1.5 s.
		assert.Assert(t, w.served("m7", 9*time.Second))
		t.Logf("served %v after the lease was taken", time.Since(taken))
		assert.Assert(t, time.Since(taken) < 3200*time.Millisecond)
		w.finish()
	})
}

// TestHolderRestarts: the holder's process is killed, as on a loss of power of
// all, and is started again at once. Nobody else can have ordered meanwhile, so
// a caller who waits for a model must not wait for a pause between turns first.
func TestHolderRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)
		assert.Assert(t, w.served("m6", 5*time.Second))

		id := w.holding()
		w.holders[id].gate.Close()
		w.holders[id].stop()
		w.startAs(t.Context(), id, "second")

		began := time.Now()

		assert.Assert(t, w.served("m7", 9*time.Second))
		t.Logf("served after %v", time.Since(began))
		assert.Equal(t, w.holding(), id)
		// Two reports 0.35 s apart, and a load from disk of 1.5 s.
		assert.Assert(t, time.Since(began) < 2500*time.Millisecond)
		w.finish()
	})
}

// TestHolderPaused: the holder is paused past its lease, with a swap decided,
// and wakes while another holds. What it still wants to send must not go out.
func TestHolderPaused(t *testing.T) {
	for pauseMs := 500; pauseMs <= 9000; pauseMs += 850 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3)

			time.Sleep(5 * time.Second)
			assert.Assert(t, w.served("m6", 5*time.Second))

			paused := w.holders[w.holding()]
			paused.gate.Close()

			began := time.Now()

			for time.Since(began) < time.Duration(pauseMs)*time.Millisecond {
				w.ask("m7")
				time.Sleep(50 * time.Millisecond)
			}

			paused.gate.Open()
			assert.Assert(t, w.served("m7", 12*time.Second), "pause of %d ms", pauseMs)
			time.Sleep(3 * time.Second)
			w.finish()
		})
	}
}

// TestRelease: the holder stops gracefully. The other takes over at once,
// without the wait for the lease to lapse.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)

		time.Sleep(5 * time.Second)

		old := w.holding()
		w.holders[old].Release(t.Context())
		time.Sleep(200 * time.Millisecond)

		assert.Assert(t, w.holding() != "" && w.holding() != old)
		assert.Assert(t, w.served("m6", 3*time.Second))
		w.finishReleased()
	})
}

// TestReleaseDuringRenewal: the table is slow and a renewal is on its way when
// the holder stops. The renewal changes the row under the release, which must
// not be given up for it: nobody would order until the lease lapses.
func TestReleaseDuringRenewal(t *testing.T) {
	for offset := range 9 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2)

			time.Sleep(5 * time.Second)
			w.table.SetFaults(platform.Faults{TableDelay: 250 * time.Millisecond})
			time.Sleep(time.Second + time.Duration(offset)*100*time.Millisecond)

			old := w.holding()
			w.holders[old].Release(t.Context())
			time.Sleep(1300 * time.Millisecond)

			assert.Assert(t, w.holding() != "" && w.holding() != old, "offset %d", offset)
			w.finishReleased()
		})
	}
}

// TestTableDown: the table is down for longer than the lease. Nobody orders
// once the lease has lapsed, and the same holder goes on when the table is
// back.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)
		w.table.SetFaults(platform.Faults{TableDown: true})
		time.Sleep(3 * time.Second)

		assert.Assert(t, !w.served("m6", 4*time.Second), "an order went out without a lease")
		w.table.SetFaults(platform.Faults{})
		assert.Assert(t, w.served("m6", 8*time.Second))
		w.finish()
	})
}

// TestRestartedEngine: an engine restarts empty under the same id. What it held
// before is not counted on, and its orders start anew.
func TestRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)

		time.Sleep(5 * time.Second)
		assert.Assert(t, w.served("m6", 5*time.Second))

		w.mu.Lock()
		w.born++

		for id := range w.workers {
			w.workers[id] = &worker.Worker{Engine: engine(), OnDisk: []string{"m0", "m6"}}
		}
		w.mu.Unlock()

		assert.Assert(t, w.served("m0", 8*time.Second))
		assert.Assert(t, w.served("m6", 8*time.Second))
		w.finish()
	})
}

// TestRoundHeldUp: all machines lost power and start again. The first round of
// the new holder is held up for a second, since telling another entry waits for
// one that is still dark. It rested four times as long after that, as if it had
// computed all the time, and neither ordered nor renewed: another entry took the
// lease four seconds later, and callers waited for five.
func TestRoundHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)

		time.Sleep(5 * time.Second)

		first := w.holding()

		w.mu.Lock()
		w.held = time.Second
		w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)

		began := time.Now()

		assert.Assert(t, w.served("m6", 5*time.Second))
		assert.Assert(t, time.Since(began) < 2*time.Second, "took %s", time.Since(began))
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.holding(), first, "the lease changed hands")
		w.finish()
	})
}
