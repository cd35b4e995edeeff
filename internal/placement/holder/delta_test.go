package holder

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// drawSnapshot draws a snapshot of a small data centre, so that engines often
// stay unchanged.
func drawSnapshot(t *rapid.T, token, number uint64) Snapshot {
	snapshot := Snapshot{Holder: "h", Process: fmt.Sprint("p", token), Token: token, Number: number}

	for i := range 4 {
		if rapid.IntRange(0, 4).Draw(t, "listed") == 0 {
			continue
		}

		state := EngineState{
			Target: instance.ID(fmt.Sprint("t", i)), Born: int64(rapid.IntRange(1, 2).Draw(t, "born")),
			Sequence: uint64(rapid.IntRange(0, 2).Draw(t, "sequence")), Running: rapid.IntRange(0, 5).Draw(t, "running"),
		}
		if rapid.Bool().Draw(t, "holds") {
			state.Resident = []ResidentModel{{Model: "m", Ready: time.Unix(int64(rapid.IntRange(0, 1).Draw(t, "ready")), 0)}}
		}

		snapshot.Engines = append(snapshot.Engines, state)
	}

	return snapshot
}

func sortedEngines(s Snapshot) []EngineState {
	out := slices.Clone(s.Engines)
	slices.SortFunc(out, func(a, b EngineState) int { return cmp.Compare(a.Target, b.Target) })

	return out
}

// TestDeltasAfterLosses guards against a mixture of snapshots at an entry
// after lost deltas, lost answers or a change of the holder. An entry must
// have what was published, except for small differences in running requests.
func TestDeltasAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3

		var (
			histories [entries]History
			// has are the versions that the holder has recorded for the
			// others.
			has    [entries]Version
			holder int
		)

		now := time.Unix(0, 0)
		token, number := uint64(1), uint64(0)

		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			number++

			if rapid.IntRange(0, 6).Draw(t, "handover") == 0 {
				token, number = token+1, 1
				holder = rapid.IntRange(0, entries-1).Draw(t, "holder")

				for other := range entries {
					has[other] = histories[holder].Snapshot().Version()
				}
			}

			latest := drawSnapshot(t, token, number)
			histories[holder].Publish(latest, now)

			for other := range entries {
				if other == holder {
					continue
				}

				delivered, answered := deliver(t, &histories[holder], &histories[other], &has[other], now)
				if !delivered || !answered {
					continue
				}

				if histories[other].Snapshot().Number != latest.Number {
					deliver(t, &histories[holder], &histories[other], &has[other], now)
				}

				if has[other] == latest.Version() {
					assertSameState(t, histories[other].Snapshot(), latest)
				}
			}
		}

		// Once nothing is lost, two deliveries bring every entry up to date.
		for other := range entries {
			if other == holder {
				continue
			}

			for range 2 {
				got, ok := histories[other].Apply(histories[holder].Since(has[other]))
				if ok {
					histories[other].Receive(got, now)
				}

				has[other] = histories[other].snapshot.Version()
			}

			assertSameState(t, histories[other].Snapshot(), histories[holder].Snapshot())
		}
	})
}

// deliver sends a delta. The delta or its answer may be lost. It reports
// whether each of them arrived.
func deliver(t *rapid.T, from, to *History, has *Version, now time.Time) (delivered, answered bool) {
	fate := rapid.IntRange(0, 4).Draw(t, "fate")
	if fate == 0 {
		return false, false
	}

	if got, ok := to.Apply(from.Since(*has)); ok {
		to.Receive(got, now)
	}

	if fate == 1 {
		return true, false
	}

	*has = to.snapshot.Version()

	return true, true
}

func assertSameState(t *rapid.T, have, latest Snapshot) {
	assert.Equal(t, have.Number, latest.Number)

	want, got := sortedEngines(latest), sortedEngines(have)
	assert.Equal(t, len(got), len(want))

	for i := range want {
		diff := got[i].Running - want[i].Running
		assert.Assert(t, max(diff, -diff) < runningStep)

		got[i].Running = want[i].Running
		assert.DeepEqual(t, got[i], want[i])
	}
}

