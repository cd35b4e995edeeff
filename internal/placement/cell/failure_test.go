package cell

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// failoverBound is how long a failover may take: the lease's duration with its
// margin for clock drift, a poll interval, the second candidate's stagger and
// the write.
const failoverBound = 4500 * time.Millisecond

// failures are the single failures of a holder, an engine or the platform.
// Each case runs with engines that check fencing tokens and with engines that
// ignore them.
var failures = []struct {
	name string
	run  func(t *testing.T, w *world)
}{
	{"holder killed between ledger write and order", func(t *testing.T, w *world) {
		// A request waits for a cold model. The holder writes the ledger row
		// and dies before it sends the order. The row counts a replica that no
		// engine has received an order for; the successor must order it.
		var once sync.Once

		w.hookCommit(func(p *proc, tx table.Transaction) {
			if strings.HasPrefix(tx.Writes[0].Key, record.LedgerPrefix(0)) {
				once.Do(func() { w.kill(p) })
			}
		})

		took, ok := w.reportUntilReady(modelName(0), 20*time.Second)
		assert.Assert(t, ok, w.state())
		assert.Assert(t, took < failoverBound+5*time.Second, "took %s", took)
		assert.Equal(t, w.loaded(modelName(0)), 1)
	}},
	{"holder killed between order and confirmation", func(t *testing.T, w *world) {
		// The holder dies while the engine loads. The successor must adopt the
		// replica and not load another.
		w.weights.Slow(10)
		w.reportWaiting(modelName(0))
		time.Sleep(100 * time.Millisecond)
		w.kill(w.holder())

		_, ok := w.reportUntilReady(modelName(0), 30*time.Second)
		assert.Assert(t, ok, w.state())
		assert.Equal(t, w.loaded(modelName(0)), 1)
	}},
	{"holder paused past its lease before it sends an order", func(t *testing.T, w *world) {
		// The holder has checked its lease and is about to send a load order
		// when its process is paused for ten seconds. A successor loads the
		// requested models. Then the former holder resumes and its order
		// arrives.
		var once sync.Once

		w.hookOrder(func(p *proc, o target.Order) {
			if _, ok := o.Action.(target.Load); ok {
				once.Do(func() {
					p.gate.Close()
					time.AfterFunc(10*time.Second, p.gate.Open)
				})
			}
		})

		before := w.token()
		w.reportWaiting(modelName(0))
		time.Sleep(50 * time.Millisecond)

		took, ok := w.awaitHolder(before, 20*time.Second)
		assert.Assert(t, ok && took < failoverBound, "failover took %s", took)

		for i := range 4 {
			w.reportUntilReady(modelName(i), 15*time.Second)
		}

		time.Sleep(40 * time.Second)
	}},
	{"store answer lost after the write took effect", func(t *testing.T, w *world) {
		// The ledger row is written, but the answer does not arrive. The holder
		// must send no order while the write is in doubt, and must not take the
		// row for another holder's.
		w.platform.SetFaults(platform.Faults{LoseAnswers: 3})

		took, ok := w.reportUntilReady(modelName(0), 10*time.Second)
		assert.Assert(t, ok, w.state())
		assert.Assert(t, took < 3*time.Second, "took %s", took)
		assert.Equal(t, w.holder().Takeovers.Load(), int64(1), "the holder must not lose its lease")
	}},
	{"store down during failover", func(t *testing.T, w *world) {
		// The holder dies while the store is down for a minute. No process can
		// take over before the store is available again; then one must, soon.
		w.kill(w.holder())
		w.platform.SetFaults(platform.Faults{TableDown: true})
		time.Sleep(time.Minute)
		w.platform.SetFaults(platform.Faults{})

		took, ok := w.awaitHolder(1, 20*time.Second)
		assert.Assert(t, ok && took < failoverBound, "failover took %s", took)

		_, ok = w.reportUntilReady(modelName(0), 10*time.Second)
		assert.Assert(t, ok, w.state())
	}},
	{"two successors race", func(t *testing.T, w *world) {
		// The holder dies, and each of the other two processes ranks itself as
		// the first candidate, because it receives no heartbeats of the other.
		// Both see the lease expire. One must acquire it, and the other must
		// not send any order.
		first := w.holder()
		w.kill(first)
		w.loseHeartbeats(10 * time.Second)

		_, ok := w.awaitHolder(1, 10*time.Second)
		assert.Assert(t, ok)
		w.reportWaiting(modelName(0))
		time.Sleep(5 * time.Second)

		holders := 0

		for _, p := range w.running() {
			if l, held := p.Lease(); held && l.Token > 1 {
				holders++
			}
		}

		assert.Equal(t, holders, 1)
	}},
	{"engine restarted mid-load", func(t *testing.T, w *world) {
		// The engine's process restarts during a load and holds no models
		// afterwards. The waiting request must get its model, and the row of
		// the lost load must not reserve memory for ever.
		w.weights.Slow(10)
		w.reportWaiting(modelName(0))
		time.Sleep(200 * time.Millisecond)

		for _, e := range w.engines {
			e.Crash()
		}

		w.weights.Slow(1)

		_, ok := w.reportUntilReady(modelName(0), 40*time.Second)
		assert.Assert(t, ok, w.state())
	}},
	{"order arrives late, after it was sent again", func(t *testing.T, w *world) {
		// Orders reach the engines three seconds late, after the holder's
		// attempt has timed out and it has sent them again. Each must be carried
		// out once.
		for _, e := range w.engines {
			e.SetFaults(engine.Faults{LateOrders: 3 * time.Second})
		}

		_, ok := w.reportUntilReady(modelName(0), 30*time.Second)
		assert.Assert(t, ok, w.state())
		time.Sleep(10 * time.Second)
		assert.Assert(t, w.loaded(modelName(0)) <= 1)
	}},
	{"answers to orders overtake each other", func(t *testing.T, w *world) {
		// Two loads are ordered from one engine at once. The answer to the
		// second is handled first; the answer to the first has an inventory from
		// before the second load. The second row must stay counted.
		w.jitter.Store(int64(400 * time.Millisecond))

		for round := range 6 {
			w.reportWaiting(modelName(round%modelCount), modelName((round+1)%modelCount))
			time.Sleep(2 * time.Second)
		}
	}},
	{"target reclaimed mid-load", func(t *testing.T, w *world) {
		// The instance list reports that the loading target is leaving, and two
		// seconds later the target is gone. The model must be loaded on another
		// target at once, while the row of the lost load is still counted.
		w.weights.Slow(10)
		w.reportWaiting(modelName(0))
		time.Sleep(200 * time.Millisecond)

		loading := w.engineWith(modelName(0))
		assert.Assert(t, loading != nil)
		w.weights.Slow(1)
		w.platform.Announce(instance.Instance{ID: loading.ID(), Role: instance.Engine, State: instance.Leaving})
		loading.Leave()
		time.AfterFunc(2*time.Second, func() {
			w.platform.Remove(loading.ID())
			loading.Stop()
		})

		time.Sleep(time.Second)

		_, ok := w.reportUntilReady(modelName(0), 10*time.Second)
		assert.Assert(t, ok, w.state())
	}},
	{"weight store slowed tenfold", func(t *testing.T, w *world) {
		// Loads take ten times as long. No more than four may run at once;
		// further ones would slow all of them down.
		w.weights.Slow(10)

		for range 20 {
			w.reportWaiting(modelName(0), modelName(1), modelName(2), modelName(3), modelName(4), modelName(5))
			time.Sleep(500 * time.Millisecond)
		}

		assert.Assert(t, w.weights.MostInFlight() <= 4, "%d loads at once", w.weights.MostInFlight())
	}},
}

