package swap

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// TestStoreByWorth checks what the weight store loads first when it can start
// few loads: the models with the most requests and, before targets leave, also
// a spare replica of such a model.
func TestStoreByWorth(t *testing.T) {
	empty := []Target{targetWith("a"), targetWith("b")}
	old := func() Target { return targetWith("old", "m0", "m1").withDisk("m0", "m1", "m4", "m5") }

	cases := map[string]struct {
		targets []Target
		demands []Demand
		rate    map[string]float64
		risk    float64
		store   int
		want    []string
	}{
		"busiest model before earliest deadline": {
			empty,
			[]Demand{{Model: "m2", Waiting: 1, Deadline: now.Add(time.Second)}, {Model: "m3", Waiting: 1, Deadline: now.Add(time.Minute)}},
			map[string]float64{"m2": 0.2, "m3": 30},
			0, 1,
			[]string{"m3 waiting"},
		},
		"waiting requests count as well as the rate": {
			empty, []Demand{{Model: "m2", Waiting: 1}, {Model: "m3", Waiting: 60}}, nil, 0, 1, []string{"m3 waiting"},
		},
		"spare replica of the busiest model before its target is lost": {
			[]Target{old(), targetWith("a")}, nil, map[string]float64{"m0": 30, "m2": 0.2}, 0.5, 2, []string{"m0 later"},
		},
		"rarely used model without a replica while targets are stable": {
			[]Target{old(), old().withOrderInFlight(), targetWith("a")}, nil, map[string]float64{"m0": 30, "m2": 0.2}, 0.02, 2, []string{"m2 later"},
		},
		"last load of the store is reserved": {
			[]Target{old().withOrderInFlight(), targetWith("a")}, nil, map[string]float64{"m0": 3, "m2": 0.2}, 0.2, 1, nil,
		},
		"load of high worth takes the last load": {
			[]Target{old().withOrderInFlight(), targetWith("a")}, []Demand{waiting("m2")}, map[string]float64{"m0": 30, "m2": 0.2}, 0.5, 1, []string{"m0 later"},
		},
		"load of high worth evicts a model of low worth": {
			[]Target{old().withOrderInFlight(), targetWith("a", "m1", "m2", "m3")}, nil, map[string]float64{"m0": 30, "m1": 2, "m2": 0.1, "m3": 2}, 0.5, 1, []string{"m0 later"},
		},
		"no load ahead from the store on targets with cached models": {
			[]Target{old(), old().withOrderInFlight()}, nil, map[string]float64{"m2": 0.5}, 0.02, 4, nil,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			decisions := Decide(&Snapshot{Now: now, Engine: engine(6), Targets: c.targets, Demands: c.demands, Rate: c.rate, LossRisk: c.risk, FreeStoreLoads: c.store})

			var got []string
			for _, s := range decisions.Swaps {
				got = append(got, fmt.Sprintf("%s %s", s.Load, s.Reason))
			}

			assert.DeepEqual(t, got, c.want)
		})
	}
}

// withOrderInFlight returns a copy of the target with the id busy and with an
// order in flight.
func (t Target) withOrderInFlight() Target {
	t.ID, t.AcceptsOrders, t.OrderEndsIn = "busy", false, time.Minute

	return t
}

// TestPredictReady checks the predicted ready times of models that the weight
// store cannot load yet: after the loads in flight and after the loads of
// models of higher worth.
func TestPredictReady(t *testing.T) {
	v := &Snapshot{
		Now: now, Engine: engine(4), Targets: []Target{targetWith("a"), targetWith("b")},
		Demands:         []Demand{waiting("m0"), waiting("m1"), waiting("m2"), waiting("m3")},
		Rate:            map[string]float64{"m0": 1, "m1": 4, "m2": 3, "m3": 2},
		StoreLoadsEndIn: []time.Duration{2 * time.Second}, FreeStoreLoads: 1,
	}

	decisions := Decide(v)
	assert.Equal(t, decisions.Swaps[0].Load, "m1")
	assert.DeepEqual(t, decisions.ReadyIn, map[string]time.Duration{"m2": 8 * time.Second, "m3": 12 * time.Second, "m0": 14 * time.Second})
}

// TestEarliestPromiseFirst checks that, of models of the same worth, the one
// whose ready time was promised first is loaded first, even though no request
// waits for it at the moment. If newer requests for other models went first
// each time, clients that come back at the promised time would be refused
// again.
func TestEarliestPromiseFirst(t *testing.T) {
	v := &Snapshot{
		Now: now, Engine: engine(4), Targets: []Target{targetWith("a", "m3")}, FreeStoreLoads: 1, Demands: []Demand{waiting("m1"), waiting("m2")},
		Rate:           map[string]float64{"m0": 0.05, "m1": 0.16, "m2": 0.16},
		LongTermRate:   map[string]float64{"m0": 0.2, "m1": 0.05, "m2": 0.05},
		PredictedSince: map[string]time.Time{"m0": now.Add(-5 * time.Second)},
	}

	decisions := Decide(v)
	assert.Equal(t, len(decisions.Swaps), 1)
	assert.Equal(t, decisions.Swaps[0].Load, "m0")
	assert.Equal(t, decisions.Swaps[0].Reason, ReasonWaiting)
}

// mostWorth returns the maximum total worth of the given number of loads.
func mostWorth(worth []float64, loads int) float64 {
	slices.SortFunc(worth, func(a, b float64) int { return -cmp.Compare(a, b) })

	sum := 0.0
	for _, w := range worth[:min(loads, len(worth))] {
		sum += w
	}

	return sum
}

// TestStoreAgainstNaive checks that the loads from the weight store onto empty
// targets are together worth at least as much as the choice of a naive
// algorithm, which sorts the models that requests wait for by worth and takes
// the first ones.
func TestStoreAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &Snapshot{Now: now, Engine: engine(8), Rate: map[string]float64{}, FreeStoreLoads: rapid.IntRange(0, 4).Draw(t, "store")}

		for i := range rapid.IntRange(1, 5).Draw(t, "targets") {
			v.Targets = append(v.Targets, targetWith(instance.ID(fmt.Sprint("t", i))))
		}

		var worth []float64

		for _, m := range slices.Sorted(maps.Keys(v.Engine.Models)) {
			v.Rate[m] = rapid.Float64Range(0, 10).Draw(t, "rate")

			if rapid.Bool().Draw(t, "waits") {
				v.Demands = append(v.Demands, waiting(m))
				worth = append(worth, max(v.Rate[m], defaultRate))
			}
		}

		got := 0.0

		for _, s := range Decide(v).Swaps {
			assert.Equal(t, s.Tier, target.TierRemote)

			got += max(v.Rate[s.Load], defaultRate)
		}

		// Models that no request waits for may be loaded first, but only if
		// their worth is higher.
		most := mostWorth(worth, min(v.FreeStoreLoads, len(v.Targets)))
		assert.Assert(t, got >= most-1e-9, "%v instead of %v", got, most)
	})
}