// snapshotOf60 returns a snapshot of 60 targets of one holder.
func snapshotOf60(token, number uint64) Snapshot {
	out := Snapshot{Process: fmt.Sprint("p", token), Token: token, Number: number}
	for i := range 60 {
		out.Engines = append(out.Engines, EngineState{Target: instance.ID(fmt.Sprint(i)), Running: 7})
	}

	return out
}

// TestDeltaIsSmall guards against a model load on one of 60 targets that is
// sent to every entry as 60 engine states.
func TestDeltaIsSmall(t *testing.T) {
	var h History

	old := snapshotOf60(1, 1)
	h.Publish(old, time.Unix(0, 0))

	next := snapshotOf60(1, 2)
	next.Engines[3].Resident = []ResidentModel{{Model: "m"}}
	next.Engines[4].Running = 8
	next.Engines[5].Running = 7 + runningStep
	h.Publish(next, time.Unix(0, 0))

	d := h.Since(old.Version())
	assert.Equal(t, d.Base, old.Version())
	assert.Equal(t, len(d.Engines), 1)
	assert.Equal(t, d.Engines[0].Target, instance.ID("3"))
	assert.DeepEqual(t, d.Counts, []EngineCounts{{Target: "5", Running: 7 + runningStep}})
}

// TestCountsDrift guards against counts that change in steps too small to be
// published, and are never sent although the changes add up.
func TestCountsDrift(t *testing.T) {
	var h History

	first := snapshotOf60(1, 1)
	h.Publish(first, time.Unix(0, 0))

	for i := range uint64(runningStep) {
		next := snapshotOf60(1, 2+i)
		next.Engines[0].Running = 8 + int(i)
		h.Publish(next, time.Unix(0, 0))
	}

	assert.DeepEqual(t, h.Since(first.Version()).Counts, []EngineCounts{{Target: "0", Running: 7 + runningStep}})
}

// TestNewHolderSendsDelta guards against a new holder that sends the full
// snapshot to all entries, which occupies its network link for a time
// proportional to their number.
func TestNewHolderSendsDelta(t *testing.T) {
	var successor, other, started History

	now := time.Unix(0, 0)
	successor.Receive(snapshotOf60(1, 8), now)
	other.Receive(snapshotOf60(1, 8), now)

	own := snapshotOf60(2, 1)
	own.Engines[3].Resident = []ResidentModel{{Model: "m"}}
	successor.Publish(own, now)

	d := successor.Since(successor.PreviousVersion())
	assert.Equal(t, d.Base, snapshotOf60(1, 8).Version())
	assert.Equal(t, len(d.Engines), 1)

	got, ok := other.Apply(d)
	assert.Assert(t, ok)
	assert.Equal(t, len(got.Engines), 60)

	// A process that has just started returns the zero version and gets the
	// full snapshot.
	_, ok = started.Apply(d)
	assert.Assert(t, !ok)

	d = successor.Since(started.snapshot.Version())
	assert.Equal(t, d.Base, Version{})
	assert.Equal(t, len(d.Engines), 60)
}

// BenchmarkReceiveDelta measures receiving a delta with changes to two of 3,000
// targets.
func BenchmarkReceiveDelta(b *testing.B) {
	const targets = 3000

	var h, other History

	snapshot := Snapshot{Process: "p", Token: 1, Number: 1}
	for i := range targets {
		snapshot.Engines = append(snapshot.Engines, EngineState{Target: instance.ID(fmt.Sprint("i-", i)), Resident: []ResidentModel{{Model: "m"}, {Model: "n"}}})
	}

	now := time.Unix(1000, 0)
	h.Publish(snapshot, now)
	other.Receive(h.Snapshot(), now)

	for b.Loop() {
		snapshot.Number++
		snapshot.Engines = slices.Clone(snapshot.Engines)
		snapshot.Engines[snapshot.Number%targets].Running += runningStep
		snapshot.Engines[(snapshot.Number+1)%targets].Sequence++

		b.StopTimer()
		h.Publish(snapshot, now)
		b.StartTimer()

		got, ok := other.Apply(h.Since(other.Snapshot().Version()))
		assert.Assert(b, ok)
		other.Receive(got, now)
	}
}
