package router

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func info(i int, change ...func(*TargetInfo)) TargetInfo {
	t := TargetInfo{
		ID: instance.ID(fmt.Sprintf("t%d", i)), Speed: 1, Slots: 8, Incarnation: "i",
		Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)),
	}
	for _, c := range change {
		c(&t)
	}

	return t
}

// tableOf returns a table with model m ready on all targets.
func tableOf(infos ...TargetInfo) *Table {
	s := &Snapshot{Token: 1, Number: 1, Targets: infos}
	for _, t := range infos {
		s.Added = append(s.Added, Replica{Target: t.ID, Model: "m"})
	}

	var t Table

	t.Apply(s, now)

	return &t
}

// TestApply applies snapshots that are late, repeated, have gaps or come from a
// former lease holder. The routing table must not go back, and a gap must be
// detected.
func TestApply(t *testing.T) {
	var table Table

	complete := &Snapshot{
		Token: 2, Number: 5, Targets: []TargetInfo{info(1), info(2)},
		Added: []Replica{{"t1", "a"}, {"t2", "a"}, {"t2", "b"}},
	}
	assert.Assert(t, table.Apply(complete, now))
	assert.Equal(t, len(table.Targets("a")), 2)

	// Late, or from a former lease holder: dropped, and no complete snapshot is
	// requested.
	assert.Assert(t, table.Apply(&Snapshot{Token: 1, Number: 99}, now))
	assert.Assert(t, table.Apply(&Snapshot{Token: 2, Number: 4, Base: 3, Removed: []Replica{{"t1", "a"}}}, now))
	assert.Equal(t, len(table.Targets("a")), 2)

	// A gap.
	assert.Assert(t, !table.Apply(&Snapshot{Token: 2, Number: 7, Base: 6}, now))
	assert.Assert(t, !table.Apply(&Snapshot{Token: 3, Number: 6, Base: 5}, now), "a delta of another lease term")

	old := table.Targets("a")[0]
	old.Begin(false)

	delta := &Snapshot{
		Token: 2, Number: 6, Base: 5, Targets: []TargetInfo{info(3)}, RemovedTargets: []instance.ID{"t2"},
		Removed: []Replica{{"t2", "a"}, {"t2", "b"}}, Added: []Replica{{"t3", "b"}, {"t1", "a"}},
		Waits: []Wait{{Model: "c", Reason: "why"}},
	}
	assert.Assert(t, table.Apply(delta, now))
	assert.Equal(t, len(table.Targets("a")), 1)
	assert.Equal(t, table.Targets("a")[0], old, "a target's counts are kept across snapshots")
	assert.Equal(t, table.Targets("b")[0].ID, instance.ID("t3"))
	assert.Assert(t, table.Target("t2") == nil)

	w, ok := table.Wait("c")
	assert.Assert(t, ok && w.Reason == "why")

	// Another cell's snapshot does not change this one's targets.
	assert.Assert(t, table.Apply(&Snapshot{Cell: 1, Token: 1, Number: 1, Targets: []TargetInfo{info(9)}}, now))
	assert.Equal(t, len(table.All()), 3)

	// A new lease holder's complete snapshot removes what it does not list.
	assert.Assert(t, table.Apply(&Snapshot{Token: 3, Number: 1, Targets: []TargetInfo{info(1)}}, now))
	assert.Equal(t, len(table.Targets("a")), 0)
	assert.Equal(t, len(table.All()), 2)
}

// TestDeltasEqualCompleteState checks that a table that applied every delta
// equals the complete state at the end.
func TestDeltasEqualCompleteState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var deltas Table

		state := make(map[Replica]bool)
		targets := []TargetInfo{info(0), info(1), info(2)}
		deltas.Apply(&Snapshot{Token: 1, Number: 1, Targets: targets}, now)

		n := uint64(1)
		for range rapid.IntRange(0, 20).Draw(t, "deltas") {
			s := &Snapshot{Token: 1, Number: n + 1, Base: n}
			n++

			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				r := Replica{
					Target: targets[rapid.IntRange(0, 2).Draw(t, "target")].ID,
					Model:  fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "model")),
				}
				if slices.Contains(s.Added, r) || slices.Contains(s.Removed, r) {
					continue
				}

				if state[r] {
					s.Removed = append(s.Removed, r)
				} else {
					s.Added = append(s.Added, r)
				}

				state[r] = !state[r]
			}

			if !deltas.Apply(s, now) {
				t.Fatal("a delta was not applied")
			}
		}

		for m := range 4 {
			model := fmt.Sprint("m", m)

			for _, info := range targets {
				has := slices.ContainsFunc(deltas.Targets(model), func(t *Target) bool { return t.ID == info.ID })
				if has != state[Replica{info.ID, model}] {
					t.Fatalf("%s on %s: %v", model, info.ID, has)
				}
			}
		}
	})
}

