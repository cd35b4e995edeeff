package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestChurnRisk checks the probability that one of twelve targets leaves
// within 18 seconds, by the number that left recently.
func TestChurnRisk(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, c := range map[string]struct {
		left     []time.Duration
		low, top float64
	}{
		"none":             {nil, minRisk, minRisk},
		"long ago":         {[]time.Duration{-time.Minute, -churnWindow - 1}, minRisk, minRisk},
		"one":              {[]time.Duration{-time.Second}, 0.1, 0.3},
		"one a second":     {[]time.Duration{-4 * time.Second, -3 * time.Second, -2 * time.Second, -time.Second}, 0.4, 0.7},
		"half the targets": {[]time.Duration{0, 0, 0, 0, 0, 0}, 0.6, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			var departures churn
			for _, at := range c.left {
				departures.record(now.Add(at))
			}

			got := departures.risk(12, 18*time.Second, now)
			assert.Assert(t, got >= c.low && got <= c.top, "risk %v", got)
		})
	}

	var none churn

	assert.Equal(t, none.risk(0, time.Second, now), minRisk, "a service without targets")
}
