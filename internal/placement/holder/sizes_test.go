package holder

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestSizesThatAreNotKnown guards against a size that counts as zero because no configuration states it.
func TestSizesThatAreNotKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	named := &route.Engine{HostMB: 100, Models: map[string]route.Model{"a": {Name: "a", MB: 60}, "b": {Name: "b", MB: 20}}}

	t.Run("late order", func(t *testing.T) {
		l := make(lateOrders)
		l.record("t", lateOrder{process: 1, mb: takenBy(named.Models["gone"].MB), until: now.Add(time.Minute)}, now)

		mb, _ := l.reserve("t", 2, 0, now)
		assert.Assert(t, math.IsInf(mb, 1))
	})

	t.Run("copies in host memory", func(t *testing.T) {
		var lc localCopies

		lc.recordLoad("gone", named, now)
		lc.recordLoad("b", named, now)
		assert.Equal(t, len(lc.memory), 1, "the first one may have been evicted")
	})

	t.Run("largest model", func(t *testing.T) {
		assert.Equal(t, largestMB(named), 60.0)
		assert.Assert(t, math.IsInf(largestMB(&route.Engine{Models: map[string]route.Model{"c": {Name: "c"}}}), 1))
	})

	t.Run("model on an engine", func(t *testing.T) {
		m := &trackedModel{adapters: make(map[string]*trackedAdapter)}
		assert.Equal(t, m.knownMB(named, "gone"), 0.0)
		assert.Equal(t, m.knownMB(named, "a"), 60.0)
		assert.Equal(t, m.knownMB(&route.Engine{}, "a"), 60.0, "dropped")
		assert.Equal(t, m.knownMB(&route.Engine{Models: map[string]route.Model{"a": {Name: "a", MB: 5}}}, "a"), 60.0, "smaller by now")

		m.adapters["x"] = &trackedAdapter{}
		assert.Equal(t, m.knownMB(&route.Engine{}, "a"), 0.0, "the sizes of its adapters are not known")
	})
}
