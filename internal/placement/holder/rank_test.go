package holder

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// TestRanked guards against a weak instance that holds the lease: in a data
// centre with instances of very different strength, snapshots and decisions
// could take all of its processor and network link.
func TestRanked(t *testing.T) {
	got := ranked([]Candidate{{"weak", 0.144}, {"strong", 0.8}, {"unknown", 0}, {"middle", 0.48}})
	assert.DeepEqual(t, got, []instance.ID{"strong", "middle", "weak", "unknown"})

	same := []Candidate{{"a", 0.4}, {"b", 0.4}, {"c", 0.4}}
	assert.DeepEqual(t, ranked(same), instance.Rank("holder", []instance.ID{"a", "b", "c"}))
}
