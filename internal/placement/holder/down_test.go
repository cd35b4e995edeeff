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

// reportUnreachable reports to the holder that an entry does not reach a
// target.
func (cl *cluster) reportUnreachable(entry, target instance.ID) {
	cl.t.Helper()

	h := cl.holders[cl.leaseHolder()]
	assert.NilError(cl.t, h.Report(demand.Report{Entry: entry, Process: string(entry)}, []holder.Missing{{Target: target}}))
}

// replicas returns the number of targets that hold a model in the latest
// snapshot.
func (cl *cluster) replicas(model string) int {
	replicas := 0

	for _, state := range cl.latest().Engines {
		for _, resident := range state.Resident {
			if resident.Model == model {
				replicas++
			}
		}
	}

	return replicas
}

// inSnapshot reports whether the latest snapshot contains a target.
func (cl *cluster) inSnapshot(target instance.ID) bool {
	return slices.ContainsFunc(cl.latest().Engines, func(state holder.EngineState) bool { return state.Target == target })
}

// TestTargetDown guards against a crashed target whose models are loaded
// elsewhere only after it has expired from the target list, and to which
// entries send requests until then.
func TestTargetDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)

		time.Sleep(5 * time.Second)

		assert.Equal(t, cl.replicas("m0"), 1)

		cl.setUnresponsive("w0")
		cl.reportUnreachable("e1", "w0")
		time.Sleep(1200 * time.Millisecond)

		assert.Equal(t, cl.replicas("m0"), 0, "entries still send requests to it")
		assert.Assert(t, cl.inSnapshot("w0"), "entries would use the target list")

		for range 6 {
			cl.ask("m0")
			time.Sleep(300 * time.Millisecond)
		}

		assert.Equal(t, cl.replicas("m0"), 1, "not loaded on another target")

		cl.setUnresponsive("")
		time.Sleep(1500 * time.Millisecond)

		assert.Equal(t, cl.replicas("m1"), 1, "models of the target that is back")
		cl.finish()
	})
}

// TestSuspicionNeedsConfirmation guards against a target that is marked as
// down because only one entry, or only the holder and its own entry, does not
// reach it.
func TestSuspicionNeedsConfirmation(t *testing.T) {
	for name, fault := range map[string]func(cl *cluster){
		"one entry": func(cl *cluster) { cl.reportUnreachable("e1", "w0") },
		"the holder and its own entry": func(cl *cluster) {
			cl.setUnresponsive("w0")
			cl.reportUnreachable(cl.leaseHolder(), "w0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)

				time.Sleep(5 * time.Second)
				fault(cl)
				time.Sleep(2 * time.Second)

				assert.Equal(t, cl.replicas("m0"), 1)
				cl.finish()
			})
		})
	}
}

// process returns the process that a worker reports.
func (cl *cluster) process(id instance.ID) int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	if p, ok := cl.processes[id]; ok {
		return p
	}

	return cl.bornOf(id)
}

// TestRestartNotYetOnTargetList guards against entries that send requests for
// models that a target held before its restart, until the target list shows the
// new process.
func TestRestartNotYetOnTargetList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)

		time.Sleep(5 * time.Second)

		// Each target carries out orders, so that the sequence of its new
		// process is lower.
		for _, model := range []string{"m6", "m7", "m6", "m7"} {
			cl.ask(model)
			time.Sleep(3 * time.Second)
		}

		cl.mu.Lock()
		cl.workers["w0"] = &worker.Worker{Engine: engine(), OnDisk: []string{"m0", "m1"}}
		cl.processes = map[instance.ID]int64{"w0": 2}
		cl.mu.Unlock()

		h := cl.holders[cl.leaseHolder()]
		assert.NilError(t, h.Report(demand.Report{Entry: "e1"}, []holder.Missing{{Target: "w0", Key: "s/m0"}}))
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, cl.replicas("m0"), 0, "entries still send requests to it")

		assert.Assert(t, cl.awaitServed("m0", 4*time.Second), "not loaded from its disk")
		cl.finish()
	})
}
