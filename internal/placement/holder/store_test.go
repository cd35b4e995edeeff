package holder_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// mostFromStore returns how many loads from the weight store the workers had in
// hand at once, where each takes that long.
func mostFromStore(w *world, takes time.Duration) int {
	var begins []time.Time

	for _, one := range w.workers {
		for _, o := range one.Orders() {
			if !o.Unload && o.Outcome == 0 {
				begins = append(begins, o.At)
			}
		}
	}

	most := 0

	for _, at := range begins {
		n := 0

		for _, other := range begins {
			if !other.After(at) && at.Sub(other) < takes {
				n++
			}
		}

		most = max(most, n)
	}

	return most
}

// TestStoreLoadsInHand: eight targets are replaced by empty ones at once, and
// callers wait for eight models that are on no disk. Engines take 300 ms to
// accept an order, several rounds of decisions pass meanwhile, and each began
// as many loads as the weight store feeds at full speed: all eight together
// took twice as long, and requests were sent to targets that had nothing yet.
func TestStoreLoadsInHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(t, 1, engine(), 0)
		w.setSlow(300 * time.Millisecond)

		for i := range 8 {
			w.join(instance.ID(fmt.Sprintf("w%d", i)), &worker.Worker{Engine: w.routes.Services["s"].Engine})
		}

		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			models := make([]string, 8)
			for i := range models {
				models[i] = fmt.Sprintf("m%d", i)
			}

			w.ask(models...)
		}

		assert.Equal(t, mostFromStore(w, 6*time.Second), 4)
		w.finish()
	})
}

// TestEntriesHearOfTheWait: one engine is left, empty, and callers wait for
// eight models. The store feeds four loads at once, but the engine takes one
// order at a time. All entries must hear when each of the other models can be
// had, or their callers are held until they leave; once a model is loaded
// nothing is said of it any more.
func TestEntriesHearOfTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(t, 2, engine(), 0)
		for i := range 5 {
			w.join(instance.ID(fmt.Sprintf("w%d", i)), &worker.Worker{Engine: w.routes.Services["s"].Engine})
		}

		models := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
		least := 0

		for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			w.ask(models...)

			n := w.heard()
			for _, wait := range n.Waits {
				assert.Assert(t, time.Until(wait.Ready) < 25*time.Second, "%s in %s", wait.Key, time.Until(wait.Ready))
				assert.Assert(t, !slices.ContainsFunc(n.Stations, func(s holder.Station) bool {
					return slices.ContainsFunc(s.Held, func(h holder.Held) bool { return "s/"+h.Model == wait.Key })
				}), "%s is loaded", wait.Key)
			}

			least = max(least, len(n.Waits))
		}

		assert.Equal(t, least, 4, "four of eight are on their way, the others are foretold")
		assert.Equal(t, len(w.heard().Waits), 0, "all are loaded")
		w.finish()
	})
}

// Callers were sent to a target at the end of a load that it had not begun,
// since the unload before it waited for the runs on its model.
func TestForetoldAfterUnload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := []string{"m0", "m1", "m2"}
		w := newWorldOf(t, 1, engine(), 0)
		one := &worker.Worker{Engine: w.routes.Services["s"].Engine, Holding: full, OnDisk: []string{"m6"}}
		w.join("w0", one)
		time.Sleep(5 * time.Second)

		for _, model := range full {
			assert.Assert(t, one.Begin("r", model, ""))
		}

		served := false

		for step := range 100 {
			w.ask("m6")
			time.Sleep(50 * time.Millisecond)

			if step == 50 {
				for _, model := range full {
					one.End(model)
				}
			}

			if !ready(w.heard(), "w0", "m6") {
				continue
			}

			assert.Assert(t, one.Begin("r", "m6", ""), "told %s after the beginning", time.Duration(step)*50*time.Millisecond)
			one.End("m6")

			served = true
		}

		assert.Assert(t, served)
		w.finish()
	})
}

// Callers were sent to a target at the end of a load from the weight store that
// lasted longer than one alone, again and again until their repeats were used up.
func TestForetoldFromStore(t *testing.T) {
	for name, takes := range map[string]time.Duration{"as said": 6 * time.Second, "longer": 9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := engine()
				for name, m := range slow.Models {
					m.FromStore = takes
					slow.Models[name] = m
				}

				w := newWorldOf(t, 1, engine(), 0)
				one := &worker.Worker{Engine: slow}
				w.join("w0", one)
				time.Sleep(5 * time.Second)

				began := time.Now()

				for !ready(w.heard(), "w0", "m6") && time.Since(began) < 2*takes {
					w.ask("m6")
					time.Sleep(10 * time.Millisecond)
				}

				assert.Assert(t, one.Begin("r", "m6", ""), "told after %s", time.Since(began))
				assert.Assert(t, time.Since(began) < takes+time.Second, "told after %s", time.Since(began))
				one.End("m6")
				w.finish()
			})
		})
	}
}

// ready reports whether entries that heard news send requests for a model to a
// target.
func ready(n holder.News, id instance.ID, model string) bool {
	return slices.ContainsFunc(n.Stations, func(s holder.Station) bool {
		return s.Target == id && slices.ContainsFunc(s.Held, func(h holder.Held) bool { return h.Model == model && !h.Ready.After(time.Now()) })
	})
}
