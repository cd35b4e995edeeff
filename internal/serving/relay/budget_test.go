package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBudgetsKeepTheBound checks that the retries of all entries together stay
// within the operators' limit in every window, when targets fail in large
// numbers and every entry retries as much as its budget allows. Entries also
// crash and restart meanwhile, and start with empty budgets then: with full
// budgets, 83 entries that restart at once could make 684 retries in a window
// whose limit is 649.
func TestBudgetsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second

		allowed := RetryLimit{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Burst: rapid.Float64Range(20, 100).Draw(t, "burst"), Window: window,
		}
		entries := rapid.IntRange(1, 16).Draw(t, "entries")
		all := make([]RetryBudgets, entries)

		for i := range all {
			all[i].Limit = allowed
			all[i].SetEntries(entries)
		}

		var requests, retries []time.Time

		now := time.Unix(0, 0)

		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gapMs")) * time.Millisecond)
			b := &all[rapid.IntRange(0, entries-1).Draw(t, "entry")]

			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				*b = RetryBudgets{Limit: allowed, Started: now}
				b.SetEntries(entries)
			}

			b.Credit("s", now)

			requests = append(requests, now)

			for b.TryDebit("s", now) {
				retries = append(retries, now)
			}
		}

		for i, from := range retries {
			n := 0
			for n < len(retries)-i && retries[i+n].Sub(from) < window {
				n++
			}

			// The limit counts the requests of this window and of the window
			// before it.
			requestCount := 0

			for _, at := range requests {
				if at.After(from.Add(-window)) && at.Before(from.Add(window)) {
					requestCount++
				}
			}

			assert.Assert(t, float64(n) <= allowed.Ratio*float64(requestCount)+allowed.Burst, "%d retries for %d requests", n, requestCount)
		}
	})
}
