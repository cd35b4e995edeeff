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

// TestPoison sends a request that crashes each target again and again. It must
// be blocked after the second death, and allowed again after ten minutes.
func TestPoison(t *testing.T) {
	var b Registry

	assert.Assert(t, !b.RecordDeath(1, death("t1", "a"), now))
	assert.Assert(t, b.IsSuspect(1, now))
	assert.Assert(t, !b.RecordDeath(1, death("t1", "a"), now), "one death counts once")
	assert.Assert(t, b.RecordDeath(1, death("t1", "b"), now), "the death of a restarted target counts")

	left, blocked := b.IsBlocked(1, now.Add(retention-time.Second))
	assert.Assert(t, blocked)
	assert.Equal(t, left, time.Second)

	_, blocked = b.IsBlocked(1, now.Add(retention))
	assert.Assert(t, !blocked)
}

func TestBystander(t *testing.T) {
	var b Registry

	b.RecordDeath(1, death("t1", "a"), now)
	b.Clear(1)
	assert.Assert(t, !b.IsSuspect(1, now))
	assert.Assert(t, !b.RecordDeath(1, death("t2", "a"), now), "it ran to its end in between")

	// A complete answer does not clear a block that a peer has reported.
	b.Block(2, now)
	b.Clear(2)

	_, blocked := b.IsBlocked(2, now)
	assert.Assert(t, blocked)
	assert.DeepEqual(t, b.Blocked(now), []request.Fingerprint{2})
}

func TestRegistryIsBounded(t *testing.T) {
	var b Registry

	b.Block(0, now)

	for i := range 2 * maxRecords {
		b.RecordDeath(request.Fingerprint(i+1), death(fmt.Sprint(i), ""), now.Add(time.Duration(i)))
	}

	assert.Assert(t, len(b.records) <= maxRecords)

	_, blocked := b.IsBlocked(0, now)
	assert.Assert(t, blocked, "blocked requests are evicted last")
}
