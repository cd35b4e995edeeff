package inventory

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func listed(ids ...instance.ID) []Change {
	var out []Change
	for _, id := range ids {
		out = append(out, Change{ID: id, Target: Target{ID: id}})
	}

	return out
}

// TestRemoval checks when a target whose row vanished is dropped. While the store is
// unavailable no heartbeat can be written, so just after its recovery the rows of
// living targets are missing for up to two seconds, and dropping them all would
// refuse every request. A long pause between two reads of the store is no outage:
// if it counted as one, a target that left would receive requests for longer than
// allowed.
func TestRemoval(t *testing.T) {
	cases := map[string]struct {
		// failed and answered are the times at which the store failed and answered. The
		// removal is read at 10000.
		failed, answered []int
		leaving          bool
		// kept is how long after the removal is read the target is retained.
		kept time.Duration
	}{
		"in steady state":                  {nil, []int{8000, 9000, 10000}, false, 0},
		"after a long pause between reads": {nil, []int{2000, 10000}, false, 0},
		"after one call that failed":       {[]int{9800}, []int{2000, 10000}, false, 0},
		"right after an outage":            {[]int{4000, 6000, 9000}, []int{2000, 10000}, false, recoveryGrace},
		"a second after an outage":         {[]int{4000, 6000}, []int{2000, 9000, 10000}, false, recoveryGrace - time.Second},
		"long after an outage":             {[]int{3000, 5000}, []int{2000, 6000, 7000, 8000, 9000, 10000}, false, 0},
		"leaving, right after an outage":   {[]int{4000, 6000, 9000}, []int{2000, 10000}, true, 0},
		"at the first read":                {nil, []int{10000}, false, 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var r Registry

			first := listed("a", "b")
			first[0].Target.Leaving = c.leaving
			r.Apply(first, at(0))

			for ms := 0; ms <= 10000; ms += 100 {
				if slices.Contains(c.failed, ms) {
					r.StoreFailed(at(ms))
				}

				if slices.Contains(c.answered, ms) {
					r.StoreAnswered(at(ms))
				}
			}

			r.Replace(listed("b"), at(10000))

			_, known := r.Targets()["a"]
			assert.Equal(t, known, c.kept > 0)

			r.Expire(at(10000).Add(c.kept - time.Millisecond))
			_, known = r.Targets()["a"]
			assert.Equal(t, known, c.kept > 0)

			r.Expire(at(10000).Add(c.kept))
			_, known = r.Targets()["a"]
			assert.Assert(t, !known)
			assert.Equal(t, len(r.Targets()), 1)
		})
	}
}

// TestReturn checks that a target whose row was missing after an outage stays known
// once the row returns in time.
func TestReturn(t *testing.T) {
	var r Registry

	r.Apply(listed("a"), at(0))
	r.StoreAnswered(at(0))
	r.StoreFailed(at(2000))
	r.StoreAnswered(at(5000))
	r.Apply([]Change{{ID: "a", Removed: true}}, at(5000))
	r.Apply(listed("a"), at(6000))
	r.Expire(at(9000))
	assert.Equal(t, len(r.Targets()), 1)
}

// TestBadRow checks that a target whose row was overwritten with an invalid one is
// dropped, and that the other targets stay known.
func TestBadRow(t *testing.T) {
	var r Registry

	r.Apply(listed("a", "b"), at(0))
	r.Apply([]Change{{ID: "a", Err: &RowError{ID: "a", Reason: "no service"}}}, at(1))
	assert.Equal(t, len(r.Targets()), 1)
}
