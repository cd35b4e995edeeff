package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

func TestRecord(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int, l Limit) Observation {
		return Observation{Target: "a", Limit: l, At: start.Add(time.Duration(seconds) * time.Second)}
	}
	stated := func(perSecond float64) Limit { return Limit{Stated: true, PerSecond: perSecond} }

	cases := map[string]struct {
		observations []Observation
		changed      bool
		want         Limit
	}{
		"first limit":                 {[]Observation{at(1, stated(2))}, true, stated(2)},
		"limit repeated":              {[]Observation{at(1, stated(2)), at(2, stated(2))}, false, stated(2)},
		"limit raised":                {[]Observation{at(1, stated(2)), at(2, stated(3))}, true, stated(3)},
		"limit lowered":               {[]Observation{at(1, stated(2)), at(2, stated(1))}, true, stated(1)},
		"limit of zero":               {[]Observation{at(1, stated(0))}, true, stated(0)},
		"older limit arrives late":    {[]Observation{at(2, stated(2)), at(1, stated(3))}, false, stated(2)},
		"limit withdrawn":             {[]Observation{at(1, stated(2)), at(2, Limit{})}, true, Limit{}},
		"request sent before limit":   {[]Observation{at(2, stated(2)), at(1, Limit{})}, false, stated(2)},
		"withdrawal at the same time": {[]Observation{at(1, stated(2)), at(1, Limit{})}, false, stated(2)},
		"limit stated again":          {[]Observation{at(1, stated(2)), at(2, Limit{}), at(3, stated(2))}, true, stated(2)},
		"target without limit":        {[]Observation{at(1, Limit{})}, false, Limit{}},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var (
				r       Registry
				changed bool
			)

			for _, o := range tc.observations {
				_, changed = r.Record(o)
			}

			got := r.Limit("a")
			assert.Equal(t, got, tc.want)
			assert.Equal(t, got.Stated, tc.want.Stated)
			assert.Equal(t, changed, tc.changed)
		})
	}
}

func TestRetain(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := Limit{Stated: true, PerSecond: 1}

	var r Registry

	for _, id := range []instance.ID{"kept", "gone", "withdrawn"} {
		r.Record(Observation{Target: id, Limit: limit, At: start})
	}

	r.Record(Observation{Target: "withdrawn", At: start.Add(time.Second)})
	assert.Equal(t, r.Limited(), 2)

	r.Retain(func(id instance.ID) bool { return id != "gone" }, start.Add(time.Minute))
	assert.Equal(t, len(r.Sample(10)), 1)
	assert.Equal(t, r.Sample(10)[0].Target, instance.ID("kept"))
}

// TestShared checks which observations an entry sends to others.
func TestShared(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	var r Registry

	for i := range 100 {
		r.Record(Observation{Target: instance.ID(fmt.Sprint(i)), Limit: Limit{Stated: true, PerSecond: 1}, At: start.Add(time.Duration(i) * time.Second)})
	}

	assert.Equal(t, len(r.Sample(64)), 64)
	assert.Equal(t, len(r.Of([]instance.ID{"1", "2", "other"})), 2)

	newer := r.Newer([]Observation{{Target: "1", At: start.Add(time.Hour)}, {Target: "2", At: start}, {Target: "other", At: start}})
	assert.Equal(t, len(newer), 1)
	assert.Equal(t, newer[0].Target, instance.ID("2"))
}
