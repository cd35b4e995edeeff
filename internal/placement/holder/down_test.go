package holder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
)

// says tells the holder that an entry does not reach a target.
func (w *world) says(entry, target instance.ID) {
	w.t.Helper()

	m := w.holders[w.holding()]
	assert.NilError(w.t, m.Report(demand.Report{Entry: entry, Process: string(entry)}, []holder.Missing{{Target: target}}))
}

// models returns on how many targets the news have a model, and whether they
// name the target.
func (w *world) models(model string, target instance.ID) (copies int, named bool) {
	for _, s := range w.heard().Stations {
		named = named || s.Target == target

		for _, h := range s.Held {
			if h.Model == model {
				copies++
			}
		}
	}

	return copies, named
}

// TestTargetDown guards against models of a crashed target that are loaded
// elsewhere only when its entry has lapsed, and against entries that send to it
// until then.
func TestTargetDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)

		time.Sleep(5 * time.Second)

		copies, _ := w.models("m0", "w0")
		assert.Equal(t, copies, 1)

		w.setDark("w0")
		w.says("e1", "w0")
		time.Sleep(1200 * time.Millisecond)

		copies, named := w.models("m0", "w0")
		assert.Equal(t, copies, 0, "entries still send to it")
		assert.Assert(t, named, "entries go by the list")

		for range 6 {
			w.ask("m0")
			time.Sleep(300 * time.Millisecond)
		}

		copies, _ = w.models("m0", "w0")
		assert.Equal(t, copies, 1, "it is loaded nowhere else")

		w.setDark("")
		time.Sleep(1500 * time.Millisecond)

		copies, _ = w.models("m1", "w0")
		assert.Equal(t, copies, 1, "it is back")
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

				copies, _ := w.models("m0", "w0")
				assert.Equal(t, copies, 1)
				w.finish()
			})
		})
	}
}
