package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

var now = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// newSnapshot returns a snapshot with targets t0, t1, … of 100 bytes each and
// with the given rows.
func newSnapshot(targets int, rows ...ledger.Row) *Snapshot {
	v := &Snapshot{
		Now: now, Ledger: &ledger.Ledger{}, Models: make(map[string]weight.Checkpoint),
		FreeLoads: 4, FreeAdapterLoads: 32, BytesPerSecond: 10, Weights: WeightsFor(0.5),
	}

	for i := range targets {
		v.Targets = append(v.Targets, Target{
			ID: instance.ID(fmt.Sprint("t", i)), Memory: 100, Speed: 1, Slots: 4, Usable: true,
		})
	}

	for _, name := range []string{"a", "b", "c", "d"} {
		v.Models[name] = weight.Checkpoint{Name: name, Bytes: 60}
	}

	v.Models["a+"] = weight.Checkpoint{Name: "a+", Base: "a", Bytes: 5}
	v.Models["huge"] = weight.Checkpoint{Name: "huge", Bytes: 101}

	for _, r := range rows {
		v.Ledger.Adopt(r)
	}

	return v
}

// rates is a forecast that does not depend on the time.
type rates map[string]float64

func (r rates) Rate(model string, _ time.Time, _ time.Duration) float64 { return r[model] }

func row(t, model string, phase target.Phase, change ...func(*ledger.Row)) ledger.Row {
	r := ledger.Row{
		Key: ledger.Key{Target: instance.ID(t), Model: model}, Bytes: 60, Version: 1,
		State: ledger.State{Phase: phase, Since: now.Add(-20 * time.Minute), LastUsed: now.Add(-time.Minute)},
	}
	for _, c := range change {
		c(&r)
	}

	return r
}

func waiting(model string) Demand {
	return Demand{Model: model, Plan: "p", Waiting: 1, Deadline: now.Add(time.Minute)}
}

