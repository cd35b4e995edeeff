package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func death(target, incarnation string) Death {
	return Death{Target: instance.ID(target), Incarnation: incarnation}
}

// TestPoison records that targets die while they run one request. The request must
// be blocked after the second death, and allowed again after ten minutes.
func TestPoison(t *testing.T) {
	var r Registry

	assert.Assert(t, !r.RecordDeath(1, death("t1", "a"), now))
	assert.Assert(t, r.IsSuspect(1, now))
	assert.Assert(t, !r.RecordDeath(1, death("t1", "a"), now), "one death counts once")
	assert.Assert(t, r.RecordDeath(1, death("t1", "b"), now), "the death of a restarted target counts")

	left, blocked := r.IsBlocked(1, now.Add(retention-time.Second))
	assert.Assert(t, blocked)
	assert.Equal(t, left, time.Second)

	_, blocked = r.IsBlocked(1, now.Add(retention))
	assert.Assert(t, !blocked)
}

// TestClear checks that a request that has completed is no longer a suspect, and
// that a block is not cleared.
func TestClear(t *testing.T) {
	var r Registry

	r.RecordDeath(1, death("t1", "a"), now)
	r.Clear(1)
	assert.Assert(t, !r.IsSuspect(1, now))
	assert.Assert(t, !r.RecordDeath(1, death("t2", "a"), now), "it completed in between")

	// A complete answer does not clear a block that a peer has reported.
	r.Block(2, now)
	r.Clear(2)

	_, blocked := r.IsBlocked(2, now)
	assert.Assert(t, blocked)
	assert.DeepEqual(t, r.Blocked(now), []request.Fingerprint{2})
}

func TestRegistryIsBounded(t *testing.T) {
	var r Registry

	r.Block(0, now)

	for i := range 2 * maxRecords {
		r.RecordDeath(request.Fingerprint(i+1), death(fmt.Sprint(i), ""), now.Add(time.Duration(i)))
	}

	assert.Assert(t, len(r.records) <= maxRecords)

	_, blocked := r.IsBlocked(0, now)
	assert.Assert(t, blocked, "blocked requests are evicted last")
}