// TestChooseRefuses lists targets that must not be chosen, and similar ones
// that may.
func TestChooseRefuses(t *testing.T) {
	q := func() *Query { return &Query{Entries: 1, Now: now} }

	for name, tc := range map[string]struct {
		info TargetInfo
		prep func(*Target, *Query)
		want bool
	}{
		"free":    {info: info(1), want: true},
		"leaving": {info: info(1, func(t *TargetInfo) { t.Leaving = true })},
		"down":    {info: info(1, func(t *TargetInfo) { t.Down = true })},
		"excluded": {info: info(1), prep: func(_ *Target, q *Query) {
			q.Exclude = []instance.ID{"t1"}
		}},
		"full": {info: info(1, func(t *TargetInfo) { t.Slots = 1 }), prep: func(t *Target, _ *Query) { t.Begin(false) }},
		"another suspect runs there": {info: info(1), prep: func(t *Target, q *Query) {
			q.Suspect = true

			t.Begin(true)
		}},
		"found dead": {info: info(1), prep: func(t *Target, _ *Query) { t.MarkDead("i", now) }},
		"an earlier incarnation was found dead": {
			info: info(1), prep: func(t *Target, _ *Query) { t.MarkDead("h", now) }, want: true,
		},
		"the only one, ejected": {info: info(1), prep: func(t *Target, _ *Query) {
			for range failuresToEject {
				t.RecordFailure(now)
			}
		}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			table, query := tableOf(tc.info), q()
			if tc.prep != nil {
				tc.prep(table.Target("t1"), query)
			}

			assert.Equal(t, Choose(table.Targets("m"), query) != nil, tc.want)
		})
	}
}

// TestBackAfterLeaving restarts a leaving target under the same id and address.
// An entry whose table kept the target during the restart must use the new
// process. A late report of the former process must not make the target usable.
func TestBackAfterLeaving(t *testing.T) {
	table := tableOf(info(1, func(i *TargetInfo) { i.Leaving = true }))
	next := func(number uint64, change func(*TargetInfo)) *Target {
		table.Apply(&Snapshot{Token: 1, Number: number, Targets: []TargetInfo{info(1, change)}, Added: []Replica{{Target: "t1", Model: "m"}}}, now)

		return Choose(table.Targets("m"), &Query{Entries: 1, Now: now})
	}

	assert.Assert(t, next(102, func(*TargetInfo) {}) == nil, "the same process")
	assert.Assert(t, next(103, func(i *TargetInfo) { i.Incarnation = "new" }) != nil, "a new process")
	assert.Assert(t, next(104, func(i *TargetInfo) { i.Incarnation, i.Leaving = "new", true }) == nil, "the new one leaves")
}

// TestFailingFast guards against a target that fails every request immediately
// and so looks like the fastest. After three consecutive failures it must get no
// requests for a while, and the other of two targets must stay usable.
func TestFailingFast(t *testing.T) {
	table := tableOf(info(1), info(2))
	bad := table.Target("t1")

	for range failuresToEject {
		bad.RecordFailure(now)
	}

	for range 100 {
		assert.Equal(t, Choose(table.Targets("m"), &Query{Entries: 1, Now: now}).ID, instance.ID("t2"))
	}

	seen := false
	for range 100 {
		seen = seen || Choose(table.Targets("m"), &Query{Entries: 1, Now: now.Add(ejection)}) == bad
	}

	assert.Assert(t, seen, "the target is used again")
}