func TestDecide(t *testing.T) {
	load := func(t, m string, ready time.Duration) Load {
		return Load{Target: instance.ID(t), Model: m, Bytes: 60, Plan: "p", ReadyIn: ready}
	}

	for name, tc := range map[string]struct {
		snapshot *Snapshot
		demand   []Demand
		change   func(*Snapshot)
		want     []Decision
	}{
		"no demand":               {snapshot: newSnapshot(2)},
		"load on an empty target": {snapshot: newSnapshot(1), demand: []Demand{waiting("a")}, want: []Decision{load("t0", "a", 6*time.Second)}},
		"model is ready already":  {snapshot: newSnapshot(1, row("t0", "a", target.Ready)), demand: []Demand{waiting("a")}},
		"model is loading already": {
			snapshot: newSnapshot(1, row("t0", "a", target.Loading)), demand: []Demand{waiting("a")},
			want: []Decision{Predict{Model: "a", ReadyIn: minPrediction}},
		},
		"target with cached weights first": {
			snapshot: newSnapshot(3), demand: []Demand{waiting("a")},
			change: func(v *Snapshot) { v.Targets[1].Cached = map[string]target.Tier{"a": target.TierDisk} },
			want:   []Decision{load("t1", "a", 2*time.Second)},
		},
		"faster target first": {
			snapshot: newSnapshot(3), demand: []Demand{waiting("a")},
			change: func(v *Snapshot) { v.Targets[2].Speed = 4 },
			want:   []Decision{load("t2", "a", 6*time.Second)},
		},
		"evict an idle replica": {
			snapshot: newSnapshot(1, row("t0", "b", target.Ready)), demand: []Demand{waiting("a")},
			want: []Decision{Retire{Target: "t0", Model: "b", ForModel: "a"}, Predict{Model: "a", ReadyIn: 6 * time.Second}},
		},
		"no eviction of a running replica": {
			snapshot: newSnapshot(1, row("t0", "b", target.Ready, func(r *ledger.Row) { r.State.Running = 1 })),
			demand:   []Demand{waiting("a")},
			want:     []Decision{Predict{Model: "a", ReadyIn: 8 * time.Second}},
		},
		"no eviction of a model with waiting requests": {
			snapshot: newSnapshot(1, row("t0", "b", target.Ready)), demand: []Demand{waiting("a"), waiting("b")},
			want: []Decision{Predict{Model: "a", ReadyIn: 8 * time.Second}},
		},
		"memory of a stuck unload does not count as free": {
			snapshot: newSnapshot(1, row("t0", "b", target.Unloading, func(r *ledger.Row) {
				r.State.Retiring, r.State.Stuck = true, true
			})),
			demand: []Demand{waiting("a")},
			want:   []Decision{Predict{Model: "a", ReadyIn: 8 * time.Second}},
		},
		"deadline too close to wait for memory": {
			snapshot: newSnapshot(1, row("t0", "b", target.Ready, func(r *ledger.Row) { r.State.Running = 1 })),
			demand:   []Demand{{Model: "a", Plan: "p", Waiting: 1, Deadline: now.Add(7 * time.Second)}},
			want:     []Decision{Deny{Model: "a", Reason: ReasonBusy, RetryAfter: retryAfterBusy}},
		},
		"model larger than any target": {
			snapshot: newSnapshot(2), demand: []Demand{waiting("huge")},
			want: []Decision{Deny{Model: "huge", Reason: ReasonTooLarge}},
		},
		"unknown model": {
			snapshot: newSnapshot(2), demand: []Demand{waiting("nope")},
			want: []Decision{Deny{Model: "nope", Reason: ReasonUnknown}},
		},
		"no target": {
			snapshot: newSnapshot(0), demand: []Demand{waiting("a")},
			want: []Decision{Deny{Model: "a", Reason: ReasonNoTarget, RetryAfter: retryAfterBusy}},
		},
		"a lost target's replica does not serve": {
			snapshot: newSnapshot(2, row("t0", "a", target.Ready)), demand: []Demand{waiting("a")},
			change: func(v *Snapshot) { v.Targets[0].Lost, v.Targets[0].Usable = true, false },
			want:   []Decision{load("t1", "a", 6*time.Second)},
		},
		"cancel a retirement": {
			snapshot: newSnapshot(1, row("t0", "a", target.Ready, func(r *ledger.Row) { r.State.Retiring = true })),
			demand:   []Demand{waiting("a")},
			want:     []Decision{CancelRetire{Target: "t0", Model: "a"}},
		},
		"base before adapter": {
			snapshot: newSnapshot(1), demand: []Demand{waiting("a+")},
			want: []Decision{load("t0", "a", 6*time.Second), Predict{Model: "a+", ReadyIn: 6 * time.Second}},
		},
		"adapter beside its base": {
			snapshot: newSnapshot(2, row("t1", "a", target.Ready)), demand: []Demand{waiting("a+")},
			want: []Decision{Load{
				Target: "t1", Model: "a+", Base: "a", Bytes: 5, Plan: "p", ReadyIn: 500 * time.Millisecond,
			}},
		},
		"second replica when crowded": {
			snapshot: newSnapshot(2, row("t0", "a", target.Ready, func(r *ledger.Row) { r.State.Running = 4 })),
			demand:   []Demand{{Model: "a", Plan: "p", Waiting: 3, Running: 4, Deadline: now.Add(time.Minute)}},
			want:     []Decision{load("t1", "a", 6*time.Second)},
		},
		"no load of the weight store left": {
			snapshot: newSnapshot(1), demand: []Demand{waiting("a")},
			change: func(v *Snapshot) { v.FreeLoads = 0 },
			want:   []Decision{Predict{Model: "a", ReadyIn: 12 * time.Second}},
		},
		"limit of loads per hour": {
			snapshot: newSnapshot(1), demand: []Demand{waiting("a")},
			change: func(v *Snapshot) { v.Targets[0].LoadsLastHour = v.Weights.LoadsPerHour },
			want:   []Decision{Predict{Model: "a", ReadyIn: 8 * time.Second}},
		},
		"idle for too long": {
			snapshot: newSnapshot(1, row("t0", "a", target.Ready, func(r *ledger.Row) { r.State.LastUsed = now.Add(-time.Hour) })),
			want:     []Decision{Retire{Target: "t0", Model: "a"}},
		},
		"idle, but use predicted soon": {
			snapshot: newSnapshot(1, row("t0", "a", target.Ready, func(r *ledger.Row) { r.State.LastUsed = now.Add(-time.Hour) })),
			change:   func(v *Snapshot) { v.Forecast = rates{"a": 0.01} },
		},
		"no use predicted soon": {
			snapshot: newSnapshot(1, row("t0", "a", target.Ready)),
			change:   func(v *Snapshot) { v.Forecast = rates{"a": 0.00001} },
			want:     []Decision{Retire{Target: "t0", Model: "a"}},
		},
		"load ahead of predicted use": {
			snapshot: newSnapshot(1),
			change:   func(v *Snapshot) { v.Forecast, v.Candidates = rates{"a": 0.01}, []string{"a", "b"} },
			want:     []Decision{Load{Target: "t0", Model: "a", Bytes: 60, ReadyIn: 6 * time.Second}},
		},
		"base that is predicted for itself and for its adapter is loaded once": {
			snapshot: newSnapshot(3),
			change:   func(v *Snapshot) { v.Forecast, v.Candidates = rates{"a": 1, "a+": 1}, []string{"a", "a+"} },
			want: []Decision{
				Load{Target: "t0", Model: "a", Bytes: 60, ReadyIn: 6 * time.Second},
				Predict{Model: "a+", ReadyIn: 6 * time.Second},
			},
		},
		"prediction evicts no model": {
			snapshot: newSnapshot(1, row("t0", "b", target.Ready)),
			change:   func(v *Snapshot) { v.Forecast, v.Candidates = rates{"a": 0.01, "b": 0.01}, []string{"a"} },
		},
		"backoff after a failed load": {
			snapshot: newSnapshot(2, row("t0", "a", target.Failed, func(r *ledger.Row) {
				r.State.Since, r.State.Failures = now, 9
			})),
			demand: []Demand{waiting("a")},
			want: []Decision{Deny{
				Model: "a", Reason: ReasonFailing, RetryAfter: backoff(WeightsFor(0.5), 9, "a"),
			}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tc.snapshot.Demand = tc.demand
			if tc.change != nil {
				tc.change(tc.snapshot)
			}

			assert.DeepEqual(t, Decide(tc.snapshot), tc.want)
		})
	}
}

