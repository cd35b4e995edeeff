package holder_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/pause"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

var timing = lease.Timing{Duration: 2500 * time.Millisecond, Renew: 800 * time.Millisecond, Poll: 400 * time.Millisecond, Stagger: 200 * time.Millisecond}

const turnPause = 3 * time.Second

// cluster has entries h0, h1, …, each with a Holder, workers that by default
// hold two of eight models each, and a store that can fail.
type cluster struct {
	t       *testing.T
	table   platform.Platform
	routes  *route.Config
	workers map[instance.ID]*worker.Worker
	holders map[instance.ID]*testHolder
	cancel  context.CancelFunc

	mu          sync.Mutex
	partitioned map[instance.ID]bool
	// unresponsive is the engine that answers no call.
	unresponsive instance.ID
	// rows are the rows of the target list as they were last written.
	rows map[instance.ID]inventory.Target
	// leaving are the workers that accept no new requests.
	leaving map[instance.ID]bool
	// born identifies the process of every worker on the target list. processes
	// has the workers that report another process than that.
	born      int64
	processes map[instance.ID]int64
	// last is the newest snapshot.
	last holder.Snapshot
	// publishDelay is how long the next publication blocks.
	publishDelay time.Duration
	// extraDelay is added to the transit time of orders.
	extraDelay time.Duration
	// reportDelays are added to the transit times of the next requests for a report.
	reportDelays []reportDelay
	// modelsAge is how old the models in engines' reports are, while the rest of a
	// report is current, and formerModels are what each engine held earlier.
	modelsAge time.Duration
	// rowsAge is how old the list of targets is that holders read, formerRows what it was,
	// and borns the processes of workers that are not born.
	rowsAge      time.Duration
	formerRows   []formerRows
	borns        map[instance.ID]int64
	replaced     map[instance.ID]time.Time
	ended        atomic.Bool
	formerModels map[instance.ID][]formerModels
	answers      lateAnswers
	// refusing are the engines that refuse all calls, and limited those that state a rate limit.
	refusing, limited map[instance.ID]bool
}

// reportDelay is how much longer a request for a report takes to its engine, and the
// report from there.
type reportDelay struct{ there, back time.Duration }

// nextReportDelay returns the delay of the next request for a report.
func (cl *cluster) nextReportDelay() reportDelay {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	if len(cl.reportDelays) == 0 {
		return reportDelay{}
	}

	next := cl.reportDelays[0]
	cl.reportDelays = cl.reportDelays[1:]

	return next
}

// formerModels are the models that an engine held at a time.
type formerModels struct {
	at     time.Time
	models []inventory.ResidentModel
}

// ageModels makes the models in all reports older than the rest.
func (cl *cluster) ageModels(age time.Duration) {
	const recordEvery = 10 * time.Millisecond

	cl.mu.Lock()
	defer cl.mu.Unlock()

	cl.modelsAge, cl.formerModels = age, make(map[instance.ID][]formerModels)

	go func() {
		for !cl.ended.Load() {
			for id := range cl.workers {
				models := cl.worker(id).Report().Resident

				cl.mu.Lock()
				cl.formerModels[id] = append(cl.formerModels[id], formerModels{time.Now(), models})
				cl.mu.Unlock()
			}

			time.Sleep(recordEvery)
		}
	}()
}

// age replaces the models in an engine's report by older ones.
func (cl *cluster) age(id instance.ID, r *holder.Report) {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	for _, f := range cl.formerModels[id] {
		if time.Since(f.at) >= cl.modelsAge {
			r.Resident = f.models
		}
	}
}

// testHolder is the Holder of an entry. Tests can pause it, with gate, and stop
// it.
type testHolder struct {
	*holder.Holder

	gate pause.Gate
	// store stops the calls to the store alone.
	store pause.Gate
	stop  context.CancelFunc
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

func newCluster(t *testing.T, holders int) *cluster {
	t.Helper()

	return newClusterOf(t, holders, engine(), 3)
}

func newClusterOf(t *testing.T, holders int, e *route.Engine, workers int) *cluster {
	t.Helper()

	cl := &cluster{
		t: t, workers: make(map[instance.ID]*worker.Worker), holders: make(map[instance.ID]*testHolder), partitioned: make(map[instance.ID]bool),
		rows: make(map[instance.ID]inventory.Target), leaving: make(map[instance.ID]bool), born: 1, borns: make(map[instance.ID]int64), replaced: make(map[instance.ID]time.Time),
		refusing: make(map[instance.ID]bool), limited: make(map[instance.ID]bool),
		routes: &route.Config{Services: map[string]route.Service{"s": {Name: "s", Engine: e}}},
	}

	for i := range workers {
		cl.workers[instance.ID(fmt.Sprintf("w%d", i))] = &worker.Worker{
			Engine: e, Holding: []string{fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1)}, OnDisk: []string{"m6", "m7"},
		}
	}

	ctx, cancel := context.WithCancel(t.Context())
	cl.cancel = cancel

	for i := range holders {
		cl.start(ctx, instance.ID(fmt.Sprintf("h%d", i)))
	}

	return cl
}

