package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countReads returns how many reads of the store the entries make in each
// second of span. Each entry's last read was at a random time, at most maxAge
// before the span began.
func countReads(p polling, s pollState, maxAge, span time.Duration) []int {
	r := rand.New(rand.NewPCG(1, 2))
	out := make([]int, span/time.Second)

	for range s.entries {
		waited := time.Duration(r.Int64N(int64(maxAge)))

		for at := time.Duration(0); at < span; at += pollTick {
			if waited += pollTick; p.due(waited, s, r.Float64()) {
				out[at/time.Second]++
				waited = 0
			}
		}
	}

	return out
}

// TestReadRateIsBounded guards against calls to the store that grow with the
// number of entries. In each second all entries together may read at most twice
// as often as a few would, whether the holder announces changes or not, and
// also right after the holder has died, when the last read of each is long ago.
func TestReadRateIsBounded(t *testing.T) {
	const span = 30 * time.Second

	for name, tc := range map[string]struct {
		s      pollState
		maxAge time.Duration
	}{
		"led, 8":               {pollState{entries: 8, led: true}, 15 * time.Second},
		"led, 195":             {pollState{entries: 195, led: true}, 300 * time.Second},
		"led, 1,191":           {pollState{entries: 1191, led: true}, 2000 * time.Second},
		"alone, 8":             {pollState{entries: 8}, 600 * time.Millisecond},
		"holder dies at 195":   {pollState{entries: 195}, 300 * time.Second},
		"holder dies at 1,191": {pollState{entries: 1191}, 2000 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			// The reads of a few entries without a holder in a second.
			most := 2 * int(fullRateEntries*time.Second/targetsInterval)

			for second, n := range countReads(targetsPolling, tc.s, tc.maxAge, span) {
				assert.Assert(t, n <= most, "%d reads in second %d, at most %d", n, second, most)
			}
		})
	}
}

// TestReadsWithoutHolder guards against a fault where entries without a holder
// all leave the store unread: a change must be in force within 2 s, so one of
// them must read it well before that.
func TestReadsWithoutHolder(t *testing.T) {
	for _, entries := range []int{1, 3, 8, 9, 20, 195, 1191} {
		s := pollState{entries: entries}
		r := rand.New(rand.NewPCG(3, 4))
		waited := make([]time.Duration, entries)
		last, longest := time.Duration(0), time.Duration(0)

		for at := time.Duration(0); at < time.Minute; at += pollTick {
			for i := range waited {
				if waited[i] += pollTick; targetsPolling.due(waited[i], s, r.Float64()) {
					longest, last, waited[i] = max(longest, at-last), at, 0
				}
			}
		}

		assert.Assert(t, longest <= 1200*time.Millisecond, "%d entries: no read for %s", entries, longest)
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
