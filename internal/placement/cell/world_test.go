package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/pause"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// world is a platform, several engines and the processes that may hold the lease
// of one cell, inside a synctest bubble.
type world struct {
	t            *testing.T
	platform     *platform.Platform
	weights      *engine.Weights
	engines      []*engine.Engine
	checksTokens bool

	// beforeOrder runs when a process has checked its lease and is about to
	// send an order; afterCommit runs when a transaction has taken effect and
	// its answer has not arrived yet.
	beforeOrder func(p *proc, o target.Order)
	afterCommit func(p *proc, tx table.Transaction)
	// jitter bounds the network delay of an order and of its answer.
	jitter atomic.Int64 // In nanoseconds.
	// heartbeatsLost says that no heartbeat arrives.
	heartbeatsLost atomic.Bool

	mu         sync.Mutex
	procs      []*proc
	violations []string
	orders     []sentOrder
}

// sentOrder is an order that a process has sent.
type sentOrder struct {
	target.Order

	by instance.ID
	at time.Time
}

// proc is one process that may hold the cell's lease.
type proc struct {
	*Cell

	id     instance.ID
	set    *peer.Set
	gate   *pause.Gate
	cancel context.CancelFunc
	routes router.Table
}

const (
	gib        = int64(1) << 30
	modelBytes = 4 * gib
	listLag    = 3 * time.Second
)

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// newWorld returns a world with engines that have memory for two models each.
func newWorld(t *testing.T, engines, models int, checksTokens bool) *world {
	t.Helper()

	w := &world{
		t:            t,
		platform:     &platform.Platform{},
		weights:      &engine.Weights{BytesPerSecond: 8 * gib, Concurrent: 4},
		checksTokens: checksTokens,
	}

	for i := range engines {
		e := engine.New(engine.Options{
			ID: instance.ID(fmt.Sprintf("engine-%d", i)), Memory: 2*modelBytes + gib, Slots: 4,
			ChecksToken: checksTokens, Restart: time.Second, Weights: w.weights,
		})
		e.OnChange = w.checkEngine
		w.engines = append(w.engines, e)
		w.platform.Announce(instance.Instance{ID: e.ID(), Role: instance.Engine, State: instance.Live})
	}

	for i := range models {
		w.platform.AddCheckpoints(weight.Checkpoint{Name: modelName(i), Bytes: modelBytes})
	}

	return w
}

// checkEngine runs whenever an engine's resident models change: their bytes must
// fit its memory, and each replica must be counted by the ledger.
func (w *world) checkEngine(id instance.ID, resident []target.ResidentModel, memory int64) {
	var sum int64

	for _, h := range resident {
		sum += h.Bytes

		if _, ok := w.platform.Row(record.LedgerKey(0, ledger.Key{Target: id, Model: h.Model})); !ok {
			w.violationf("%s holds %s, which the ledger does not count", id, h.Model)
		}
	}

	if sum > memory {
		w.violationf("%s holds %d bytes of %d", id, sum, memory)
	}
}

func (w *world) violationf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) assertNoViolations(context string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()

	assert.Equal(w.t, len(w.violations), 0, "%s: %v", context, w.violations)
}

// start runs a process on the instance. Its peers detect it by its heartbeats.
func (w *world) start(id instance.ID) *proc {
	w.mu.Lock()
	number := len(w.procs)
	w.mu.Unlock()

	ctx, cancel := context.WithCancel(context.Background())
	p := &proc{id: id, gate: &pause.Gate{}, cancel: cancel}
	p.set = &peer.Set{Self: id, Timing: peer.DefaultTiming()}
	p.set.Timing.ListLag = listLag

	policy := replica.WeightsFor(0.5)
	policy.KeepAlive = 5 * time.Second

	p.Cell = New(Config{
		Cells:   1,
		Self:    id,
		Process: fmt.Sprintf("%s/%d", id, number),
		Table:   gatedTable{w.platform, w, p, p.gate},
		Weights: w.platform,
		Fleet:   p.set,
		Dial: func(in instance.Instance) target.Engine {
			return gatedEngine{w.engineByID(in.ID), w, p, p.gate}
		},
		ChecksTokens:    func(instance.ID) bool { return w.checksTokens },
		Leaving:         func(instance.ID) bool { return false },
		Send:            w.send,
		NotifySuccessor: func(to instance.ID, _ int) { w.nudge(to) },
		Lists:           func() plan.State { return plan.State{} },
		Log:             &timeline.Log{Instance: id, Process: strconv.Itoa(number)},
		Logger:          zerolog.Nop(),
		Policy:          policy,
		LoadLimit:       share.Loads{Models: 4, Adapters: 32},
		BytesPerSecond:  float64(8 * gib),
	})

	w.platform.Announce(instance.Instance{ID: id, Role: instance.Entry, State: instance.Live})

	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()

	go w.heartbeat(ctx, p)
	go p.Run(ctx)

	return p
}

// hookOrder sets beforeOrder.
func (w *world) hookOrder(f func(p *proc, o target.Order)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.beforeOrder = f
}

// hookCommit sets afterCommit.
func (w *world) hookCommit(f func(p *proc, tx table.Transaction)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.afterCommit = f
}

func (w *world) hooks() (func(*proc, target.Order), func(*proc, table.Transaction)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.beforeOrder, w.afterCommit
}

