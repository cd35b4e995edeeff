package holder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// TestColdModel requests a model that is on the disks of all targets and in no
// memory. It must be loaded once, on one target, within the time of a load from
// disk.
func TestColdModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)

		time.Sleep(5 * time.Second)

		began := time.Now()

		assert.Assert(t, cl.awaitServed("m6", 5*time.Second))
		assert.Assert(t, time.Since(began) < 1800*time.Millisecond, "took %s", time.Since(began))

		loads := 0

		for _, w := range cl.workers {
			for _, o := range w.Orders() {
				if !o.Unload && o.Outcome == holder.Accepted {
					loads++
				}
			}
		}

		assert.Equal(t, loads, 1)
		cl.finish()
	})
}

// TestAdapter requests adapters of loaded models, which must be loaded at
// once. When all adapter slots are taken, an idle adapter must be evicted.
func TestAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)

		time.Sleep(5 * time.Second)

		for _, key := range []string{"m0/a1", "m0/a2", "m0/a3", "m1/a1"} {
			began := time.Now()

			assert.Assert(t, cl.awaitServed(key, time.Second), "%s", key)
			assert.Assert(t, time.Since(began) < 200*time.Millisecond)
			time.Sleep(time.Second)
		}

		cl.finish()
	})
}

// TestFaultyOrders has engines leave orders unanswered and carry them out at
// once or seconds later. Each model must still be served, and no memory may be
// overcommitted when a late order arrives.
func TestFaultyOrders(t *testing.T) {
	cases := map[string]worker.Faults{
		"late":          {LateOrders: 2, Late: 4 * time.Second},
		"lost":          {LostOrders: 2},
		"late and lost": {LateOrders: 5, Late: 2 * time.Second, LostOrders: 3},
	}

	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2)

				time.Sleep(5 * time.Second)

				for _, w := range cl.workers {
					w.SetFaults(faults)
				}

				assert.Assert(t, cl.awaitServed("m6", 15*time.Second))
				assert.Assert(t, cl.awaitServed("m7", 15*time.Second))
				time.Sleep(10 * time.Second)
				cl.finish()
			})
		})
	}
}

// TestModelsReportedLate guards against a holder that takes a report at the end of a
// load, which says that the engine is free and does not list the model yet, for proof
// of free memory.
func TestModelsReportedLate(t *testing.T) {
	for after := time.Duration(0); after < 400*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newClusterOfLateReports(t, after)

				for range 60 {
					cl.ask("m6")
					time.Sleep(200 * time.Millisecond)
				}

				cl.finish()
			})
		})
	}
}

// TestTwoLateOrders delays the last order of a stopping holder and the first
// order of its successor, both with the same sequence. The former holder's
// order is carried out first. If the successor mistook that for its own order,
// it would record a small model where a large one is loaded, and overcommit the
// memory.
func TestTwoLateOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine()
		e.MemoryMB = 44
		e.Models["m6"] = route.Model{Name: "m6", MB: 18, FromDisk: 1500 * time.Millisecond, FromMemory: time.Second}
		cl := newClusterOf(t, 2, e, 1)
		only := cl.workers["w0"]

		time.Sleep(5 * time.Second)

		only.SetFaults(worker.Faults{LateOrders: 1, Late: 1700 * time.Millisecond})

		old := cl.leaseHolder()
		cl.ask("m6")
		time.Sleep(100 * time.Millisecond)
		only.SetFaults(worker.Faults{LateOrders: 1, Late: 9 * time.Second})
		cl.holders[old].Release(t.Context())

		for _, model := range []string{"m7", "m5"} {
			cl.awaitServed(model, 5*time.Second)
		}

		time.Sleep(10 * time.Second)
		cl.finishReleased()
	})
}

