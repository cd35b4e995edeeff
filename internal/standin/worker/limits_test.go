package worker

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
)

// TestExceeded checks that the stand-in judges by the users' rule.
func TestExceeded(t *testing.T) {
	const contact = 3 * time.Second

	one := ratelimit.Limit{Stated: true, PerSecond: 1}
	sender := func(id string) string { return strings.TrimSuffix(id, "-1") }

	cases := map[string]struct {
		statements map[time.Duration]ratelimit.Limit
		// spacing is the time between two requests of each of the two entries.
		spacing  time.Duration
		untold   bool
		excused  bool
		exceeded bool
	}{
		"within the bound":      {statements: map[time.Duration]ratelimit.Limit{0: one}, spacing: time.Second},
		"beyond the bound":      {statements: map[time.Duration]ratelimit.Limit{0: one}, spacing: 500 * time.Millisecond, exceeded: true},
		"entries not told":      {statements: map[time.Duration]ratelimit.Limit{0: one}, spacing: 500 * time.Millisecond, untold: true},
		"entries excused":       {statements: map[time.Duration]ratelimit.Limit{0: one}, spacing: 500 * time.Millisecond, excused: true},
		"no limit":              {spacing: 100 * time.Millisecond},
		"limit stated too late": {statements: map[time.Duration]ratelimit.Limit{8 * time.Second: one}, spacing: 500 * time.Millisecond},
		"limit lowered":         {statements: map[time.Duration]ratelimit.Limit{0: {Stated: true, PerSecond: 9}, time.Second: one}, spacing: 500 * time.Millisecond, exceeded: true},
		"limit stated again":    {statements: map[time.Duration]ratelimit.Limit{0: one, time.Second: {}, 2 * time.Second: one}, spacing: 500 * time.Millisecond, exceeded: true},
		"limit withdrawn":       {statements: map[time.Duration]ratelimit.Limit{0: one, 2 * time.Second: {}}, spacing: 500 * time.Millisecond},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var w Worker

			start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

			for _, after := range []time.Duration{0, time.Second, 2 * time.Second, 8 * time.Second} {
				if limit, ok := tc.statements[after]; ok {
					w.limits.statements = append(w.limits.statements, statement{limit: limit, from: start.Add(after)})
				}
			}

			for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(tc.spacing) {
				for _, id := range []string{"a-1", "b-1"} {
					w.limits.arrivals = append(w.limits.arrivals, &arrival{id: id, at: at, stated: w.limits.at(at).Stated && !tc.untold, answered: at.Add(10 * time.Millisecond)})
				}
			}

			got := w.Exceeded(LimitRule{Contact: contact, Sender: sender, Excused: func(string, time.Time, time.Time) bool { return tc.excused }})
			assert.Equal(t, got != "", tc.exceeded, got)
		})
	}
}