func TestFailures(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		for _, f := range failures {
			t.Run(fmt.Sprintf("tokens checked %v/%s", checksTokens, f.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, 3, modelCount, checksTokens)
					for i := range 3 {
						w.start(instance.ID(fmt.Sprintf("entry-%d", i)))
					}

					defer w.stopAll()

					_, ok := w.awaitHolder(0, 10*time.Second)
					assert.Assert(t, ok)
					time.Sleep(2 * time.Second)

					f.run(t, w)
					w.assertNoViolations(f.name)
				})
			})
		}
	}
}

// loaded returns the number of engines on which the model is ready.
func (w *world) loaded(model string) int {
	n := 0

	for _, e := range w.engines {
		if e.Holds(model) {
			n++
		}
	}

	return n
}

// engineWith returns an engine whose inventory shows the model, or nil.
func (w *world) engineWith(model string) *engine.Engine {
	for _, e := range w.engines {
		inv, err := e.Inventory(w.t.Context())
		if err != nil {
			continue
		}

		for _, h := range inv.Resident {
			if h.Model == model {
				return e
			}
		}
	}

	return nil
}

// loseHeartbeats drops all heartbeats for d.
func (w *world) loseHeartbeats(d time.Duration) {
	w.heartbeatsLost.Store(true)
	time.AfterFunc(d, func() { w.heartbeatsLost.Store(false) })
}

