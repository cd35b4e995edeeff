package swap

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

var now = time.Unix(1000, 0)

func engine(models int) *route.Engine {
	e := &route.Engine{MemoryMB: 30, Slots: 24, AdapterSlots: 0, Models: make(map[string]route.Model)}

	for i := range models {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = route.Model{
			Name: name, MB: 10, FromStore: 6 * time.Second, FromDisk: 1600 * time.Millisecond, FromMemory: 1200 * time.Millisecond,
		}
	}

	return e
}

// targetWith returns a target on which the models are loaded, all last used a
// minute ago.
func targetWith(id instance.ID, models ...string) Target {
	t := Target{ID: id, AcceptsOrders: true, Serving: true, Cached: map[string]target.Tier{}}
	for _, m := range models {
		t.Resident = append(t.Resident, ResidentModel{Model: m, LastUsed: now.Add(-time.Minute)})
	}

	return t
}

func (t Target) withDisk(models ...string) Target {
	for _, m := range models {
		t.Cached[m] = target.TierDisk
	}

	return t
}

func waiting(model string) Demand {
	return Demand{Model: model, Waiting: 1, Deadline: now.Add(10 * time.Second)}
}

func TestDecide(t *testing.T) {
	busy := targetWith("a", "m0").withDisk("m3")
	busy.AcceptsOrders, busy.OrderEndsIn = false, time.Second

	long := busy
	long.OrderEndsIn = 9 * time.Second

	running := targetWith("a", "m0", "m1", "m2")
	running.Resident[0].Running = 1

	allRun := targetWith("a", "m0", "m1", "m2").withDisk("m3")
	for i := range allRun.Resident {
		allRun.Resident[i].Running = 1
	}

	waitMany := waiting("m3")
	waitMany.Waiting = evictRunningFrom

	last := waiting("m3")
	last.Deadline = now.Add(urgentBefore)

	cases := map[string]struct {
		targets []Target
		demands []Demand
		rate    map[string]float64
		// want are the swaps as target, load and unloads.
		want []string
	}{
		"from disk rather than from the store":                                       {[]Target{targetWith("a"), targetWith("b").withDisk("m3")}, []Demand{waiting("m3")}, nil, []string{"b m3 []"}},
		"from the store if no target has the weights":                                {[]Target{targetWith("a")}, []Demand{waiting("m3")}, nil, []string{"a m3 []"}},
		"no load of a resident model":                                                {[]Target{targetWith("a", "m3")}, []Demand{waiting("m3")}, nil, nil},
		"no order to a target with an order in flight":                               {[]Target{busy}, []Demand{waiting("m3")}, nil, nil},
		"wait for a target with the weights on disk rather than load from the store": {[]Target{busy, targetWith("b")}, []Demand{waiting("m3")}, nil, nil},
		"from the store if the target with the weights is busy for long":             {[]Target{long, targetWith("b")}, []Demand{waiting("m3")}, nil, []string{"b m3 []"}},
		"idle model is evicted":                                                      {[]Target{running.withDisk("m3")}, []Demand{waiting("m3")}, nil, []string{"a m3 [m1]"}},
		"model with the lowest rate is evicted": {
			[]Target{targetWith("a", "m0", "m1", "m2").withDisk("m3")}, []Demand{waiting("m3")}, map[string]float64{"m0": 1, "m1": 0.5, "m2": 2}, []string{"a m3 [m1]"},
		},
		"model with another replica is evicted": {
			[]Target{targetWith("a", "m0", "m1", "m2").withDisk("m3"), targetWith("b", "m2", "m4", "m5")},
			[]Demand{waiting("m3")},
			map[string]float64{"m0": 1, "m1": 1, "m2": 1},
			[]string{"a m3 [m2]"},
		},
		"models with waiting requests are not evicted": {
			[]Target{targetWith("a", "m0", "m1", "m2").withDisk("m3")}, []Demand{waiting("m0"), waiting("m1"), waiting("m2"), waiting("m3")}, nil, nil,
		},
		"wait for memory where the weights are rather than load from the store": {
			[]Target{targetWith("a", "m0", "m1", "m2").withDisk("m3"), targetWith("b")}, []Demand{waiting("m0"), waiting("m1"), waiting("m2"), waiting("m3")}, nil, nil,
		},
		"running model is not evicted for one waiting request": {[]Target{allRun}, []Demand{waiting("m3")}, nil, nil},
		"running model is evicted for many waiting requests":   {[]Target{allRun}, []Demand{waitMany}, nil, []string{"a m3 [m0]"}},
		"running model is evicted shortly before a deadline":   {[]Target{allRun}, []Demand{last}, nil, []string{"a m3 [m0]"}},
		"two models on two targets": {
			[]Target{targetWith("a").withDisk("m3", "m4"), targetWith("b").withDisk("m3", "m4")}, []Demand{waiting("m3"), waiting("m4")}, nil, []string{"a m3 []", "b m4 []"},
		},
		"another replica of a crowded model": {
			[]Target{targetWith("a", "m0"), targetWith("b").withDisk("m0")}, []Demand{{Model: "m0", Running: crowdedAbove(engine(6)) + 1}}, nil, []string{"b m0 []"},
		},
		"no load of an unknown model": {[]Target{targetWith("a")}, []Demand{waiting("other")}, nil, nil},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			swaps := Decide(&Snapshot{Now: now, Engine: engine(6), Targets: c.targets, Demands: c.demands, Rate: c.rate, FreeStoreLoads: 1}).Swaps

			var got []string
			for _, s := range swaps {
				got = append(got, fmt.Sprintf("%s %s %v", s.Target, s.Load, s.Unload))
			}

			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestOverloadedModel checks when a model is loaded from the weight store
// although it has a replica. The busiest model is on one target, and no other
// target has its weights on disk. While it is only crowded, it gets no further
// replica, because a load from the store blocks a target for seconds. When it
// is overloaded, it must get one, as long as the store has more free loads than
// reservedStoreLoads or the surplus of requests is worth highWorth or more.
func TestOverloadedModel(t *testing.T) {
	for name, c := range map[string]struct {
		running, store int
		rate           float64
		want           bool
	}{
		"crowded":                           {overloadedAbove(engine(1)), 4, 0, false},
		"overloaded":                        {overloadedAbove(engine(1)) + 1, 4, 0, true},
		"overloaded, last load is reserved": {overloadedAbove(engine(1)) + 1, reservedStoreLoads, 0, false},
		"large surplus takes the last load": {2 * overloadedAbove(engine(1)), reservedStoreLoads, 2 * highWorth, true},
		"large surplus, no load left":       {2 * overloadedAbove(engine(1)), 0, 2 * highWorth, false},
		"high rate, small surplus":          {overloadedAbove(engine(1)) + 1, reservedStoreLoads, 2 * highWorth, false},
		"many requests, low recent rate":    {4 * overloadedAbove(engine(1)), reservedStoreLoads, highWorth / 2, false},
	} {
		swaps := Decide(&Snapshot{
			Now: now, Engine: engine(1), Targets: []Target{targetWith("a", "m0"), targetWith("b")}, Demands: []Demand{{Model: "m0", Running: c.running}}, FreeStoreLoads: c.store,
			Rate: map[string]float64{"m0": c.rate},
		}).Swaps
		assert.Equal(t, len(swaps) == 1, c.want, name)
	}
}

// TestLoadAhead checks what is loaded without waiting requests: models without
// a replica, into free memory, from disk, or from the store if no disk has them
// and the store has more free loads than reservedStoreLoads. Half of the
// targets stay without an order.
func TestLoadAhead(t *testing.T) {
	cases := map[string]struct {
		targets []Target
		store   int
		want    []string
	}{
		"from disk":                     {[]Target{targetWith("a", "m0").withDisk("m1"), targetWith("b", "m2", "m3", "m4")}, 1, []string{"a m1 false"}},
		"half of the targets stay free": {[]Target{targetWith("a", "m0").withDisk("m1"), targetWith("b", "m2").withDisk("m3")}, 1, []string{"a m1 false"}},
		"no eviction":                   {[]Target{targetWith("a", "m0", "m1", "m2").withDisk("m3"), targetWith("b")}, 1, nil},
		"from the store if it has more than the reserved loads": {[]Target{targetWith("a"), targetWith("b", "m0", "m1", "m2").withDisk("m3", "m4")}, 2, []string{"a m5 true"}},
		"last load of the store is reserved":                    {[]Target{targetWith("a"), targetWith("b", "m0", "m1", "m2").withDisk("m3", "m4")}, 1, nil},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, s := range Decide(&Snapshot{Now: now, Engine: engine(6), Targets: c.targets, FreeStoreLoads: c.store}).Swaps {
				got = append(got, fmt.Sprintf("%s %s %t", s.Target, s.Load, s.Tier == target.TierRemote))
				assert.Equal(t, s.Reason, ReasonAhead)
			}

			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestDecideInvariants checks the invariants of a round in random states: no
// target gets more models than fit or more than one swap, no model with demand
// is evicted, no model is loaded where it is resident already, and the weight
// store gets at most as many loads as it may start.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine(12)
		models := rapid.SampledFrom(slices.Sorted(func(yield func(string) bool) {
			for name := range e.Models {
				if !yield(name) {
					return
				}
			}
		}))
		v := &Snapshot{Now: now, Engine: e, Rate: map[string]float64{}, FreeStoreLoads: rapid.IntRange(0, 3).Draw(t, "store")}

		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			resident := rapid.SliceOfNDistinct(models, 0, 3, rapid.ID).Draw(t, "held")
			one := targetWith(instance.ID(fmt.Sprintf("t%d", i)), resident...).withDisk(rapid.SliceOfN(models, 0, 5).Draw(t, "disk")...)
			one.AcceptsOrders = rapid.Bool().Draw(t, "free")

			for j := range one.Resident {
				one.Resident[j].Running = rapid.IntRange(0, 2).Draw(t, "running")
				one.Resident[j].Loading = rapid.Bool().Draw(t, "coming") && !one.AcceptsOrders
			}

			v.Targets = append(v.Targets, one)
		}

		for _, m := range rapid.SliceOfNDistinct(models, 0, 12, rapid.ID).Draw(t, "wanted") {
			v.Demands = append(v.Demands, waiting(m))
			v.Rate[m] = rapid.Float64Range(0, 5).Draw(t, "rate")
		}

		seen := make(map[instance.ID]bool)
		store := 0

		for _, s := range Decide(v).Swaps {
			i := slices.IndexFunc(v.Targets, func(t Target) bool { return t.ID == s.Target })
			at := v.Targets[i]

			assert.Assert(t, at.AcceptsOrders && !seen[s.Target])
			seen[s.Target] = true

			assert.Assert(t, !holds(&at, s.Load))
			assert.Assert(t, len(at.Resident)-len(s.Unload)+1 <= 3)

			for _, u := range s.Unload {
				assert.Assert(t, holds(&at, u))
				assert.Assert(t, !slices.ContainsFunc(v.Demands, func(w Demand) bool { return w.Model == u }))
			}

			if s.Tier == target.TierRemote {
				store++
			}
		}

		assert.Assert(t, store <= v.FreeStoreLoads)
	})
}

