package cell

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
)

// fault is a failure that a schedule can inject.
type fault struct {
	name string
	run  func(w *world, rng *rand.Rand)
}

var faults = []fault{
	{"kill the holder", func(w *world, _ *rand.Rand) {
		if p := w.holder(); p != nil && len(w.running()) > 1 {
			w.kill(p)
			w.platform.Remove(p.id)
		}
	}},
	{"restart the holder's process", func(w *world, _ *rand.Rand) {
		if p := w.holder(); p != nil {
			w.kill(p)
			w.start(p.id)
		}
	}},
	{"pause the holder past its lease", func(w *world, rng *rand.Rand) {
		if p := w.holder(); p != nil {
			p.gate.Close()
			time.AfterFunc(3*time.Second+randomDuration(rng, 6*time.Second), p.gate.Open)
		}
	}},
	{"pause the holder before it sends an order", func(w *world, rng *rand.Rand) {
		d := 4*time.Second + randomDuration(rng, 8*time.Second)

		var once sync.Once

		w.hookOrder(func(p *proc, _ target.Order) {
			once.Do(func() {
				p.gate.Close()
				time.AfterFunc(d, p.gate.Open)
			})
		})
	}},
	{"lose answers of the store", func(w *world, rng *rand.Rand) {
		w.platform.SetFaults(platform.Faults{LoseAnswers: 1 + rng.IntN(4), ListLag: time.Second})
	}},
	{"stop the store", func(w *world, rng *rand.Rand) {
		w.platform.SetFaults(platform.Faults{TableDown: true})
		time.AfterFunc(randomDuration(rng, 6*time.Second), func() { w.platform.SetFaults(platform.Faults{}) })
	}},
	{"slow the store", func(w *world, rng *rand.Rand) {
		w.platform.SetFaults(platform.Faults{TableDelay: randomDuration(rng, time.Second)})
		time.AfterFunc(4*time.Second, func() { w.platform.SetFaults(platform.Faults{}) })
	}},
	{"crash an engine", func(w *world, rng *rand.Rand) { w.engines[rng.IntN(len(w.engines))].Crash() }},
	{"delay orders", func(w *world, rng *rand.Rand) {
		e := w.engines[rng.IntN(len(w.engines))]
		e.SetFaults(engine.Faults{LateOrders: randomDuration(rng, 5*time.Second)})
		time.AfterFunc(5*time.Second, func() { e.SetFaults(engine.Faults{}) })
	}},
	{"fail loads", func(w *world, rng *rand.Rand) {
		w.engines[rng.IntN(len(w.engines))].SetFaults(engine.Faults{FailLoads: 2})
	}},
	{"reclaim a target", func(w *world, _ *rand.Rand) {
		if e := w.engines[0]; len(w.engines) > 1 {
			w.platform.Announce(instance.Instance{ID: e.ID(), Role: instance.Engine, State: instance.Leaving})
			e.Leave()
			time.AfterFunc(2*time.Second, func() {
				w.platform.Remove(e.ID())
				e.Stop()
			})
		}
	}},
	{"slow the weight store tenfold", func(w *world, _ *rand.Rand) { w.weights.Slow(10) }},
}

func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// schedules is how many seeded schedules run. Under the race detector, which
// makes each many times slower, a twentieth of them runs.
const schedules = 1000

const modelCount = 6

// runSchedule injects faults in a seeded order and at seeded times while requests
// wait for models. world.checkEngine runs after every change on an engine.
func runSchedule(t *testing.T, seed uint64, checksTokens bool, only ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rng := newRand(seed)
		w := newWorld(t, 3, modelCount, checksTokens)
		w.jitter.Store(int64(seed%3) * int64(150*time.Millisecond))

		for i := range 3 {
			w.start(instance.ID(fmt.Sprintf("entry-%d", i)))
		}

		defer w.stopAll()

		time.Sleep(3 * time.Second)

		schedule := fmt.Sprintf("seed %d, tokens checked %v:", seed, checksTokens)

		for range 3 + rng.IntN(4) {
			f := faults[rng.IntN(len(faults))]
			if len(only) > 0 {
				f = faultNamed(only[rng.IntN(len(only))])
			}

			schedule += " " + f.name + ";"
			f.run(w, rng)

			for range 1 + rng.IntN(6) {
				w.reportWaiting(modelName(rng.IntN(modelCount)), modelName(rng.IntN(modelCount)))
				time.Sleep(randomDuration(rng, 1200*time.Millisecond))
			}

			w.assertNoViolations(schedule)
		}

		// Once the faults have ended, the cell must recover.
		w.platform.SetFaults(platform.Faults{})
		w.weights.Slow(1)
		time.Sleep(25 * time.Second)

		_, ok := w.reportUntilReady(modelName(0), time.Minute)
		assert.Assert(t, ok, "%s the cell did not recover: %s", schedule, w.state())
		w.assertNoViolations(schedule)
	})
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}

	panic(name)
}

// TestSchedules injects several faults, which may overlap, in random order:
// processes that die or pause, engines that die, answer late, fail loads or are
// reclaimed, a store that is down, slow or loses answers, and a slow weight
// store. No replica may be loaded that the ledger does not count, no engine's
// memory may be overcommitted, and the cell must recover by itself.
func TestSchedules(t *testing.T) {
	const chunks = 16

	n := schedules
	if raceDetector {
		n = schedules / 20
	}

	for chunk := range chunks {
		t.Run(fmt.Sprintf("chunk %d", chunk), func(t *testing.T) {
			t.Parallel()

			for seed := chunk; seed < n; seed += chunks {
				runSchedule(t, uint64(seed), seed%2 == 0)
			}
		})
	}
}
