package holder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// TestAdapterInUseKeepsItsSlot guards against a holder that takes the slot of an adapter for
// free although its unload waits for requests of which the holder has not heard.
func TestAdapterInUseKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newClusterOf(t, 1, engine(), 1)
		only := cl.workers["w0"]

		time.Sleep(5 * time.Second)

		for _, key := range []string{"m0/a1", "m0/a2"} {
			assert.Assert(t, cl.awaitServed(key, time.Second))
			time.Sleep(time.Second)
		}

		assert.Assert(t, only.Begin("long", "m0", "a1"))

		for range 20 {
			cl.ask("m0/a3")
			time.Sleep(100 * time.Millisecond)
		}

		only.End("m0", "a1")
		assert.Assert(t, cl.awaitServed("m0/a3", 3*time.Second))
		cl.finish()
	})
}

// TestReportThatTookLong guards against a holder that takes a report for newer than it is,
// because its request or its answer took long.
func TestReportThatTookLong(t *testing.T) {
	for after := 100 * time.Millisecond; after < 700*time.Millisecond; after += 25 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newClusterOfLateReports(t, after)

				cl.mu.Lock()
				for range 40 {
					cl.reportDelays = append(cl.reportDelays, reportDelay{there: 450 * time.Millisecond}, reportDelay{back: 450 * time.Millisecond})
				}
				cl.mu.Unlock()

				for range 80 {
					cl.ask("m6")
					time.Sleep(200 * time.Millisecond)
				}

				cl.finish()
			})
		})
	}
}

// TestLateOrderReachesNextProcess guards against an order that was not answered and is
// carried out by the next process of its target, whose sequence fits and whose memory does
// not.
func TestLateOrderReachesNextProcess(t *testing.T) {
	for name, holderRestarts := range map[string]bool{"of the same lease holder": false, "of a former lease holder": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { leaveOrderToNextProcess(t, holderRestarts) })
		})
	}
}

func leaveOrderToNextProcess(t *testing.T, holderRestarts bool) {
	t.Helper()

	const late = 9 * time.Second

	e := engine()
	e.MemoryMB = 34 // For three models.
	cl := newClusterOf(t, 1, e, 1)
	only := cl.workers["w0"]

	time.Sleep(5 * time.Second)
	assert.Assert(t, cl.awaitServed("m6", 8*time.Second))
	time.Sleep(time.Second)

	// The load of a swap is left unanswered, and sent again.
	go func() {
		for orders := only.Orders(); !orders[len(orders)-1].Unload; orders = only.Orders() {
			time.Sleep(time.Millisecond)
		}

		only.SetFaults(worker.Faults{LateOrders: 1, Late: late})
	}()

	assert.Assert(t, cl.awaitServed("m7", 8*time.Second))

	if holderRestarts {
		cl.holders["h0"].gate.Close()
		cl.holders["h0"].stop()
		cl.startAs(t.Context(), "h0", "second")
	}

	cl.restartWorker("w0")

	for range 40 {
		cl.ask("m0", "m1", "m6", "m1/a0")
		time.Sleep(250 * time.Millisecond)
	}

	cl.finish()
}
