package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestVerdict lists every point at which a request can fail, and what a refusal
// may then state.
func TestVerdict(t *testing.T) {
	for name, tc := range map[string]struct {
		fates []Fate
		want  Run
	}{
		"never sent":                                 {nil, NotRun},
		"no connection":                              {[]Fate{NotReached}, NotRun},
		"model not loaded there":                     {[]Fate{ProvedNotRun}, NotRun},
		"no connection, then not loaded":             {[]Fate{NotReached, ProvedNotRun}, NotRun},
		"sent, connection broke":                     {[]Fate{InDoubtFate}, MayHaveRun},
		"sent, no answer, then not loaded elsewhere": {[]Fate{InDoubtFate, ProvedNotRun}, MayHaveRun},
		"part of an answer":                          {[]Fate{Begun}, Ran},
		"complete answer, client too slow":           {[]Fate{Completed}, Ran},
		"part of an answer, then no connection":      {[]Fate{Begun, NotReached}, Ran},
		"in doubt, then part of an answer":           {[]Fate{InDoubtFate, Begun}, Ran},
	} {
		t.Run(name, func(t *testing.T) {
			var trail Trail
			for _, f := range tc.fates {
				trail.Learn(trail.Send(), f)
			}

			assert.Equal(t, trail.Verdict(), tc.want)
			assert.Equal(t, trail.Refuse(TargetFailed, 0, "").Run, tc.want)
		})
	}
}

// TestNotRunIsProved records outcomes in random order. A refusal may state "not
// run" only if every attempt was proved not to have run, and an attempt whose
// answer began must never become one that did not run.
func TestNotRunIsProved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trail Trail

		open, begun := 0, false

		for range rapid.IntRange(0, 6).Draw(t, "attempts") {
			n := trail.Send()
			proved, began := false, false

			for _, f := range rapid.SliceOfN(rapid.IntRange(int(NotReached), int(Completed)), 0, 3).Draw(t, "recorded") {
				trail.Learn(n, Fate(f))

				if Fate(f) >= Begun {
					began = true
				}

				proved = !began && Fate(f) <= ProvedNotRun
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

		if got := trail.Verdict(); got != want {
			t.Fatalf("verdict %s, want %s", got, want)
		}
	})
}
