package swap

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
)

// TestLimitedTargets checks that a model is loaded elsewhere if its demand exceeds the
// rate limits of the targets that hold it, and not otherwise.
func TestLimitedTargets(t *testing.T) {
	limited := func(id instance.ID, models ...string) Target {
		t := targetWith(id, models...)
		t.RateLimit = ratelimit.Limit{Stated: true, PerSecond: 1}

		return t
	}
	running := Demand{Model: "m3", Running: 1}

	cases := map[string]struct {
		targets []Target
		demand  Demand
		rate    float64
		// want is the target that loads the model, or empty.
		want instance.ID
	}{
		"requests wait":                  {[]Target{limited("a", "m3"), targetWith("b").withDisk("m3")}, waiting("m3"), 0, "b"},
		"more arrive than the limit":     {[]Target{limited("a", "m3"), targetWith("b").withDisk("m3")}, running, 1.5, "b"},
		"fewer arrive than the limit":    {[]Target{limited("a", "m3"), targetWith("b").withDisk("m3")}, running, 0.5, ""},
		"another replica has no limit":   {[]Target{limited("a", "m3"), targetWith("b", "m3"), targetWith("c").withDisk("m3")}, waiting("m3"), 5, ""},
		"loads go to unlimited targets":  {[]Target{limited("a").withDisk("m3"), targetWith("b").withDisk("m3")}, waiting("m3"), 0, "b"},
		"a limited target if no other":   {[]Target{limited("a").withDisk("m3")}, waiting("m3"), 0, "a"},
		"no load where all targets hold": {[]Target{limited("a", "m3"), limited("b", "m3")}, waiting("m3"), 5, ""},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Snapshot{Now: now, Engine: engine(4), Targets: tc.targets, Demands: []Demand{tc.demand}, Rate: map[string]float64{"m3": tc.rate}, FreeStoreLoads: 1}

			var got instance.ID

			for _, swap := range Decide(s).Swaps {
				if swap.Load == "m3" {
					got = swap.Target
				}
			}

			assert.Equal(t, got, tc.want)
		})
	}
}
