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

// TestStoreByWorth holds what the weight store loads first when its loads are
// few: what most callers ask for, and before targets leave also a spare copy
// of it.
func TestStoreByWorth(t *testing.T) {
	empty := []Target{on("a"), on("b")}
	old := func() Target { return on("old", "m0", "m1").disk("m0", "m1", "m4", "m5") }

	cases := map[string]struct {
		targets []Target
		wants   []Want
		rate    map[string]float64
		risk    float64
		store   int
		want    []string
	}{
		"the busiest first, not the first deadline": {
			empty,
			[]Want{{Model: "m2", Waiting: 1, Deadline: now.Add(time.Second)}, {Model: "m3", Waiting: 1, Deadline: now.Add(time.Minute)}},
			map[string]float64{"m2": 0.2, "m3": 30},
			0, 1,
			[]string{"m3 waiting"},
		},
		"many that wait count as well": {
			empty, []Want{{Model: "m2", Waiting: 1}, {Model: "m3", Waiting: 60}}, nil, 0, 1, []string{"m3 waiting"},
		},
		"a spare copy of the busiest before it is gone": {
			[]Target{old(), on("a")}, nil, map[string]float64{"m0": 30, "m2": 0.2}, 0.5, 2, []string{"m0 later"},
		},
		"a rare model that is nowhere while nothing leaves": {
			[]Target{old(), old().older(), on("a")}, nil, map[string]float64{"m0": 30, "m2": 0.2}, 0.02, 2, []string{"m2 later"},
		},
		"the last load is left for the urgent": {
			[]Target{old().older(), on("a")}, nil, map[string]float64{"m0": 3, "m2": 0.2}, 0.2, 1, nil,
		},
		"but not before what is worth much": {
			[]Target{old().older(), on("a")}, []Want{waiting("m2")}, map[string]float64{"m0": 30, "m2": 0.2}, 0.5, 1, []string{"m0 later"},
		},
		"which also takes the place of what is worth little": {
			[]Target{old().older(), on("a", "m1", "m2", "m3")}, nil, map[string]float64{"m0": 30, "m1": 2, "m2": 0.1, "m3": 2}, 0.5, 1, []string{"m0 later"},
		},
		"no load for later where short ones are possible": {
			[]Target{old(), old().older()}, nil, map[string]float64{"m2": 0.5}, 0.02, 4, nil,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			round := Plan(&View{Now: now, Engine: engine(6), Targets: c.targets, Wants: c.wants, Rate: c.rate, Risk: c.risk, StoreLoads: c.store})

			var got []string
			for _, m := range round.Moves {
				got = append(got, fmt.Sprintf("%s %s", m.Load, m.For))
			}

			assert.DeepEqual(t, got, c.want)
		})
	}
}

// older returns the target under another name, and with an order in hand.
func (t Target) older() Target {
	t.ID, t.Free, t.FreeIn = "older", false, time.Minute

	return t
}

// TestForetold: callers wait for models that the weight store cannot load yet.
// Each hears when its model can be had: after the loads in hand, and after
// those of models that are worth more.
func TestForetold(t *testing.T) {
	v := &View{
		Now: now, Engine: engine(4), Targets: []Target{on("a"), on("b")},
		Wants:     []Want{waiting("m0"), waiting("m1"), waiting("m2"), waiting("m3")},
		Rate:      map[string]float64{"m0": 1, "m1": 4, "m2": 3, "m3": 2},
		StoreEnds: []time.Duration{2 * time.Second}, StoreLoads: 1,
	}

	round := Plan(v)
	assert.Equal(t, round.Moves[0].Load, "m1")
	assert.DeepEqual(t, round.Ready, map[string]time.Duration{"m2": 8 * time.Second, "m3": 12 * time.Second, "m0": 14 * time.Second})
}

// TestPromisesHold: a caller was refused and told when to come back. Requests
// for other models have come since, each worth as much and a little newer. What
// was promised first is loaded first, though nobody waits for it any more; the
// newer ones had gone first each time, and callers came back for nothing.
func TestPromisesHold(t *testing.T) {
	v := &View{
		Now: now, Engine: engine(4), Targets: []Target{on("a", "m3")}, StoreLoads: 1, Wants: []Want{waiting("m1"), waiting("m2")},
		Rate:     map[string]float64{"m0": 0.05, "m1": 0.16, "m2": 0.16},
		Habit:    map[string]float64{"m0": 0.2, "m1": 0.05, "m2": 0.05},
		Promised: map[string]time.Time{"m0": now.Add(-5 * time.Second)},
	}

	round := Plan(v)
	assert.Equal(t, len(round.Moves), 1)
	assert.Equal(t, round.Moves[0].Load, "m0")
	assert.Equal(t, round.Moves[0].For, ReasonWaiting)
}

// mostWorth returns the most that so many loads can be worth.
func mostWorth(worth []float64, loads int) float64 {
	slices.SortFunc(worth, func(a, b float64) int { return -cmp.Compare(a, b) })

	sum := 0.0
	for _, w := range worth[:min(loads, len(worth))] {
		sum += w
	}

	return sum
}

// TestStoreAgainstNaive compares the loads from the weight store with a naive
// choice that goes through all models and takes those worth most, on sites of
// empty targets.
func TestStoreAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &View{Now: now, Engine: engine(8), Rate: map[string]float64{}, StoreLoads: rapid.IntRange(0, 4).Draw(t, "store")}

		for i := range rapid.IntRange(1, 5).Draw(t, "targets") {
			v.Targets = append(v.Targets, on(instance.ID(fmt.Sprint("t", i))))
		}

		var worth []float64

		for _, m := range slices.Sorted(maps.Keys(v.Engine.Models)) {
			v.Rate[m] = rapid.Float64Range(0, 10).Draw(t, "rate")

			if rapid.Bool().Draw(t, "waits") {
				v.Wants = append(v.Wants, waiting(m))
				worth = append(worth, max(v.Rate[m], defaultRate))
			}
		}

		got := 0.0

		for _, m := range Plan(v).Moves {
			assert.Equal(t, m.From, target.TierRemote)

			got += max(v.Rate[m.Load], defaultRate)
		}

		// What nobody waits for may come first, but only where it is worth more.
		most := mostWorth(worth, min(v.StoreLoads, len(v.Targets)))
		assert.Assert(t, got >= most-1e-9, "%v instead of %v", got, most)
	})
}
