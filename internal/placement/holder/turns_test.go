package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
)

// TestSuccessorHasNothingToWaitFor guards against a release to an entry that must wait before it orders, though another need not.
func TestSuccessorHasNothingToWaitFor(t *testing.T) {
	const pause = 3 * time.Second

	now := time.Unix(1000, 0)

	for name, tc := range map[string]struct {
		held map[instance.ID]time.Duration
		want instance.ID
	}{
		"none held it":           {nil, "a"},
		"the first did":          {map[instance.ID]time.Duration{"a": time.Second}, "b"},
		"the first did long ago": {map[instance.ID]time.Duration{"a": pause}, "a"},
		"two did":                {map[instance.ID]time.Duration{"a": time.Second, "b": 0}, "c"},
		"all did":                {map[instance.ID]time.Duration{"a": time.Second, "b": 0, "c": 0}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			var f formerHolders

			for id, ago := range tc.held {
				f.record(id, now.Add(-ago))
			}

			assert.Equal(t, f.successor([]instance.ID{"a", "b", "c"}, now, pause), tc.want)
		})
	}
}

// TestNextProcessOfHolderThatWaits guards against a process that orders at once because the former one of its instance held the lease, though that one had to wait yet.
func TestNextProcessOfHolderThatWaits(t *testing.T) {
	const pause = 3 * time.Second

	h := New(Config{Self: "a", Process: "second", TurnPause: pause})
	former := lease.Record{Holder: "a", Process: "first", Token: 2}

	assert.Equal(t, h.earliestOrder(former, h.started), h.started)

	former.Waits = true
	assert.Assert(t, !h.earliestOrder(former, h.started).Before(h.started.Add(pause)))
}