func (cl *cluster) start(ctx context.Context, id instance.ID) { cl.startAs(ctx, id, string(id)+"-1") }

// startAs starts the Holder of an entry with the given process name.
func (cl *cluster) startAs(ctx context.Context, id instance.ID, process string) {
	cl.startAt(ctx, id, process, 1)
}

// startAt does the same where the entry's clock takes rate times as long as others.
func (cl *cluster) startAt(ctx context.Context, id instance.ID, process string, rate float64) {
	ctx, stop := context.WithCancel(ctx)
	h := &testHolder{stop: stop}
	own := func(d time.Duration) time.Duration { return time.Duration(float64(d) * rate) }
	h.Holder = holder.New(holder.Config{
		Self: id, Process: process, Table: gatedTable{&cl.table, &h.gate, &h.store}, Engines: gatedEngines{cl, &h.gate}, TurnPause: own(turnPause),
		Timing:  lease.Timing{Duration: own(timing.Duration), Renew: own(timing.Renew), Poll: own(timing.Poll), Stagger: own(timing.Stagger)},
		Targets: cl.targetsSince(time.Now()), Routes: cl.config, Peers: func() []holder.Candidate { return cl.candidates(id) },
		Publish: func(snapshot holder.Snapshot) { cl.publish(id, snapshot) }, RateLimit: cl.rateLimit, Log: zerolog.Nop(),
	})

	cl.mu.Lock()
	cl.holders[id] = h
	cl.mu.Unlock()

	go h.Run(ctx)
}

// config returns the configuration in force.
func (cl *cluster) config() *route.Config {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.routes
}

// configure puts a configuration in force that changes the models of the engines. The engines
// are as they were.
func (cl *cluster) configure(change func(models map[string]route.Model)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	e := *cl.routes.Services["s"].Engine
	e.Models = maps.Clone(e.Models)
	change(e.Models)
	cl.routes = &route.Config{Version: cl.routes.Version + 1, Services: map[string]route.Service{"s": {Name: "s", Engine: &e}}}
}

// candidates returns the other entries that are not partitioned, all of unknown
// strength.
func (cl *cluster) candidates(self instance.ID) []holder.Candidate {
	var out []holder.Candidate
	for _, id := range cl.peers(self) {
		out = append(out, holder.Candidate{ID: id})
	}

	return out
}

// peers returns the other entries that are not partitioned.
func (cl *cluster) peers(self instance.ID) []instance.ID {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	var out []instance.ID

	for id := range cl.holders {
		if id != self && !cl.partitioned[id] {
			out = append(out, id)
		}
	}

	slices.Sort(out)

	return out
}

func (cl *cluster) publish(from instance.ID, snapshot holder.Snapshot) {
	cl.mu.Lock()
	partitioned := cl.partitioned[from]
	cl.last = snapshot
	delay := cl.publishDelay
	cl.publishDelay = 0
	cl.mu.Unlock()

	time.Sleep(delay)

	if partitioned {
		return
	}

	for _, id := range cl.peers(from) {
		go func() {
			cl.mu.Lock()
			h := cl.holders[id]
			cl.mu.Unlock()

			if h != nil && h.gate.Wait(cl.t.Context()) == nil {
				h.Receive(snapshot)
			}
		}()
	}
}

// latest returns the newest snapshot.
func (cl *cluster) latest() holder.Snapshot {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.last
}

func (cl *cluster) targets() map[instance.ID]inventory.Target {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	for id, w := range cl.workers {
		old := cl.rows[id]
		row := w.Describe(inventory.Target{ID: id, Service: "s", Slots: 8, StartedMs: cl.bornOf(id), ReplacedAt: cl.replaced[id], Leaving: cl.leaving[id], Version: old.Version})

		if !reflect.DeepEqual(row, old) {
			row.Version++
			cl.rows[id] = row
		}
	}

	return cl.agedRows()
}