// TestUrgentFirst checks that, if only one load may start, it is that of the
// model whose waiting request has the highest priority.
func TestUrgentFirst(t *testing.T) {
	v := newSnapshot(3)
	v.FreeLoads = 1
	late, early, high := waiting("a"), waiting("b"), waiting("c")
	early.Deadline = now.Add(30 * time.Second)
	high.Priority = 9
	v.Demand = []Demand{late, early, high}

	loads := slices.DeleteFunc(Decide(v), notLoad)
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].(Load).Model, "c")
}

func notLoad(d Decision) bool {
	_, ok := d.(Load)

	return !ok
}

// TestInvariants checks the invariants of a round in random states: its loads
// do not overcommit the memory of a target, it starts at most FreeLoads and
// FreeAdapterLoads loads, it loads no model twice, it retires no replica with
// running requests, and it evicts no model with demand for another model.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newSnapshot(rapid.IntRange(0, 4).Draw(t, "targets"))
		v.FreeLoads = rapid.IntRange(0, 4).Draw(t, "loads")
		v.FreeAdapterLoads = rapid.IntRange(0, 2).Draw(t, "adapterLoads")

		names := []string{"a", "b", "c", "d", "a+", "huge", "nope"}
		phases := []target.Phase{target.Loading, target.Ready, target.Unloading, target.Failed}

		for i := range v.Targets {
			v.Targets[i].Usable = rapid.Bool().Draw(t, "usable")
			v.Targets[i].Lost = rapid.Bool().Draw(t, "lost")

			for _, m := range names[:5] {
				if !rapid.Bool().Draw(t, "has") {
					continue
				}

				r := row(string(v.Targets[i].ID), m, rapid.SampledFrom(phases).Draw(t, "phase"))
				r.Bytes, r.Base = v.Models[m].Bytes, v.Models[m].Base
				r.State.Running = rapid.IntRange(0, 1).Draw(t, "running")
				r.State.Retiring = rapid.Bool().Draw(t, "retiring")
				r.State.LastUsed = now.Add(-time.Duration(rapid.IntRange(0, 7200).Draw(t, "unused")) * time.Second)
				_, _ = v.Ledger.Reserve(r, v.Targets[i].Memory)
			}
		}

		for _, m := range names {
			if rapid.Bool().Draw(t, "demand") {
				v.Demand = append(v.Demand, Demand{
					Model: m, Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), Deadline: now.Add(time.Minute),
				})
			}
		}

		if rapid.Bool().Draw(t, "forecast") {
			v.Forecast = rates{"a": 1, "b": 1, "a+": 1, "c": 0.0001}
			v.Candidates = names[:5]
		}

		checkDecisions(t, v, Decide(v))
	})
}

