package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTurnover holds how likely one more of twelve targets leaves within 18
// seconds, by how many left lately.
func TestTurnover(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, c := range map[string]struct {
		left     []time.Duration
		low, top float64
	}{
		"none":          {nil, crashRisk, crashRisk},
		"long ago":      {[]time.Duration{-time.Minute, -turnoverSpan - 1}, crashRisk, crashRisk},
		"one":           {[]time.Duration{-time.Second}, 0.1, 0.3},
		"one a second":  {[]time.Duration{-4 * time.Second, -3 * time.Second, -2 * time.Second, -time.Second}, 0.4, 0.7},
		"half the site": {[]time.Duration{0, 0, 0, 0, 0, 0}, 0.6, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			var turns turnover
			for _, at := range c.left {
				turns.note(now.Add(at))
			}

			got := turns.risk(12, 18*time.Second, now)
			assert.Assert(t, got >= c.low && got <= c.top, "risk %v", got)
		})
	}

	var none turnover

	assert.Equal(t, none.risk(0, time.Second, now), crashRisk, "a service without targets")
}
