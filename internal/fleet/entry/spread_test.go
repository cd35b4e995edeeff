package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// TestTreeReachesAll: whichever entry has a new edit first, passing it on along
// the tree reaches every entry, in few steps and with few messages a node, up
// to the planned number of entries.
func TestTreeReachesAll(t *testing.T) {
	for n, depth := range map[int]int{1: 0, 2: 2, 8: 3, 100: 4, 1200: 5} {
		entries := make([]instance.ID, n)
		for i := range entries {
			entries[i] = instance.ID(fmt.Sprintf("entry-%04d", i))
		}

		for version := uint64(1); version <= 5; version++ {
			origin := entries[int(version*7)%n]
			seen := map[instance.ID]int{origin: 0}
			queue := []instance.ID{origin}

			for len(queue) > 0 {
				at := queue[0]
				queue = queue[1:]
				next := children(version, at, entries)
				assert.Assert(t, len(next) <= fanOut+1, "%d messages from one node", len(next))

				for _, id := range next {
					if _, ok := seen[id]; !ok {
						seen[id] = seen[at] + 1
						queue = append(queue, id)
					}
				}
			}

			assert.Equal(t, len(seen), n)

			for id, steps := range seen {
				assert.Assert(t, steps <= depth, "%s of %d after %d steps", id, n, steps)
			}
		}
	}
}