// targetsSince returns the list of targets as an entry sees it that has started at a time: it
// does not know which processes were replaced before.
func (cl *cluster) targetsSince(start time.Time) func() map[instance.ID]inventory.Target {
	return func() map[instance.ID]inventory.Target {
		rows := cl.targets()

		for id, t := range rows {
			if t.ReplacedAt.Before(start) {
				t.ReplacedAt = time.Time{}
				rows[id] = t
			}
		}

		return rows
	}
}

// formerRows is the list of targets at a time.
type formerRows struct {
	at   time.Time
	rows map[instance.ID]inventory.Target
}

// agedRows returns the list of targets as it was rowsAge ago. The caller holds the lock.
func (cl *cluster) agedRows() map[instance.ID]inventory.Target {
	if cl.rowsAge == 0 {
		return maps.Clone(cl.rows)
	}

	now := time.Now()
	cl.formerRows = append(cl.formerRows, formerRows{now, maps.Clone(cl.rows)})

	for len(cl.formerRows) > 1 && now.Sub(cl.formerRows[1].at) >= cl.rowsAge {
		cl.formerRows = cl.formerRows[1:]
	}

	return maps.Clone(cl.formerRows[0].rows)
}

// restartWorker makes a worker a new process under its id.
func (cl *cluster) restartWorker(id instance.ID) {
	cl.mu.Lock()
	cl.borns[id], cl.replaced[id] = time.Now().UnixMilli(), time.Now()
	cl.mu.Unlock()
	cl.worker(id).StartAnew()
}

// bornOf returns a worker's process. The caller holds the lock.
func (cl *cluster) bornOf(id instance.ID) int64 {
	if b, ok := cl.borns[id]; ok {
		return b
	}

	return cl.born
}

// gatedTable is a store whose client can be paused.
type gatedTable struct {
	*platform.Platform

	gate, store *pause.Gate
}

// wait waits until the client is not paused and calls get through.
func (g gatedTable) wait(ctx context.Context) error {
	if err := g.gate.Wait(ctx); err != nil {
		return err
	}

	return g.store.Wait(ctx)
}

func (g gatedTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := g.wait(ctx); err != nil {
		return nil, err
	}

	return g.Platform.Read(ctx, keys...)
}

func (g gatedTable) Commit(ctx context.Context, tx table.Transaction) (revision.Number, error) {
	if err := g.wait(ctx); err != nil {
		return 0, err
	}

	return g.Platform.Commit(ctx, tx)
}

// gatedEngines are the workers, with a client that can be paused.
type gatedEngines struct {
	cl   *cluster
	gate *pause.Gate
}

func (cl *cluster) worker(id instance.ID) *worker.Worker {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.workers[id]
}

// setUnresponsive makes an engine answer no call.
func (cl *cluster) setUnresponsive(id instance.ID) {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	cl.unresponsive = id
}

// setOrderDelay makes all orders take longer in transit.
func (cl *cluster) setOrderDelay(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	cl.extraDelay = d
}

func (cl *cluster) orderDelay() time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.extraDelay
}

func (cl *cluster) isUnresponsive(id instance.ID) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.unresponsive == id
}

// callTime is the duration of a call to a worker.
const callTime = 2 * time.Millisecond

var (
	errNoAnswer = errors.New("no answer")
	errRefused  = errors.New("refused")
)

func (e gatedEngines) Order(ctx context.Context, t inventory.Target, o holder.Order) (holder.Outcome, error) {
	if err := e.gate.Wait(ctx); err != nil {
		return holder.Rejected, err
	}

	if e.cl.isUnresponsive(t.ID) {
		<-ctx.Done()

		return holder.Rejected, errNoAnswer
	}

	time.Sleep(callTime + e.cl.orderDelay())

	if e.cl.refuses(t.ID) {
		return holder.Rejected, errRefused
	}

	out, answered := e.cl.worker(t.ID).Order(o)

	told, answered := e.cl.answers.order(t.ID, out, answered)
	if !answered {
		<-ctx.Done()

		return holder.Rejected, errNoAnswer
	}

	return told, nil
}

