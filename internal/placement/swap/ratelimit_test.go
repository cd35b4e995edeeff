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

	other := targetWith("b").withDisk("m3")

	cases := map[string]struct {
		targets []Target
		demand  Demand
		rate    map[string]float64
		// want is the target that loads the model, or empty.
		want instance.ID
	}{
		"more requests than the limit":          {[]Target{limited("a", "m3"), other}, running, map[string]float64{"m3": 1.5}, "b"},
		"fewer requests than the limit":         {[]Target{limited("a", "m3"), other}, running, map[string]float64{"m3": 0.5}, ""},
		"limit used up by rarer models":         {[]Target{limited("a", "m2", "m3"), other}, running, map[string]float64{"m2": 0.6, "m3": 0.7}, "b"},
		"rarest models stay":                    {[]Target{limited("a", "m2", "m3"), other}, running, map[string]float64{"m2": 0.7, "m3": 0.6}, ""},
		"rarer model is served elsewhere":       {[]Target{limited("a", "m2", "m3"), targetWith("b", "m2").withDisk("m3")}, running, map[string]float64{"m2": 0.6, "m3": 0.7}, ""},
		"a short wait within the limit":         {[]Target{limited("a", "m3"), other}, waiting("m3"), map[string]float64{"m3": 0.5}, ""},
		"another replica has no limit":          {[]Target{limited("a", "m3"), targetWith("b", "m3"), targetWith("c").withDisk("m3")}, waiting("m3"), map[string]float64{"m3": 5}, ""},
		"loads go to targets without a limit":   {[]Target{limited("a").withDisk("m3"), other}, waiting("m3"), nil, "b"},
		"a limited target if there is no other": {[]Target{limited("a").withDisk("m3")}, waiting("m3"), nil, "a"},
		"all targets hold the model":            {[]Target{limited("a", "m3"), limited("b", "m3")}, waiting("m3"), map[string]float64{"m3": 5}, ""},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Snapshot{Now: now, Engine: engine(4), Targets: tc.targets, Demands: []Demand{tc.demand}, Rate: tc.rate, FreeStoreLoads: 1}

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

// TestAdapterGoesToUnlimitedTarget guards against a limited target, on which few
// requests run, that attracts every adapter.
func TestAdapterGoesToUnlimitedTarget(t *testing.T) {
	targets := []AdapterTarget{{ID: "a", Limited: true}, {ID: "b", Running: 9}}

	s, ok := PlaceAdapter(targets, 1, now)
	assert.Assert(t, ok)
	assert.Equal(t, s.Target, instance.ID("b"))

	s, ok = PlaceAdapter(targets[:1], 1, now)
	assert.Assert(t, ok)
	assert.Equal(t, s.Target, instance.ID("a"))
}