// TestExpiredHolder: the store is down, so the holder cannot renew its lease nor
// find out whether there is a successor, while requests wait for a cold model.
// It must not order the load, and must publish the reason, so that the requests
// are refused with it instead of waiting until their deadline.
func TestExpiredHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, modelCount, false)
		p := w.start("entry-0")

		defer w.stopAll()

		_, ok := w.reportUntilReady(modelName(0), 10*time.Second)
		assert.Assert(t, ok)

		w.platform.SetFaults(platform.Faults{TableDown: true})
		time.Sleep(4 * time.Second)

		expired := time.Now()

		w.reportWaiting(modelName(1))
		time.Sleep(500 * time.Millisecond)

		wait, ok := p.routes.Wait(modelName(1))
		assert.Assert(t, ok)
		assert.Equal(t, wait.Reason, reasonNoLease)
		assert.Assert(t, len(p.routes.Targets(modelName(0))) > 0, "loaded models must still be served")

		time.Sleep(30 * time.Second)
		assert.Equal(t, len(w.ordersBy(p.id, expired)), 0)

		// An hour later the store is available again, and the cell recovers.
		time.Sleep(time.Hour)
		w.platform.SetFaults(platform.Faults{})

		_, ok = w.reportUntilReady(modelName(1), 10*time.Second)
		assert.Assert(t, ok, w.state())
		w.assertNoViolations("after an hour without the store")
	})
}

// TestPlannedHandOver drains the holder, as an upgrade does. Another process
// must hold the cell within a second, not only after the lease has expired.
func TestPlannedHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, modelCount, true)
		for i := range 3 {
			w.start(instance.ID(fmt.Sprintf("entry-%d", i)))
		}

		defer w.stopAll()

		time.Sleep(5 * time.Second)

		former, token := w.holder(), w.token()
		start := time.Now()

		former.Drain(t.Context())

		_, ok := w.awaitHolder(token, 5*time.Second)
		assert.Assert(t, ok)
		assert.Assert(t, time.Since(start) < time.Second, "took %s", time.Since(start))
		assert.Assert(t, w.holder() != former)
	})
}

// TestBurst: requests for the same cold model wait at eight entries. One load
// must serve them all, and it must be ordered at once.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, modelCount, true)
		p := w.start("entry-0")

		defer w.stopAll()

		time.Sleep(3 * time.Second)

		start := time.Now()

		for i := range 8 {
			assert.NilError(t, p.Report(demand.Report{
				Entry: instance.ID(fmt.Sprintf("burst-%d", i)),
				Waiting: []replica.Demand{
					{Model: modelName(0), Waiting: 4, Deadline: time.Now().Add(20 * time.Second)},
				},
			}))
		}

		time.Sleep(400 * time.Millisecond)

		loads := w.ordersBy(p.id, start)
		assert.Equal(t, len(loads), 1, "one load must serve all: %v", loads)
		assert.Assert(t, loads[0].at.Sub(start) < 5*time.Millisecond, "ordered after %s", loads[0].at.Sub(start))
	})
}

