package swap

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestUnusualConfigurations checks configurations that omit some sizes and
// times or contain a model that does not fit into any target's memory, and
// services without targets. Models that can be served must be loaded, and the
// others must be reported as never ready.
func TestUnusualConfigurations(t *testing.T) {
	plain := route.Model{Name: "m0", MB: 10, FromStore: 6 * time.Second}

	for name, c := range map[string]struct {
		engine  route.Engine
		targets []Target
		loads   int
		never   bool
	}{
		"complete configuration":          {route.Engine{MemoryMB: 30, Slots: 8, Models: map[string]route.Model{"m0": plain}}, []Target{targetWith("a")}, 1, false},
		"no slots":                        {route.Engine{MemoryMB: 30, Models: map[string]route.Model{"m0": plain}}, []Target{targetWith("a")}, 1, false},
		"negative number of cache tokens": {route.Engine{MemoryMB: 30, Slots: 8, CacheTokens: -1, Models: map[string]route.Model{"m0": plain}}, []Target{targetWith("a")}, 1, false},
		"no load times":                   {route.Engine{MemoryMB: 30, Models: map[string]route.Model{"m0": {Name: "m0", MB: 10}}}, []Target{targetWith("a")}, 1, false},
		"model without a size":            {route.Engine{MemoryMB: 30, Models: map[string]route.Model{"m0": {Name: "m0"}}}, []Target{targetWith("a")}, 1, false},
		"model larger than any target":    {route.Engine{MemoryMB: 5, Models: map[string]route.Model{"m0": plain}}, []Target{targetWith("a")}, 0, true},
		"targets without memory":          {route.Engine{Models: map[string]route.Model{"m0": plain}}, []Target{targetWith("a")}, 0, true},
		"no targets":                      {route.Engine{MemoryMB: 30, Models: map[string]route.Model{"m0": plain}}, nil, 0, false},
		"no models":                       {route.Engine{MemoryMB: 30}, []Target{targetWith("a")}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			decisions := Decide(&Snapshot{
				Now: now, Engine: &c.engine, Targets: c.targets, FreeStoreLoads: 4, StoreLoadsEndIn: []time.Duration{0},
				Demands: []Demand{waiting("m0"), waiting("unknown")}, LongTermRate: map[string]float64{"m0": 1},
			})

			assert.Equal(t, len(decisions.Swaps), c.loads)
			assert.Equal(t, decisions.ReadyIn["m0"] == never, c.never)
		})
	}
}
