package holder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

// playFeed keeps as many loads in flight as the width allows, on a store that
// shares its speed among more than it carries, and returns the width at the end.
func playFeed(carries int, span, load time.Duration, outage bool) float64 {
	var f feed

	const step = 100 * time.Millisecond

	now := time.Unix(1000, 0)
	left := make(map[int]time.Duration)

	for at := time.Duration(0); at < span; at += step {
		now = now.Add(step)

		for id := range left {
			left[id] -= time.Duration(float64(step) * min(1, float64(carries)/float64(len(left))))
		}

		for id := range left {
			if left[id] > -rowAge || outage && at > span/2 {
				continue
			}

			delete(left, id)

			name := instance.ID(fmt.Sprint(id))
			f.see(inventory.Target{ID: name, Held: []inventory.Held{{Model: "m"}}}, now)
		}

		for id := 0; len(left) < int(f.carries()); id++ {
			if _, loads := left[id]; !loads {
				left[id] = load
				f.begin(instance.ID(fmt.Sprint(id)), "m", load, now)
			}
		}

		// Rows of other targets come all the time, but for an outage.
		if !outage || at < span/2 {
			f.see(inventory.Target{ID: "other"}, now)
			f.overdue(now)
		}
	}

	return f.carries()
}

// TestFeedIsLearnt guards against a weight store that is taken to carry more, or
// less, than it does: loads last longer than callers were told, or targets wait
// for a store that is idle.
func TestFeedIsLearnt(t *testing.T) {
	for name, tc := range map[string]struct {
		carries     int
		load        time.Duration
		least, most float64
	}{
		"two at once, slow loads":      {2, 14 * time.Second, 1.5, 3},
		"four at once, as is believed": {4, 6 * time.Second, 3, 5},
		"thirteen at once":             {13, 12 * time.Second, 7, 15},
	} {
		t.Run(name, func(t *testing.T) {
			got := playFeed(tc.carries, time.Minute, tc.load, false)
			assert.Assert(t, got >= tc.least && got <= tc.most, "learnt %v", got)
		})
	}
}

// TestFeedBlind guards against loads whose ends were not seen, because the list
// was away, being taken for slow ones.
func TestFeedBlind(t *testing.T) {
	assert.Assert(t, playFeed(4, time.Minute, 6*time.Second, true) >= 3)
}
