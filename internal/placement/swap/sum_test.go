package swap

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRoom checks what fits beside what, where sizes are known and where they are not.
func TestRoom(t *testing.T) {
	cases := map[string]struct {
		taken []size
		need  size
		fits  bool
	}{
		"empty":                      {nil, 30, true},
		"beside known ones":          {[]size{10, 10}, 10, true},
		"too large":                  {[]size{10, 10}, 11, false},
		"beside one of unknown size": {[]size{0}, 1, false},
		"of unknown size, empty":     {nil, 0, true},
		"of unknown size, beside":    {[]size{1}, 0, false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := room{usableMB: 30}
			for _, s := range tc.taken {
				r.take(s)
			}

			assert.Equal(t, r.fits(tc.need), tc.fits)

			for _, s := range tc.taken {
				r.release(s)
			}

			assert.Equal(t, r, room{usableMB: 30})
		})
	}
}

// TestUnknownSizeIsEvictedFirst guards against models that are evicted in vain beside one of unknown size.
func TestUnknownSizeIsEvictedFirst(t *testing.T) {
	v := &Snapshot{Now: now, Engine: engine(8), Demands: nil}
	target := targetWith("t0", "m5", "withdrawn", "m6")
	v.Targets = []Target{target.withDisk("m0")}
	v.Demands = []Demand{waiting("m0")}

	round := Decide(v)
	assert.Equal(t, len(round.Swaps), 1)
	assert.DeepEqual(t, round.Swaps[0].Unload, []string{"withdrawn"})
}