func TestPlaceAdapter(t *testing.T) {
	old := now.Add(-time.Minute)
	full := []LoadedAdapter{{Name: "m/a", LastUsed: old.Add(time.Second)}, {Name: "m/b", LastUsed: old}}
	inUse := []LoadedAdapter{{Name: "m/a", Running: 1}, {Name: "m/b", LastUsed: now}}

	cases := map[string]struct {
		targets []AdapterTarget
		want    AdapterSwap
		ok      bool
	}{
		"free slot":                                    {[]AdapterTarget{{ID: "a", Adapters: full}, {ID: "b", Running: 9}}, AdapterSwap{Target: "b"}, true},
		"target with fewer running requests":           {[]AdapterTarget{{ID: "a", Running: 2}, {ID: "b", Running: 1}}, AdapterSwap{Target: "b"}, true},
		"least recently used idle adapter is unloaded": {[]AdapterTarget{{ID: "a", Adapters: full}}, AdapterSwap{Target: "a", Unload: "m/b"}, true},
		"adapters in use are not unloaded":             {[]AdapterTarget{{ID: "a", Adapters: inUse}}, AdapterSwap{}, false},
		"no target has the model":                      {nil, AdapterSwap{}, false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := PlaceAdapter(c.targets, 2, now)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, got, c.want)
		})
	}
}

