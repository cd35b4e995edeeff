package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestTotalIsNotExceeded checks that the loads in flight of all cells never
// exceed the weight store's concurrency, while many cells load at once and
// granters die and are replaced.
func TestTotalIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cells, total = 6, 4

		// allowed returns the cell's last grant if it has not expired, else zero.
		allowed := func(granted int, until, at time.Time) Loads {
			if at.Before(until) {
				return Loads{Models: granted}
			}

			return Loads{}
		}

		g := Granter{Total: Loads{Models: total, Adapters: 32}}
		g.Start(now)

		clock := now
		granted := make([]int, cells)
		until := make([]time.Time, cells)
		using := make([]int, cells)

		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			c := rapid.IntRange(0, cells-1).Draw(t, "cell")

			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				// A new granter receives a request from every cell with loads in
				// flight before its first grant, because each cell asks twice a
				// second.
				g.Start(clock)

				for i := range cells {
					g.Grant(Request{Cell: i, InFlight: Loads{Models: using[i]}, LastGrant: allowed(granted[i], until[i], clock)}, clock)
				}
			case 1, 2:
				using[c] = max(0, using[c]-1)
			case 3, 4, 5:
				if clock.Before(until[c]) && using[c] < granted[c] {
					using[c]++
				}
			default:
				want := Loads{Models: using[c] + rapid.IntRange(0, 3).Draw(t, "want")}
				granted[c] = g.Grant(Request{Cell: c, Wanted: want, InFlight: Loads{Models: using[c]}, LastGrant: allowed(granted[c], until[c], clock)}, clock).Models
				until[c] = clock.Add(GrantDuration)
			}

			sum := 0
			for i := range cells {
				sum += using[i]
			}

			if sum > total {
				t.Fatalf("%d loads in flight, at most %d allowed", sum, total)
			}
		}
	})
}

func TestNewGranterWaits(t *testing.T) {
	g := Granter{Total: Loads{Models: 4}}
	r := Request{Cell: 1, Wanted: Loads{Models: 2}}

	assert.Equal(t, g.Grant(r, now).Models, 0, "the granter has not started")
	g.Start(now)
	assert.Equal(t, g.Grant(r, now.Add(GrantDuration)).Models, 0)
	assert.Equal(t, g.Grant(r, now.Add(GrantDuration+grantMargin)).Models, 2)
}
