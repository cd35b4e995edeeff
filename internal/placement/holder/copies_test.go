package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestMemoryCopiesAreEvicted guards against loads that are predicted to come
// from host memory after their copies were evicted: requests would be sent to
// a model that is not loaded yet.
func TestMemoryCopiesAreEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &route.Engine{HostMB: 25, Models: map[string]route.Model{}}

	for _, name := range []string{"a", "b", "c"} {
		e.Models[name] = route.Model{Name: name, MB: 10}
	}

	var copies localCopies

	copies.applyRow(inventory.Target{OnDisk: []string{"a", "b", "c"}, InMemory: []string{"a"}}, now)
	copies.recordLoad("b", e, now)
	assert.Equal(t, copies.tiers()["a"], target.TierMemory)

	copies.recordLoad("c", e, now.Add(time.Second))
	assert.DeepEqual(t, copies.tiers(), map[string]target.Tier{"a": target.TierDisk, "b": target.TierMemory, "c": target.TierMemory})

	// This row predates the end of the last load.
	copies.applyRow(inventory.Target{OnDisk: []string{"a", "b"}, InMemory: []string{"a", "b"}}, now.Add(2*time.Second))
	assert.Equal(t, copies.tiers()["c"], target.TierMemory)

	// Copies that a later row does not show have been evicted.
	copies.applyRow(inventory.Target{OnDisk: []string{"a", "c"}, InMemory: []string{"c"}}, now.Add(time.Minute))
	assert.DeepEqual(t, copies.tiers(), map[string]target.Tier{"a": target.TierDisk, "c": target.TierMemory})
}

// TestBusyForLong guards against a target that is busy with an order of unknown
// duration and is predicted, again and again, to be free soon, so that requests
// keep waiting for it.
func TestBusyForLong(t *testing.T) {
	now := time.Unix(1000, 0)

	var eng trackedEngine

	eng.applyReport(Report{Busy: true}, now)

	for _, after := range []time.Duration{0, time.Second, 20 * time.Second} {
		planned := eng.swapTarget(&route.Engine{}, now.Add(after), 0, nil)
		assert.Assert(t, !planned.AcceptsOrders)
		assert.Equal(t, planned.OrderEndsIn, max(orderTime, after))

		eng.applyReport(Report{Busy: true}, now.Add(after))
	}

	eng.applyReport(Report{}, now.Add(30*time.Second))
	assert.Assert(t, eng.swapTarget(&route.Engine{}, now.Add(30*time.Second), 0, nil).AcceptsOrders)
}
