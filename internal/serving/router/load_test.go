package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// TestManyEntriesFillATarget: on a site of 83 entries a model is on one target,
// which has room. Bursts of requests come to some entries and not to others.
// They must not wait for places that entries without requests could take, and
// must not be so many that the target's own queue overflows.
func TestManyEntriesFillATarget(t *testing.T) {
	const (
		entries = 83
		slots   = 32
		queue   = 3 * slots
	)

	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = &Table{}
	}

	now := time.Unix(1000, 0)
	running, number, waited, most := 0, uint64(0), 0, 0
	r := rand.New(rand.NewPCG(1, 2))

	for step := range 400 {
		// A report every fourth step, of 100 ms each.
		if step%4 == 0 {
			number++

			for _, table := range tables {
				table.Apply(&Snapshot{
					Token: 1, Number: number, Targets: []TargetInfo{{ID: "t", Slots: slots, Speed: 1, Running: running}}, Added: []Replica{{Target: "t", Model: "m"}},
				}, now)
			}
		}

		now = now.Add(100 * time.Millisecond)

		// Each request runs for a second or so.
		for _, table := range tables {
			for target := table.Target("t"); target.Own() > 0 && r.IntN(10) == 0; running-- {
				target.End(false)
			}
		}

		// Three requests come to one entry, two steps of three.
		if step%3 == 2 {
			continue
		}

		table := tables[r.IntN(entries)]

		for range 3 {
			target := Choose(table.Targets("m"), &Query{Entries: entries, Now: now})
			if target == nil {
				waited++

				continue
			}

			target.Begin(false)

			running++
		}

		most = max(most, running)
	}

	// With 83 rivals counted 547 of 801 had to wait.
	assert.Assert(t, waited < 300, "%d waited", waited)
	assert.Assert(t, most <= slots+queue/2, "%d ran at once", most)
}

// The same target of a service got the requests of all entries, six in seven of
// a whole site's, while two more like it stood idle. Nobody counts what runs
// there: only engines' places are reported.
func TestEqualTargetsShareALoad(t *testing.T) {
	const (
		entries = 84
		targets = 3
		slots   = 6
	)

	ids := []instance.ID{"t", "u", "v"}
	tables := make([]*Table, entries)

	for i := range tables {
		tables[i] = &Table{}
	}

	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 2))
	got := make(map[instance.ID]int)

	for step := range 400 {
		// A report every fourth step, of 100 ms each.
		if step%4 == 0 {
			for _, table := range tables {
				s := &Snapshot{Token: 1, Number: uint64(1 + step)}
				for _, id := range ids {
					s.Targets = append(s.Targets, TargetInfo{ID: id, Slots: slots, Speed: 1})
					s.Added = append(s.Added, Replica{Target: id, Model: "service/"})
				}

				table.Apply(s, now)
			}
		}

		now = now.Add(100 * time.Millisecond)

		for _, table := range tables {
			for _, id := range ids {
				target := table.Target(id)
				for target.Own() > 0 {
					target.Succeeded(time.Duration(80+r.IntN(20))*time.Millisecond, target.Own())
					target.End(false)
				}
			}
		}

		for range 12 {
			target := Choose(tables[r.IntN(entries)].Targets("service/"), &Query{Entries: entries, Now: now})
			if target == nil {
				continue
			}

			target.Begin(false)

			got[target.ID]++
		}
	}

	mean := 400 * 12 / targets
	for id, n := range got {
		assert.Check(t, n < mean*3/2, "%s got %d, the mean is %d", id, n, mean)
	}
}

// TestFullTargetDrains: a model is on one target, more requests come than it
// can run, and lines form at all 83 entries. The target must not get one of
// each: it then has three times its slots, and no caller gets its first event
// in time.
func TestFullTargetDrains(t *testing.T) {
	const (
		entries = 83
		slots   = 32
	)

	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = &Table{}
	}

	now := time.Unix(1000, 0)
	running, most, served := 0, 0, 0
	r := rand.New(rand.NewPCG(1, 2))

	for step := range 200 {
		now = now.Add(400 * time.Millisecond)

		for _, table := range tables {
			table.Apply(&Snapshot{
				Token: 1, Number: uint64(1 + step), Targets: []TargetInfo{{ID: "t", Slots: slots, Speed: 1, Running: running}}, Added: []Replica{{Target: "t", Model: "m"}},
			}, now)
		}

		// A third of the requests end before the next report.
		for _, table := range tables {
			for target, n := table.Target("t"), table.Target("t").Own(); n > 0; n-- {
				if r.IntN(3) == 0 {
					target.End(false)

					running--
					served++
				}
			}
		}

		for _, table := range tables {
			for {
				target := Choose(table.Targets("m"), &Query{Entries: entries, Waiting: 5, Now: now})
				if target == nil {
					break
				}

				target.Begin(false)

				running++
			}
		}

		most = max(most, running)
	}

	// Before, 83 ran at once, and more where entries had several already.
	assert.Assert(t, most <= 2*slots, "%d ran at once", most)
	// Of 40 places, slots and headroom, a third is free at each report.
	assert.Assert(t, served > 200*slots/4, "%d served", served)
}

// TestOneCount: a target's routing is published many times while what runs there
// was counted once, or, after a loss of power of all entries, not at all. Each
// publication must not hand out the free places again.
func TestOneCount(t *testing.T) {
	var table Table

	now := time.Unix(1000, 0)

	begun := 0

	for number := range uint64(50) {
		table.Apply(&Snapshot{
			Token: 1, Number: 1 + number, Added: []Replica{{Target: "t", Model: "m"}},
			Targets: []TargetInfo{{ID: "t", Slots: 32, Speed: 1, Count: 1 + number/25}},
		}, now)

		for {
			target := Choose(table.Targets("m"), &Query{Entries: 83, Now: now})
			if target == nil {
				break
			}

			target.Begin(false)

			begun++
		}
	}

	// Two counts, each with a part of 40 places by eight and one by lot.
	assert.Assert(t, begun <= 2*(40/maxCompetitors+1), "%d begun", begun)
}

// TestOneCallerAmongMany guards against a caller of a rare model that waits
// beside an empty target because all entries are taken to have callers for it.
func TestOneCallerAmongMany(t *testing.T) {
	const entries = 195

	for name, tc := range map[string]struct {
		lines, least, most int
	}{
		"one entry has a line":    {lines: 8, least: 1, most: 2},
		"all entries have a line": {lines: 256, least: 0, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table

			now := time.Unix(1000, 0)
			table.Apply(&Snapshot{
				Token: 1, Number: 1, Added: []Replica{{Target: "t", Model: "m"}},
				Targets: []TargetInfo{{ID: "t", Slots: 12, Speed: 1, Lines: tc.lines}},
			}, now)

			begun := 0

			for range 4 {
				if target := Choose(table.Targets("m"), &Query{Entries: entries, Waiting: 1, Now: now}); target != nil {
					target.Begin(false)

					begun++
				}
			}

			assert.Assert(t, begun >= tc.least && begun <= tc.most, "%d begun", begun)
		})
	}
}