// simulate serves a steady load on entries with lagging reports and returns the
// sorted times to first token. choose chooses the targets.
func simulate(speeds []float64, choose func([]*Target, *Query) *Target) []time.Duration {
	const (
		entries  = 8
		load     = 0.85
		requests = 20000
		service  = 100 * time.Millisecond
		lag      = 500 * time.Millisecond
		slots    = 8
	)

	rng := rand.New(rand.NewPCG(1, 1))

	infos := make([]TargetInfo, len(speeds))
	capacity := 0.0

	for i, s := range speeds {
		infos[i] = info(i, func(t *TargetInfo) { t.Speed, t.Slots = s, slots })
		capacity += s * slots / service.Seconds()
	}

	tables := make([]*Table, entries)
	for e := range tables {
		tables[e] = tableOf(infos...)
	}

	type running struct {
		target *Target
		end    time.Time
		at     int
	}

	var (
		active      []running
		busy        = make([]int, len(speeds))
		free        = make([][]time.Time, len(speeds))
		firstTokens []time.Duration
		clock       = now
		report      = now
		number      = uint64(1)
	)

	for i := range free {
		free[i] = make([]time.Time, slots)
	}

	for range requests {
		clock = clock.Add(time.Duration(rng.ExpFloat64() / (capacity * load) * float64(time.Second)))

		active = slices.DeleteFunc(active, func(r running) bool {
			if r.end.After(clock) {
				return false
			}

			r.target.End(false)
			busy[r.at]--

			return true
		})

		if clock.Sub(report) >= lag {
			report = clock
			s := &Snapshot{Token: 1, Number: number + 1, Base: number}
			number++

			for i := range infos {
				t := infos[i]
				t.Running, t.Waiting = min(busy[i], slots), max(0, busy[i]-slots)
				s.Targets = append(s.Targets, t)
			}

			for _, table := range tables {
				table.Apply(s, clock)
			}
		}

		table := tables[rng.IntN(entries)]

		t := choose(table.Targets("m"), &Query{Entries: entries, Now: clock, Affinity: fmt.Sprint(rng.IntN(1000))})
		if t == nil {
			firstTokens = append(firstTokens, time.Minute)

			continue
		}

		at := slices.IndexFunc(infos, func(i TargetInfo) bool { return i.ID == t.ID })
		slot := 0

		for s := range free[at] {
			if free[at][s].Before(free[at][slot]) {
				slot = s
			}
		}

		begin := clock
		if free[at][slot].After(begin) {
			begin = free[at][slot]
		}

		took := time.Duration(float64(service) / speeds[at])
		free[at][slot] = begin.Add(took)
		firstTokens = append(firstTokens, begin.Sub(clock)+took/2)

		inFlight := t.InFlight()
		t.Begin(false)
		t.RecordSuccess(begin.Sub(clock)+took/2, inFlight)

		busy[at]++

		active = append(active, running{target: t, end: begin.Add(took), at: at})
	}

	slices.Sort(firstTokens)

	return firstTokens
}

// mixed lists the speeds of targets, which differ by up to a factor of four.
var mixed = []float64{1, 4, 1, 2, 1, 4, 2, 1}

func p95(all []time.Duration) time.Duration { return all[len(all)*95/100] }

func random(targets []*Target, _ *Query) *Target { return targets[rand.IntN(len(targets))] }

func fewestInFlight(targets []*Target, _ *Query) *Target {
	return slices.MinFunc(targets, func(a, b *Target) int { return a.InFlight() - b.InFlight() })
}

func roundRobin() func([]*Target, *Query) *Target {
	n := 0

	return func(targets []*Target, _ *Query) *Target {
		n++

		return targets[n%len(targets)]
	}
}

// TestPolicyAgainstNaive checks that Choose has a lower time to first token
// than simple policies, with mixed speeds, a report lag of 500 ms and eight
// entries.
func TestPolicyAgainstNaive(t *testing.T) {
	policy := p95(simulate(mixed, Choose))
	naive := map[string]time.Duration{
		"random":           p95(simulate(mixed, random)),
		"round robin":      p95(simulate(mixed, roundRobin())),
		"fewest in flight": p95(simulate(mixed, fewestInFlight)),
	}

	for name, d := range naive {
		assert.Assert(t, policy < d, "policy %s, %s %s", policy, name, d)
	}

	t.Logf("p95 time to first token: policy %s, naive %v", policy, naive)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1, 8, 128, 3300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			infos := make([]TargetInfo, n)
			for i := range infos {
				infos[i] = info(i)
			}

			targets := tableOf(infos...).Targets("m")
			q := &Query{Affinity: "a model and the beginning of a prompt", Entries: 8, Now: now}

			b.ReportAllocs()

			for b.Loop() {
				Choose(targets, q)
			}
		})
	}
}
