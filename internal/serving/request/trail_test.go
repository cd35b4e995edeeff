package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRun lists every point at which a request can fail, and what a refusal
// may then state.
func TestRun(t *testing.T) {
	for name, tc := range map[string]struct {
		outcomes []Outcome
		want     Run
	}{
		"never sent":                                 {nil, NotRun},
		"no connection":                              {[]Outcome{NotReached}, NotRun},
		"model not loaded there":                     {[]Outcome{ProvedNotRun}, NotRun},
		"no connection, then not loaded":             {[]Outcome{NotReached, ProvedNotRun}, NotRun},
		"sent, connection broke":                     {[]Outcome{Unanswered}, MayHaveRun},
		"sent, no answer, then not loaded elsewhere": {[]Outcome{Unanswered, ProvedNotRun}, MayHaveRun},
		"part of an answer":                          {[]Outcome{Begun}, Ran},
		"complete answer, client too slow":           {[]Outcome{Completed}, Ran},
		"part of an answer, then no connection":      {[]Outcome{Begun, NotReached}, Ran},
		"in doubt, then part of an answer":           {[]Outcome{Unanswered, Begun}, Ran},
	} {
		t.Run(name, func(t *testing.T) {
			var log AttemptLog
			for _, o := range tc.outcomes {
				log.Record(log.Begin(), o)
			}

			assert.Equal(t, log.Run(), tc.want)
			assert.Equal(t, log.Refuse(TargetFailed, 0, "").Run, tc.want)
		})
	}
}

// TestNotRunIsProved records outcomes in random order. A refusal may state "not
// run" only if every attempt was proved not to have run, and an attempt whose
// answer began must never become one that did not run.
func TestNotRunIsProved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log AttemptLog

		open, begun := 0, false

		for range rapid.IntRange(0, 6).Draw(t, "attempts") {
			n := log.Begin()
			proved, began := false, false

			for _, o := range rapid.SliceOfN(rapid.IntRange(int(NotReached), int(Completed)), 0, 3).Draw(t, "recorded") {
				log.Record(n, Outcome(o))

				if Outcome(o) >= Begun {
					began = true
				}

				proved = !began && Outcome(o) <= ProvedNotRun
			}

			begun = begun || began

			if !proved {
				open++
			}
		}

		want := NotRun

		switch {
		case begun:
			want = Ran
		case open > 0:
			want = MayHaveRun
		}

		if got := log.Run(); got != want {
			t.Fatalf("Run is %s, want %s", got, want)
		}
	})
}
