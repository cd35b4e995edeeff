package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 3, 23, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// event is a new connection that carried an answer, a round that ended, or an answer on any
// connection.
type event struct {
	at       int
	round    *Round
	answered bool
}

func round(began, tried, reached int) *Round {
	return &Round{Began: at(began), Tried: tried, Reached: reached}
}

// resetRound is a round whose connections all opened and were reset.
func resetRound(began, tried int) *Round {
	return &Round{Began: at(began), Tried: tried, Reset: tried}
}

// TestCutOff checks after which events an entry counts as cut off.
func TestCutOff(t *testing.T) {
	for name, tc := range map[string]struct {
		events []event
		cutFor int
	}{
		"at first":                     {},
		"reaches none":                 {events: []event{{at: 400, round: round(0, 4, 0)}}, cutFor: 600},
		"reaches one":                  {events: []event{{at: 400, round: round(0, 4, 1)}}},
		"a request reached one since":  {events: []event{{at: 300}, {at: 400, round: round(0, 4, 0)}}},
		"a request reached one before": {events: []event{{at: 100}, {at: 600, round: round(200, 4, 0)}}, cutFor: 400},
		"no target":                    {events: []event{{at: 400, round: round(0, 0, 0)}}},
		"healed by a round":            {events: []event{{at: 400, round: round(0, 4, 0)}, {at: 700, round: round(600, 4, 2)}}},
		"healed by a request":          {events: []event{{at: 400, round: round(0, 4, 0)}, {at: 700}}},
		"still cut":                    {events: []event{{at: 400, round: round(0, 4, 0)}, {at: 800, round: round(600, 4, 0)}}, cutFor: 600},
		"cut again":                    {events: []event{{at: 400, round: round(0, 4, 0)}, {at: 500}, {at: 900, round: round(600, 4, 0)}}, cutFor: 100},
		"opens and is reset":           {events: []event{{at: 400, round: resetRound(200, 4)}}, cutFor: 600},
		"reset, others answer":         {events: []event{{at: 200, answered: true}, {at: 400, round: resetRound(200, 4)}}},
		"reset, answers stopped":       {events: []event{{at: 100, answered: true}, {at: 400, round: resetRound(200, 4)}}, cutFor: 600},
		"none opens, others answer":    {events: []event{{at: 200, answered: true}, {at: 400, round: round(200, 4, 0)}}, cutFor: 600},
	} {
		t.Run(name, func(t *testing.T) {
			var s Service

			for _, e := range tc.events {
				switch {
				case e.answered:
					s.Answered(at(e.at))
				case e.round != nil:
					s.Judge(*e.round, at(e.at))
				default:
					s.Reached(at(e.at))
				}
			}

			assert.Equal(t, s.CutOff(), tc.cutFor > 0)
			assert.Equal(t, s.CutFor(at(1000)), time.Duration(tc.cutFor)*time.Millisecond)
		})
	}
}
