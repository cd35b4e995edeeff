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

// incident is one thing that goes wrong in a schedule.
type incident struct {
	name string
	run  func(w *world, rng *rand.Rand)
}

var incidents = []incident{
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
			time.AfterFunc(3*time.Second+rand64(rng, 6*time.Second), p.gate.Open)
		}
	}},
	{"pause the holder with an order in hand", func(w *world, rng *rand.Rand) {
		d := 4*time.Second + rand64(rng, 8*time.Second)

		var once sync.Once

		w.hook(func(p *proc, _ target.Order) {
			once.Do(func() {
				p.gate.Close()
				time.AfterFunc(d, p.gate.Open)
			})
		})
	}},
	{"lose answers of the table", func(w *world, rng *rand.Rand) {
		w.platform.SetFaults(platform.Faults{LoseAnswers: 1 + rng.IntN(4), ListLag: time.Second})
	}},
	{"stop the table", func(w *world, rng *rand.Rand) {
		w.platform.SetFaults(platform.Faults{TableDown: true})
		time.AfterFunc(rand64(rng, 6*time.Second), func() { w.platform.SetFaults(platform.Faults{}) })
	}},
	{"slow the table", func(w *world, rng *rand.Rand) {
		w.platform.SetFaults(platform.Faults{TableDelay: rand64(rng, time.Second)})
		time.AfterFunc(4*time.Second, func() { w.platform.SetFaults(platform.Faults{}) })
	}},
	{"crash an engine", func(w *world, rng *rand.Rand) { w.engines[rng.IntN(len(w.engines))].Crash() }},
	{"delay orders", func(w *world, rng *rand.Rand) {
		e := w.engines[rng.IntN(len(w.engines))]
		e.SetFaults(engine.Faults{LateOrders: rand64(rng, 5*time.Second)})
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

func rand64(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(most)))
}

// schedules is how many seeded schedules run. The race detector makes each
// many times slower.
const schedules = 1000

const modelCount = 6

// runSchedule brings about mishaps in a seeded order and at seeded times while
// models are asked for. Both sums are checked after every change on an engine.
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

		story := fmt.Sprintf("seed %d, tokens checked %v:", seed, checksTokens)

		for range 3 + rng.IntN(4) {
			m := incidents[rng.IntN(len(incidents))]
			if len(only) > 0 {
				m = incidentNamed(only[rng.IntN(len(only))])
			}

			story += " " + m.name + ";"
			m.run(w, rng)

			for range 1 + rng.IntN(6) {
				w.reportWaiting(modelName(rng.IntN(modelCount)), modelName(rng.IntN(modelCount)))
				time.Sleep(rand64(rng, 1200*time.Millisecond))
			}

			w.assertNoViolations(story)
		}

		// When everything works again, so must the cell.
		w.platform.SetFaults(platform.Faults{})
		w.weights.Slow(1)
		time.Sleep(25 * time.Second)

		_, ok := w.reportUntilReady(modelName(0), time.Minute)
		assert.Assert(t, ok, "%s the cell did not recover: %s", story, w.state())
		w.assertNoViolations(story)
	})
}

func incidentNamed(name string) incident {
	for _, m := range incidents {
		if m.name == name {
			return m
		}
	}

	panic(name)
}

// TestSchedules is the story of two or more mishaps at once: whatever dies,
// pauses or answers late, and in whichever order, an operator must never see
// more replicas loaded than were decided, or an instance's memory
// overcommitted, and the cell must recover by itself.
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