// TestHolderDies kills the holder. Another entry must take over within a few
// seconds, and no two of them may send orders to the same engine within
// TurnPause.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)

		time.Sleep(5 * time.Second)
		assert.Assert(t, cl.awaitServed("m6", 5*time.Second))

		dead := cl.leaseHolder()
		cl.holders[dead].gate.Close()
		cl.holders[dead].stop()

		cl.mu.Lock()
		cl.partitioned[dead] = true
		delete(cl.holders, dead)
		cl.mu.Unlock()

		assert.Assert(t, cl.awaitServed("m7", 9*time.Second))
		cl.finish()
	})
}

// TestTakeoverWithUnresponsiveEngine kills the holder while an engine does not
// answer. The next holder must request the engines' reports before the time
// from which it may send orders; requests that wait for a model would time out
// otherwise.
func TestTakeoverWithUnresponsiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)

		time.Sleep(5 * time.Second)
		assert.Assert(t, cl.awaitServed("m6", 5*time.Second))

		dead := cl.leaseHolder()

		cl.mu.Lock()
		cl.partitioned[dead] = true
		h := cl.holders[dead]
		delete(cl.holders, dead)
		cl.mu.Unlock()

		h.gate.Close()
		h.stop()
		cl.setUnresponsive("w2")

		for cl.leaseHolder() == "" {
			time.Sleep(10 * time.Millisecond)
		}

		acquired := time.Now()

		// 0.9 s until no order of the former holder can be in flight, 0.3 s for
		// the unresponsive engine, and a load from disk of 1.5 s.
		assert.Assert(t, cl.awaitServed("m7", 9*time.Second))
		t.Logf("served %v after the lease was acquired", time.Since(acquired))
		assert.Assert(t, time.Since(acquired) < 3200*time.Millisecond)
		cl.finish()
	})
}

// TestHolderRestarts kills the holder's process and restarts it at once, as
// after a power failure of the whole data centre. No other instance can have
// sent orders in between, so requests must not wait for TurnPause.
func TestHolderRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)

		time.Sleep(5 * time.Second)
		assert.Assert(t, cl.awaitServed("m6", 5*time.Second))

		id := cl.leaseHolder()
		cl.holders[id].gate.Close()
		cl.holders[id].stop()
		cl.startAs(t.Context(), id, "second")

		began := time.Now()

		assert.Assert(t, cl.awaitServed("m7", 9*time.Second))
		t.Logf("served after %v", time.Since(began))
		assert.Equal(t, cl.leaseHolder(), id)
		// Reports over a second, where they were 0.35 s apart, and a load from disk of 1.5 s.
		assert.Assert(t, time.Since(began) < 3250*time.Millisecond)
		cl.finish()
	})
}

// TestHolderPaused pauses the holder after it has decided a swap, for half a
// second to nine seconds, so that its lease may expire and another entry may
// acquire it before the holder resumes. Without a valid lease the holder must
// not send its remaining orders.
func TestHolderPaused(t *testing.T) {
	for pauseMs := 500; pauseMs <= 9000; pauseMs += 850 {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 3)

			time.Sleep(5 * time.Second)
			assert.Assert(t, cl.awaitServed("m6", 5*time.Second))

			paused := cl.holders[cl.leaseHolder()]
			paused.gate.Close()

			began := time.Now()

			for time.Since(began) < time.Duration(pauseMs)*time.Millisecond {
				cl.ask("m7")
				time.Sleep(50 * time.Millisecond)
			}

			paused.gate.Open()
			assert.Assert(t, cl.awaitServed("m7", 12*time.Second), "pause of %d ms", pauseMs)
			time.Sleep(3 * time.Second)
			cl.finish()
		})
	}
}

// TestRelease stops the holder gracefully. The other entry must take over at
// once, without waiting until the lease expires.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)

		time.Sleep(5 * time.Second)

		old := cl.leaseHolder()
		cl.holders[old].Release(t.Context())
		time.Sleep(200 * time.Millisecond)

		assert.Assert(t, cl.leaseHolder() != "" && cl.leaseHolder() != old)
		assert.Assert(t, cl.awaitServed("m6", 3*time.Second))
		cl.finishReleased()
	})
}