func checkDecisions(t *rapid.T, v *Snapshot, decisions []Decision) {
	loadedBytes := make(map[instance.ID]int64)
	loaded := make(map[string]int)
	loads, adapters := 0, 0

	for _, d := range decisions {
		switch d := d.(type) {
		case Load:
			at := slices.IndexFunc(v.Targets, func(t Target) bool { return t.ID == d.Target })
			loadedBytes[d.Target] += d.Bytes
			loaded[d.Model]++

			if v.Ledger.UsedBytes(d.Target)+loadedBytes[d.Target] > v.Targets[at].Memory {
				t.Fatalf("%v overcommits the memory of %s", d, d.Target)
			}

			if !v.Targets[at].Usable || v.Ledger.Row(ledger.Key{Target: d.Target, Model: d.Model}) != nil {
				t.Fatalf("%v: target unusable or model resident", d)
			}

			if d.Base == "" {
				loads++
			} else {
				adapters++
			}
		case Retire:
			r := v.Ledger.Row(ledger.Key{Target: d.Target, Model: d.Model})
			hasDemand := slices.ContainsFunc(v.Demand, func(dem Demand) bool { return dem.Model == d.Model })

			if r.State.Running > 0 || d.ForModel != "" && hasDemand {
				t.Fatalf("%v: replica is in use", d)
			}
		}
	}

	for m, n := range loaded {
		if n > 1 {
			t.Fatalf("%d loads of %s in one round", n, m)
		}
	}

	if loads > v.FreeLoads || adapters > v.FreeAdapterLoads {
		t.Fatalf("%d loads and %d adapter loads, at most %d and %d allowed", loads, adapters, v.FreeLoads, v.FreeAdapterLoads)
	}
}

// BenchmarkDecide runs rounds with up to 1,280 targets and 40,000 models, with
// demand for one model in fifty.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ targets, models int }{{13, 400}, {128, 4000}, {1280, 40000}} {
		b.Run(fmt.Sprintf("targets=%d/models=%d", size.targets, size.models), func(b *testing.B) {
			v := &Snapshot{
				Now: now, Ledger: &ledger.Ledger{}, Models: make(map[string]weight.Checkpoint),
				FreeLoads: 4, FreeAdapterLoads: 32, BytesPerSecond: 1e9, Weights: WeightsFor(0.5),
			}

			for i := range size.targets {
				v.Targets = append(v.Targets, Target{
					ID: instance.ID(fmt.Sprintf("t%05d", i)), Memory: 80e9, Speed: 1, Slots: 8, Usable: true,
				})
			}

			for i := range size.models {
				name := fmt.Sprintf("m%05d", i)
				v.Models[name] = weight.Checkpoint{Name: name, Bytes: 10e9}

				if i%5 == 0 {
					at := string(v.Targets[i%size.targets].ID)
					_, _ = v.Ledger.Reserve(row(at, name, target.Ready), 80e9)
				}

				if i%50 == 0 {
					v.Demand = append(v.Demand, waiting(name))
				}
			}

			b.ReportAllocs()

			for b.Loop() {
				Decide(v)
			}
		})
	}
}
