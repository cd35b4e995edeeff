package holder_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// says tells the holder that an entry does not reach a target.
func (w *world) says(entry, target instance.ID) {
	w.t.Helper()

	m := w.holders[w.holding()]
	assert.NilError(w.t, m.Report(demand.Report{Entry: entry, Process: string(entry)}, []holder.Missing{{Target: target}}))
}

// copies returns on how many targets the news have a model.
func (w *world) copies(model string) int {
	copies := 0

	for _, s := range w.heard().Stations {
		for _, h := range s.Held {
			if h.Model == model {
				copies++
			}
		}
	}

	return copies
}

// named reports whether the news name a target.
func (w *world) named(target instance.ID) bool {
	return slices.ContainsFunc(w.heard().Stations, func(s holder.Station) bool { return s.Target == target })
}

// TestTargetDown guards against models of a crashed target that are loaded
// elsewhere only when its entry has lapsed, and against entries that send to it
// until then.
func TestTargetDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)

		assert.Equal(t, w.copies("m0"), 1)

		w.setDark("w0")
		w.says("e1", "w0")
		time.Sleep(1200 * time.Millisecond)

		assert.Equal(t, w.copies("m0"), 0, "entries still send to it")
		assert.Assert(t, w.named("w0"), "entries go by the list")

		for range 6 {
			w.ask("m0")
			time.Sleep(300 * time.Millisecond)
		}

		assert.Equal(t, w.copies("m0"), 1, "it is loaded nowhere else")

		w.setDark("")
		time.Sleep(1500 * time.Millisecond)

		assert.Equal(t, w.copies("m1"), 1, "it is back")
		w.finish()
	})
}

// TestOneWordIsNotEnough guards against a target that is given up because one
// entry, or the holder itself, does not reach it.
func TestOneWordIsNotEnough(t *testing.T) {
	for name, play := range map[string]func(w *world){
		"one entry": func(w *world) { w.says("e1", "w0") },
		"the holder and its own entry": func(w *world) {
			w.setDark("w0")
			w.says(w.holding(), "w0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)

				time.Sleep(5 * time.Second)
				play(w)
				time.Sleep(2 * time.Second)

				assert.Equal(t, w.copies("m0"), 1)
				w.finish()
			})
		})
	}
}

// process returns which process a worker says it is.
func (w *world) process(id instance.ID) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	if p, ok := w.processes[id]; ok {
		return p
	}

	return w.born
}

// TestRestartedBeforeTheList guards against entries that send to what a target
// held before it started again, until the list shows its new process.
func TestRestartedBeforeTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)

		time.Sleep(5 * time.Second)

		// Each target has carried out orders, so that its new process's count is
		// lower.
		for _, model := range []string{"m6", "m7", "m6", "m7"} {
			w.ask(model)
			time.Sleep(3 * time.Second)
		}

		w.mu.Lock()
		w.workers["w0"] = &worker.Worker{Engine: engine(), OnDisk: []string{"m0", "m1"}}
		w.processes = map[instance.ID]int64{"w0": 2}
		w.mu.Unlock()

		m := w.holders[w.holding()]
		assert.NilError(t, m.Report(demand.Report{Entry: "e1"}, []holder.Missing{{Target: "w0", Key: "s/m0"}}))
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, w.copies("m0"), 0, "entries still send to it")

		assert.Assert(t, w.served("m0", 4*time.Second), "its disk is not used")
		w.finish()
	})
}