// BenchmarkDecide runs rounds in which requests wait for a tenth of the models.
// A round may take at most 2 ms for 12 targets and 65 models, and 10 ms for 94
// targets and 500 models.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ targets, models int }{{12, 65}, {18, 101}, {60, 195}, {94, 500}, {140, 431}, {1000, 4000}} {
		b.Run(fmt.Sprintf("%dx%d", size.targets, size.models), func(b *testing.B) {
			v := &Snapshot{Now: now, Engine: engine(size.models), FreeStoreLoads: 4, Rate: map[string]float64{}}

			for i := range size.targets {
				one := targetWith(instance.ID(fmt.Sprintf("t%04d", i)))
				for j := range 3 {
					one.Resident = append(one.Resident, ResidentModel{Model: fmt.Sprintf("m%d", (i*3+j)%size.models), LastUsed: now.Add(-time.Minute)})
				}

				for j := range 20 {
					one = one.withDisk(fmt.Sprintf("m%d", (i*7+j)%size.models))
				}

				v.Targets = append(v.Targets, one)
			}

			for i := 0; i < size.models; i += 10 {
				v.Demands = append(v.Demands, waiting(fmt.Sprintf("m%d", i)))
			}

			for b.Loop() {
				Decide(v)
			}
		})
	}
}
