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
	r.RecordAnswer(1, now)
	assert.Assert(t, !r.IsSuspect(1, now))
	assert.Assert(t, !r.RecordDeath(1, death("t2", "a"), now), "it completed in between")

	// A complete answer does not clear a block that a peer has reported.
	r.Block(2, now)
	r.RecordAnswer(2, now)

	_, blocked := r.IsBlocked(2, now)
	assert.Assert(t, blocked)
	assert.DeepEqual(t, r.Blocked(now), []request.Fingerprint{2})
}

// TestAnsweredRequest guards against a request that many send and that is blocked because
// links of targets failed under it.
func TestAnsweredRequest(t *testing.T) {
	var r Registry

	r.RecordAnswer(1, now)
	assert.Assert(t, !r.Block(1, now.Add(answeredPeriod)), "a peer's block is refused")

	for i := range answeredDeathsToBlock - 1 {
		assert.Assert(t, !r.RecordDeath(1, death(fmt.Sprint(i), "a"), now))
	}

	assert.Assert(t, r.IsSuspect(1, now))
	assert.Assert(t, r.RecordDeath(1, death("last", "a"), now), "it may crash targets all the same")
	assert.Assert(t, !r.Unblock(1, now))
}

func TestAnswerLongAgo(t *testing.T) {
	var r Registry

	r.RecordAnswer(1, now)

	later := now.Add(2 * answeredPeriod)
	assert.Assert(t, !r.RecordDeath(1, death("t1", "a"), later))
	assert.Assert(t, r.RecordDeath(1, death("t2", "a"), later))
}

// TestUnblock checks that a block ends when a peer has had the request answered, and that
// the deaths before still count.
func TestUnblock(t *testing.T) {
	var r Registry

	r.RecordDeath(1, death("t1", "a"), now)
	assert.Assert(t, r.RecordDeath(1, death("t2", "a"), now))
	assert.Assert(t, r.Unblock(1, now))

	_, blocked := r.IsBlocked(1, now)
	assert.Assert(t, !blocked)
	assert.Assert(t, !r.Unblock(1, now), "it is not blocked")
	assert.Assert(t, !r.RecordDeath(1, death("t3", "a"), now))
	assert.Assert(t, r.RecordDeath(1, death("t4", "a"), now))

	assert.Assert(t, r.Block(2, now))
	assert.Assert(t, r.Unblock(2, now), "a block that a peer has reported")
	assert.Assert(t, !r.Block(2, now), "a block that comes again")
}

func TestAnsweredIsBounded(t *testing.T) {
	var a answeredRequests

	for i := range 3 * maxAnswered {
		a.add(request.Fingerprint(i), now)
	}

	assert.Assert(t, len(a.current)+len(a.previous) <= 2*maxAnswered)
	assert.Assert(t, a.has(3*maxAnswered-1, now))
	assert.Assert(t, !a.has(0, now))
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
