package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countReads returns how many reads of one kind the entries make in each second of span. Each
// entry's last read was at a random time, at most maxAge before the span began, when they may have
// lost their holder.
func countReads(p polling, s pollState, maxAge, span time.Duration) []int {
	r := rand.New(rand.NewPCG(1, 2))
	out := make([]int, span/time.Second)

	for range s.entries {
		waited, phase := time.Duration(r.Int64N(int64(maxAge))), r.Float64()

		for at := time.Duration(r.Int64N(int64(pollTick))); at < span; at += pollTick {
			s.alone = at

			if waited += pollTick; p.due(waited, s, phase) {
				out[at/time.Second]++
				waited, phase = 0, r.Float64()
			}
		}
	}

	return out
}

// smallestStore is how many reading calls a second the smallest of the users' stores allows.
const smallestStore = 2000

// TestReadRateIsBounded guards against calls to the store that it refuses, right after the holder of many entries has died, when the last read of each is long ago, too.
func TestReadRateIsBounded(t *testing.T) {
	const span = 30 * time.Second

	few := 2 * int(fullRateEntries*time.Second/targetsInterval)

	for name, tc := range map[string]struct {
		s      pollState
		maxAge time.Duration
		// most is allowed in a second, of one kind.
		most int
	}{
		"led, 8":               {pollState{entries: 8, led: true}, 15 * time.Second, few},
		"led, 195":             {pollState{entries: 195, led: true}, 300 * time.Second, few},
		"led, 1,191":           {pollState{entries: 1191, led: true}, 2000 * time.Second, few},
		"alone, 8":             {pollState{entries: 8}, 600 * time.Millisecond, few},
		"holder dies at 10":    {pollState{entries: 10}, 18 * time.Second, smallestStore / readKinds},
		"holder dies at 87":    {pollState{entries: 87}, 160 * time.Second, smallestStore / readKinds},
		"holder dies at 195":   {pollState{entries: 195}, 300 * time.Second, smallestStore / readKinds},
		"holder dies at 300":   {pollState{entries: 300}, 500 * time.Second, smallestStore / readKinds},
		"holder dies at 1,191": {pollState{entries: 1191}, 2000 * time.Second, smallestStore / readKinds},
	} {
		t.Run(name, func(t *testing.T) {
			reads := countReads(targetsPolling, tc.s, tc.maxAge, span)
			t.Log(reads[:5])

			for second, n := range reads {
				assert.Assert(t, n <= tc.most, "%d reads in second %d, at most %d", n, second, tc.most)
			}
		})
	}
}

// TestEveryEntryReadsInTime guards against an entry that relies on others to read the store for it, or on a draw, when the holder is gone.
func TestEveryEntryReadsInTime(t *testing.T) {
	for _, entries := range []int{9, 10, 20, 87, 195, 300} {
		for _, p := range []polling{configPolling, targetsPolling} {
			r := rand.New(rand.NewPCG(3, 4))
			most := aloneInterval + pollTick

			for range entries {
				last, phase := -time.Hour, r.Float64()

				for at := time.Duration(r.Int64N(int64(pollTick))); at < time.Minute; at += pollTick {
					if p.due(at-last, pollState{entries: entries, alone: at}, phase) {
						assert.Assert(t, last >= 0 || at <= aloneSpread+pollTick, "%d entries: first read after %s", entries, at)
						assert.Assert(t, last < 0 || at-last <= most, "%d entries: no read for %s", entries, at-last)

						last, phase = at, r.Float64()
					}
				}
			}
		}
	}
}

// TestHolderReadRate checks that the holder, on which all entries rely, reads
// at the same rate however many entries there are.
func TestHolderReadRate(t *testing.T) {
	for _, entries := range []int{3, 1191} {
		s := pollState{entries: entries, holding: true}
		assert.Assert(t, targetsPolling.due(targetsIntervalHolding, s, 1))
		assert.Assert(t, configPolling.due(0, s, 1))
	}
}