// TestNoUnloadUnderRequest: a request runs on a replica for much longer than an
// idle replica is kept. The holder must not unload the replica before the
// request has ended, and must unload it then.
func TestNoUnloadUnderRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, modelCount, true)
		p := w.start("entry-0")

		defer w.stopAll()

		time.Sleep(3 * time.Second)

		_, ok := w.reportUntilReady(modelName(0), 10*time.Second)
		assert.Assert(t, ok)

		use := demand.Use{Key: ledger.Key{Target: "engine-0", Model: modelName(0)}, Running: 1}

		// The request runs for a minute, much longer than an idle replica is
		// kept.
		for range 60 {
			at := p.routes.Position(0)
			_ = p.Report(demand.Report{Entry: "entry-x", Token: at.Token, Number: at.Number, Uses: []demand.Use{use}})

			time.Sleep(time.Second)
		}

		assert.Equal(t, w.loaded(modelName(0)), 1, "unloaded under a running request")

		for range 60 {
			at := p.routes.Position(0)
			_ = p.Report(demand.Report{Entry: "entry-x", Token: at.Token, Number: at.Number})

			time.Sleep(time.Second)
		}

		assert.Equal(t, w.loaded(modelName(0)), 0, "an idle replica must be unloaded")
		w.assertNoViolations("no unload under a request")
	})
}

// TestRebalance restarts an instance that ranks first for the cell. The lease
// must be handed back to it, but only after rebalanceAfter.
func TestRebalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, true)
		for i := range 3 {
			w.start(instance.ID(fmt.Sprintf("entry-%d", i)))
		}

		defer w.stopAll()

		// By then the first holder, which may have acquired the lease before it had
		// received heartbeats of all instances, has handed it over to the one
		// that ranks first.
		time.Sleep(2 * rebalanceAfter)

		first := w.holder()
		token := w.token()
		w.kill(first)

		_, ok := w.awaitHolder(token, failoverBound)
		assert.Assert(t, ok)

		w.start(first.id)
		time.Sleep(rebalanceAfter / 2)
		assert.Assert(t, w.holder().id != first.id, "the lease was handed back too early")

		time.Sleep(rebalanceAfter)
		assert.Equal(t, w.holder().id, first.id)
	})
}

func TestOfIsBalancedAndStable(t *testing.T) {
	const names, cells = 10000, 10

	count := make([]int, cells)
	moved := 0

	for i := range names {
		name := fmt.Sprintf("model-%d", i)
		c := Of(name, cells)
		count[c]++

		if Of(name, cells+1) != c {
			moved++
		}
	}

	for c, n := range count {
		assert.Assert(t, n > names/cells*3/4 && n < names/cells*5/4, "cell %d has %d", c, n)
	}

	assert.Assert(t, moved < names/cells*5/4, "%d moved for one more cell", moved)
}

// TestNoOrderAfterExpiry: an order gets no answer and is sent again at
// intervals, while the holder cannot renew its lease. Once the lease has
// expired, a successor may send orders, and an engine that ignores tokens would
// carry out both holders' orders. The holder must send no more.
func TestNoOrderAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, modelCount, false)
		p := w.start("entry-0")

		defer w.stopAll()

		time.Sleep(3 * time.Second)
		w.engines[0].SetFaults(engine.Faults{LateOrders: 3 * time.Minute})
		w.reportWaiting(modelName(0))
		time.Sleep(time.Second)
		w.platform.SetFaults(platform.Faults{TableDown: true})

		before := time.Now()

		time.Sleep(p.cfg.Timing.Duration)

		expired := time.Now()

		assert.Assert(t, len(w.ordersBy(p.id, before)) > 0, "the order must be sent again while the lease is valid")
		time.Sleep(time.Minute)
		assert.Equal(t, len(w.ordersBy(p.id, expired)), 0)
		w.engines[0].SetFaults(engine.Faults{})
		time.Sleep(5 * time.Minute)
	})
}
