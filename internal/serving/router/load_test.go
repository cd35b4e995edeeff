package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// TestManyEntriesFillATarget runs 83 entries and one target that has free
// slots. Bursts of requests arrive at some entries only. Requests must not wait
// for slots that are set aside for entries without requests, and must not
// overfill the target's own queue.
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
		// A step takes 100 ms, and every fourth step brings a report.
		if step%4 == 0 {
			number++

			for _, table := range tables {
				table.Apply(&Snapshot{
					Token: 1, Number: number, Targets: []TargetInfo{{ID: "t", Slots: slots, Speed: 1, Running: running}}, Added: []Replica{{Target: "t", Model: "m"}},
				}, now)
			}
		}

		now = now.Add(100 * time.Millisecond)

		// Each request runs for about a second.
		for _, table := range tables {
			for target := table.Target("t"); target.InFlight() > 0 && r.IntN(10) == 0; running-- {
				target.End(false)
			}
		}

		// In two of three steps, three requests arrive at one entry.
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

	// If each entry assumed 83 competitors, 547 of the 801 requests would wait.
	assert.Assert(t, waited < 300, "%d waited", waited)
	assert.Assert(t, most <= slots+queue/2, "%d ran at once", most)
}

// TestEqualTargetsShareALoad guards against one of three equal targets of a
// plain service receiving six of seven requests from all entries while the
// others are idle. The running requests of plain services are not reported,
// only those of engines.
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
		// A step takes 100 ms, and every fourth step brings a report.
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
				for target.InFlight() > 0 {
					target.RecordSuccess(time.Duration(80+r.IntN(20))*time.Millisecond, target.InFlight())
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

// TestFullTargetDrains runs 83 entries that all have queued requests for a
// model on one target, more than the target can run. If it got one request from
// each entry, it would have three times its slots, and no client would get its
// first event in time.
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
			for target, n := table.Target("t"), table.Target("t").InFlight(); n > 0; n-- {
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

	// With one request from each entry 83 would run, and more if some entries had
	// several.
	assert.Assert(t, most <= 2*slots, "%d ran at once", most)
	// The target takes up to 40 requests (32 slots times the headroom), and a third
	// of them end before each report.
	assert.Assert(t, served > 200*slots/4, "%d served", served)
}

// TestOneCount publishes a target 25 times with each of two counts of running
// requests, as happens after a power loss of all entries. Publishing the same
// count again must not let entries use the free slots again.
func TestOneCount(t *testing.T) {
	var table Table

	now := time.Unix(1000, 0)

	begun := 0

	for number := range uint64(50) {
		table.Apply(&Snapshot{
			Token: 1, Number: 1 + number, Added: []Replica{{Target: "t", Model: "m"}},
			Targets: []TargetInfo{{ID: "t", Slots: 32, Speed: 1, CountID: 1 + number/25}},
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

	// For each of the two counts, the entry's share is 40 slots (32 times the
	// headroom) divided by maxCompetitors (eight), possibly rounded up by one.
	assert.Assert(t, begun <= 2*(40/maxCompetitors+1), "%d begun", begun)
}

// TestOneClientAmongManyEntries guards against a client of a rare model waiting
// although the target is empty, because all entries are assumed to have
// requests for the model.
func TestOneClientAmongManyEntries(t *testing.T) {
	const entries = 195

	for name, tc := range map[string]struct {
		waitingEntries, least, most int
	}{
		"at most eight entries have queued requests": {waitingEntries: 8, least: 1, most: 2},
		"all entries may have queued requests":       {waitingEntries: 256, least: 0, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table

			now := time.Unix(1000, 0)
			table.Apply(&Snapshot{
				Token: 1, Number: 1, Added: []Replica{{Target: "t", Model: "m"}},
				Targets: []TargetInfo{{ID: "t", Slots: 12, Speed: 1, WaitingEntries: tc.waitingEntries}},
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