// running returns the live processes.
func (w *world) running() []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]*proc(nil), w.procs...)
}

func (w *world) engineByID(id instance.ID) *engine.Engine {
	for _, e := range w.engines {
		if e.ID() == id {
			return e
		}
	}

	return nil
}

func (w *world) procByID(id instance.ID) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, p := range w.procs {
		if p.id == id {
			return p
		}
	}

	return nil
}

func (w *world) nudge(id instance.ID) {
	if p := w.procByID(id); p != nil {
		p.Wake()
	}
}

func (w *world) send(ctx context.Context, to instance.ID, s *router.Snapshot) (bool, error) {
	p := w.procByID(to)
	if p == nil {
		return false, errors.New("no such entry")
	}

	return p.routes.Apply(s, time.Now()), ctx.Err()
}

// heartbeat reads the instance list and sends the process's status to all
// others, as long as the process lives and is not paused.
func (w *world) heartbeat(ctx context.Context, p *proc) {
	for ctx.Err() == nil {
		if p.gate.Wait(ctx) != nil {
			return
		}

		all, _ := w.platform.Instances(ctx)
		p.set.UpdateList(all, time.Now())

		st := peer.Status{ID: p.id, Process: p.cfg.Process}
		if l, ok := p.Lease(); ok {
			st.Leases = append(st.Leases, l)
		}

		if p.OrdersInFlight() {
			st.OrdersInFlight = append(st.OrdersInFlight, 0)
		}

		w.mu.Lock()
		others := append([]*proc(nil), w.procs...)
		w.mu.Unlock()

		for _, o := range others {
			if o != p && !w.heartbeatsLost.Load() {
				o.set.Receive(st, time.Now())
			}
		}

		p.set.Refresh(time.Now())
		time.Sleep(500 * time.Millisecond)
	}
}

// kill ends the process at once. Requests that it was about to send are not
// sent.
func (w *world) kill(p *proc) {
	w.mu.Lock()
	for i, o := range w.procs {
		if o == p {
			w.procs = append(w.procs[:i:i], w.procs[i+1:]...)
		}
	}
	w.mu.Unlock()

	p.gate.Close()
	p.cancel()
}

func (w *world) stopAll() {
	w.mu.Lock()
	procs := append([]*proc(nil), w.procs...)
	w.mu.Unlock()

	w.platform.SetFaults(platform.Faults{})

	for _, p := range procs {
		p.gate.Open()
		p.cancel()
	}

	time.Sleep(time.Minute)
	synctest.Wait()
}

// holder returns the process with the highest token.
func (w *world) holder() *proc {
	w.mu.Lock()
	defer w.mu.Unlock()

	var (
		best  *proc
		token uint64
	)

	for _, p := range w.procs {
		if l, ok := p.Lease(); ok && l.Token > token {
			best, token = p, l.Token
		}
	}

	return best
}

// reportWaiting reports to the holder that requests wait for the models. The
// report's token is higher than any, so that its entry counts as having applied
// every snapshot.
func (w *world) reportWaiting(models ...string) {
	p := w.holder()
	if p == nil {
		return
	}

	r := demand.Report{Entry: "entry-x", Token: 1 << 40}
	for _, m := range models {
		r.Waiting = append(r.Waiting, replica.Demand{
			Model: m, Plan: "p", Waiting: 1, Deadline: time.Now().Add(time.Minute),
		})
	}

	_ = p.Report(r)
}

// reportUntilReady reports demand for the model until an engine has it ready,
// and returns how long that took.
func (w *world) reportUntilReady(model string, timeout time.Duration) (time.Duration, bool) {
	start := time.Now()

	for time.Since(start) < timeout {
		w.reportWaiting(model)

		for _, e := range w.engines {
			if e.Holds(model) {
				return time.Since(start), true
			}
		}

		time.Sleep(5 * time.Millisecond)
	}

	return timeout, false
}

// awaitHolder waits for a process that holds the lease with a token above the
// given one.
func (w *world) awaitHolder(above uint64, timeout time.Duration) (time.Duration, bool) {
	start := time.Now()

	for time.Since(start) < timeout {
		if p := w.holder(); p != nil {
			if l, _ := p.Lease(); l.Token > above {
				return time.Since(start), true
			}
		}

		time.Sleep(5 * time.Millisecond)
	}

	return timeout, false
}

func (w *world) token() uint64 {
	if p := w.holder(); p != nil {
		l, _ := p.Lease()

		return l.Token
	}

	return 0
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// state describes the holder's state, for failure messages.
func (w *world) state() string {
	p := w.holder()
	if p == nil {
		return "no process holds the cell"
	}

	p.mu.Lock()
	t := p.term
	p.mu.Unlock()

	t.mu.Lock()
	defer t.mu.Unlock()

	var b strings.Builder

	fmt.Fprintf(&b, "%s holds token %d;", p.id, t.holding.Token)

	for id, e := range t.targets {
		fmt.Fprintf(&b, " %s usable=%v fresh=%v %s orders=%d;", id, e.usable, e.fresh, e.State, e.orders)
	}

	t.ledger.All(func(r *ledger.Row) { fmt.Fprintf(&b, " %s@%s by %s: %+v;", r.Model, r.Target, r.Process, r.State) })
	fmt.Fprint(&b, t.waits)

	return b.String()
}
