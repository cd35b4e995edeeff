package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
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