// TestOrdersAfterHandOverTimesOut guards against work that begins beside an earlier hand-over's wait for work.
func TestOrdersAfterHandOverTimesOut(t *testing.T) {
	for name, delay := range map[string]time.Duration{"slow orders": 500 * time.Millisecond, "slower than hand-overs": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2)

				time.Sleep(5 * time.Second)

				old := cl.leaseHolder()
				cl.setOrderDelay(delay)

				for i := range 200 {
					cl.ask(fmt.Sprintf("m%d/a%d", i%3, i))
					time.Sleep(100 * time.Millisecond)
					cl.handOverFor(old, 20*time.Millisecond)
				}

				cl.setOrderDelay(0)
				time.Sleep(5 * time.Second)

				if cl.leaseHolder() == old {
					cl.handOverFor(old, 9*time.Second)
				}

				assert.Assert(t, cl.leaseHolder() != old)
				cl.finishReleased()
			})
		})
	}
}

// TestReleaseDuringRenewal releases the lease while a renewal is in flight on a
// slow store. The renewal changes the row's version, and the release must
// still succeed: otherwise no entry could send orders until the lease expires.
func TestReleaseDuringRenewal(t *testing.T) {
	for offset := range 9 {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 2)

			time.Sleep(5 * time.Second)
			cl.table.SetFaults(platform.Faults{TableDelay: 250 * time.Millisecond})
			time.Sleep(time.Second + time.Duration(offset)*100*time.Millisecond)

			old := cl.leaseHolder()
			cl.holders[old].Release(t.Context())
			time.Sleep(1300 * time.Millisecond)

			assert.Assert(t, cl.leaseHolder() != "" && cl.leaseHolder() != old, "offset %d", offset)
			cl.finishReleased()
		})
	}
}

// TestTableDown makes the store unavailable for longer than the lease. No
// entry may send orders after the lease has expired, and placement must
// continue when the store is back.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)

		time.Sleep(5 * time.Second)
		cl.table.SetFaults(platform.Faults{TableDown: true})
		time.Sleep(3 * time.Second)

		assert.Assert(t, !cl.awaitServed("m6", 4*time.Second), "an order was sent without a lease")
		cl.table.SetFaults(platform.Faults{})
		assert.Assert(t, cl.awaitServed("m6", 8*time.Second))
		cl.finish()
	})
}

// TestRestartedEngine restarts the engines empty under the same ids. Their
// former models must not count as loaded, and their sequences start again.
func TestRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)

		time.Sleep(5 * time.Second)
		assert.Assert(t, cl.awaitServed("m6", 5*time.Second))

		cl.mu.Lock()
		cl.born++

		for id := range cl.workers {
			cl.workers[id] = &worker.Worker{Engine: engine(), OnDisk: []string{"m0", "m6"}}
		}
		cl.mu.Unlock()

		assert.Assert(t, cl.awaitServed("m0", 8*time.Second))
		assert.Assert(t, cl.awaitServed("m6", 8*time.Second))
		cl.finish()
	})
}

// TestBlockedRound blocks a round of the holder for a second, as when
// publishing waits for an unresponsive entry after a power failure of the whole
// data centre. If the holder paused four times as long, as after a round of
// computing, it would neither send orders nor renew the lease, and requests
// would wait five seconds for another entry to take over.
func TestBlockedRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)

		time.Sleep(5 * time.Second)

		first := cl.leaseHolder()

		cl.mu.Lock()
		cl.publishDelay = time.Second
		cl.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)

		began := time.Now()

		assert.Assert(t, cl.awaitServed("m6", 5*time.Second))
		assert.Assert(t, time.Since(began) < 2*time.Second, "took %s", time.Since(began))
		time.Sleep(5 * time.Second)
		assert.Equal(t, cl.leaseHolder(), first, "another entry acquired the lease")
		cl.finish()
	})
}
