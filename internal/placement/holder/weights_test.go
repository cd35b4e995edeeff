package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestMemoryCopiesMakeWay guards against loads that are foretold from host
// memory when their copies have made way there: callers are sent to a model that
// is not loaded yet.
func TestMemoryCopiesMakeWay(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &route.Engine{HostMB: 25, Models: map[string]route.Model{}}

	for _, name := range []string{"a", "b", "c"} {
		e.Models[name] = route.Model{Name: name, MB: 10}
	}

	var w weights

	w.list(inventory.Target{OnDisk: []string{"a", "b", "c"}, InMemory: []string{"a"}}, now)
	w.load("b", e, now)
	assert.Equal(t, w.tiers()["a"], target.TierMemory)

	w.load("c", e, now.Add(time.Second))
	assert.DeepEqual(t, w.tiers(), map[string]target.Tier{"a": target.TierDisk, "b": target.TierMemory, "c": target.TierMemory})

	// A row from before the last load ended.
	w.list(inventory.Target{OnDisk: []string{"a", "b"}, InMemory: []string{"a", "b"}}, now.Add(2*time.Second))
	assert.Equal(t, w.tiers()["c"], target.TierMemory)

	// What the list does not show later has made way.
	w.list(inventory.Target{OnDisk: []string{"a", "c"}, InMemory: []string{"c"}}, now.Add(time.Minute))
	assert.DeepEqual(t, w.tiers(), map[string]target.Tier{"a": target.TierDisk, "c": target.TierMemory})
}

// TestBusyForLong guards against callers who wait for a target that is always
// about to be free, because nobody knows how long its order lasts.
func TestBusyForLong(t *testing.T) {
	now := time.Unix(1000, 0)

	var s station

	s.take(Report{Busy: true}, now)

	for _, after := range []time.Duration{0, time.Second, 20 * time.Second} {
		v := s.view(now.Add(after), 0, nil)
		assert.Assert(t, !v.AcceptsOrders)
		assert.Equal(t, v.OrderEndsIn, max(orderTime, after))

		s.take(Report{Busy: true}, now.Add(after))
	}

	s.take(Report{}, now.Add(30*time.Second))
	assert.Assert(t, s.view(now.Add(30*time.Second), 0, nil).AcceptsOrders)
}
