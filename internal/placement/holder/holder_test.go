package holder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

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
