package demand

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMerged(t *testing.T) {
	var r Reports

	for i := range 8 {
		r.Record(Report{
			Entry: instance.ID(fmt.Sprint(i)),
			Waiting: []replica.Demand{{
				Model: "m", Plan: fmt.Sprint("p", i), Waiting: 2, Priority: i, Deadline: now.Add(time.Duration(10-i) * time.Second),
			}},
			Uses: []Use{{Key: ledger.Key{Target: "t", Model: "n"}, Running: 1}},
		}, now)
	}

	merged := r.Merged(now.Add(Expiry))
	assert.DeepEqual(t, merged, []replica.Demand{
		{Model: "m", Plan: "p7", Waiting: 16, Priority: 7, Deadline: now.Add(3 * time.Second)},
		{Model: "n", Running: 8},
	})
	assert.Equal(t, len(r.Merged(now.Add(Expiry+1))), 0, "the reports have expired")
}

// TestDrained checks when a replica that has been removed from routing may be
// unloaded.
func TestDrained(t *testing.T) {
	k := ledger.Key{Target: "t", Model: "m"}

	for name, tc := range map[string]struct {
		reports []Report
		want    bool
	}{
		"no reports":                                 {nil, true},
		"all entries have applied the snapshot":      {[]Report{{Entry: "a", Token: 2, Number: 5}, {Entry: "b", Token: 2, Number: 9}}, true},
		"one entry has not":                          {[]Report{{Entry: "a", Token: 2, Number: 5}, {Entry: "b", Token: 2, Number: 4}}, false},
		"one entry has an earlier holder's snapshot": {[]Report{{Entry: "a", Token: 1, Number: 99}}, false},
		"a request runs on the replica":              {[]Report{{Entry: "a", Token: 2, Number: 5, Uses: []Use{{Key: k, Running: 1}}}}, false},
		"a request runs on another replica": {
			[]Report{{Entry: "a", Token: 2, Number: 5, Uses: []Use{{Key: ledger.Key{Target: "u", Model: "m"}, Running: 1}}}}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var r Reports
			for _, report := range tc.reports {
				r.Record(report, now)
			}

			assert.Equal(t, r.Drained(k, 2, 5, now), tc.want)
		})
	}
}