func (e gatedEngines) Report(ctx context.Context, t inventory.Target) (holder.Report, error) {
	if err := e.gate.Wait(ctx); err != nil {
		return holder.Report{}, err
	}

	if e.cl.isUnresponsive(t.ID) {
		<-ctx.Done()

		return holder.Report{}, errNoAnswer
	}

	delay := e.cl.nextReportDelay()
	time.Sleep(callTime + delay.there)

	if e.cl.refuses(t.ID) {
		return holder.Report{}, errRefused
	}

	r := e.cl.worker(t.ID).Report()
	r.Born = e.cl.process(t.ID)
	e.cl.age(t.ID, &r)
	time.Sleep(delay.back)

	return e.cl.answers.report(t.ID, r)
}

// ask reports demand for models to the holders until one accepts the report.
func (cl *cluster) ask(models ...string) {
	r := demand.Report{Entry: "e"}
	for _, model := range models {
		r.Waiting = append(r.Waiting, replica.Demand{Model: "s/" + model, Waiting: 1, Deadline: time.Now().Add(10 * time.Second)})
	}

	for _, h := range cl.holders {
		if h.Report(r, nil) == nil {
			return
		}
	}
}

// awaitServed waits until some worker runs a request for the key, and reports
// demand for it in the meantime, as an entry does.
func (cl *cluster) awaitServed(key string, within time.Duration) bool {
	name, adapter, _ := cutKey(key)

	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		cl.ask(key)

		for _, w := range cl.workers {
			if w.Begin("r", name, adapter) {
				w.End(name, adapter)

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

// leaseHolder returns the holder of the lease, or an empty id.
func (cl *cluster) leaseHolder() instance.ID {
	for id, h := range cl.holders {
		if h.Holding() {
			return id
		}
	}

	return ""
}

// handOverFor makes a holder hand the lease to a peer, for at most a time.
func (cl *cluster) handOverFor(from instance.ID, limit time.Duration) {
	ctx, cancel := context.WithTimeout(cl.t.Context(), limit)
	defer cancel()

	cl.holders[from].HandOver(ctx, cl.peers(from)[0])
}

// finish checks the invariants of all tests and ends the bubble's goroutines.
// Tests in which the lease is released use finishReleased, since the next
// holder may then send orders at once.
func (cl *cluster) finish() {
	cl.t.Helper()

	all := cl.all()
	assert.DeepEqual(cl.t, worker.Changes(turnPause, all...), []string(nil))
	cl.finishReleased()
}

func (cl *cluster) all() []*worker.Worker {
	all := make([]*worker.Worker, 0, len(cl.workers))
	for _, w := range cl.workers {
		all = append(all, w)
	}

	return all
}

func (cl *cluster) finishReleased() {
	cl.t.Helper()

	for _, w := range cl.workers {
		assert.DeepEqual(cl.t, w.Broken(), []string(nil))
	}

	assert.DeepEqual(cl.t, worker.Turns(turnPause, cl.all()...), []string(nil))
	cl.end()
}

// end ends the bubble's goroutines.
func (cl *cluster) end() {
	for _, h := range cl.holders {
		h.gate.Open()
		h.store.Open()
		h.stop() // Those that were started anew do not end with the cluster.
	}

	cl.cancel()
	cl.ended.Store(true)
	time.Sleep(time.Minute)
}

// newClusterOfLateReports returns a cluster of one worker with memory for three models. Loads
// from the weight store take longer by extraLoad, models are reported late, and the answer
// to the first order, a load into free memory, is lost.
func newClusterOfLateReports(t *testing.T, extraLoad time.Duration) *cluster {
	e := engine()
	e.MemoryMB = 34

	for name, m := range e.Models {
		m.FromStore += extraLoad
		e.Models[name] = m
	}

	cl := newClusterOf(t, 1, e, 1)
	cl.ageModels(300 * time.Millisecond)

	cl.workers["w0"].SetFaults(worker.Faults{LostOrders: 1})
	time.Sleep(5 * time.Second)

	return cl
}

// runFor counts a request that has begun on a worker in running, and ends it after the
// time given. The caller holds the lock, which guards running.
func (cl *cluster) runFor(id instance.ID, model string, running map[ledger.Key]int, d time.Duration) {
	w, k := cl.workers[id], ledger.Key{Target: id, Model: "s/" + model}
	running[k]++

	time.AfterFunc(d, func() {
		w.End(model, "")

		cl.mu.Lock()
		defer cl.mu.Unlock()

		running[k]--
	})
}
