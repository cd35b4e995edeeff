package history

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var monday = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func at(day int, clock time.Duration) time.Time { return monday.AddDate(0, 0, day).Add(clock) }

// TestMornings checks that a model that is used every workday at nine is
// predicted to be used shortly before nine on the next workday, but not at noon
// and not on a Saturday.
func TestMornings(t *testing.T) {
	var r Registry

	for day := range 12 {
		if kindOf(dayOf(at(day, 0))) == 0 {
			for n := range 10 {
				r.RecordUse("m", at(day, 9*time.Hour+time.Duration(n)*time.Minute))
			}
		}
	}

	const ahead = time.Minute

	rate := func(day int, clock time.Duration) float64 { return r.Rate("m", at(day, clock), ahead) }
	before, noon, saturday := rate(14, 8*time.Hour+59*time.Minute+30*time.Second), rate(14, 12*time.Hour), rate(19, 9*time.Hour)
	assert.Assert(t, before > 100*noon, "before nine %g, at noon %g", before, noon)
	assert.Assert(t, before > 100*saturday, "on Monday %g, on Saturday %g", before, saturday)
	assert.Equal(t, r.Rate("never", monday, ahead), 0.0)
}

// TestSessions checks that the next use is predicted soon while a session
// lasts, and with a lower rate the longer the model has been idle.
func TestSessions(t *testing.T) {
	var r Registry

	clock := monday

	for session := range 20 {
		for range 15 {
			clock = clock.Add(20 * time.Second)
			r.RecordUse("m", clock)
		}

		clock = clock.Add(time.Duration(3+session%5) * time.Hour)
	}

	const ahead = 15 * time.Second

	last := r.models["m"].last
	soon := r.gapRate(r.models["m"], 10*time.Second, ahead)
	later := r.gapRate(r.models["m"], 20*time.Minute, ahead)
	assert.Assert(t, soon > 20*later, "%g, %g", soon, later)
	assert.Assert(t, r.Rate("m", last.Add(10*time.Second), ahead) >= soon)
}

// TestFewUses checks that the prediction for a model with a single use is based
// on the uses of other models.
func TestFewUses(t *testing.T) {
	var r Registry

	for i := range 50 {
		clock := monday
		for range 10 {
			clock = clock.Add(30 * time.Second)
			r.RecordUse(fmt.Sprint(i), clock)
		}
	}

	r.RecordUse("new", monday)
	assert.Assert(t, r.Rate("new", monday.Add(10*time.Second), 15*time.Second) > 0.01)
}

func TestSaveAndRestore(t *testing.T) {
	var r Registry

	for day := range 9 {
		r.RecordUse("a", at(day, 9*time.Hour))
		r.RecordUse("b/with:odd.name", at(day, 15*time.Hour))
	}

	data := r.Save()
	assert.Assert(t, len(data) < 2*500+200, "%d bytes", len(data))

	var got Registry

	assert.NilError(t, got.Restore(data))
	assert.Equal(t, got.Len(), 2)

	for _, name := range []string{"a", "b/with:odd.name"} {
		for _, clock := range []time.Duration{0, 9 * time.Hour, 15 * time.Hour} {
			assert.Equal(t, got.Rate(name, at(9, clock), time.Minute), r.Rate(name, at(9, clock), time.Minute))
		}
	}

	var format *FormatError

	assert.Assert(t, errors.As(got.Restore(data[:len(data)-1]), &format))
	assert.Assert(t, errors.As(got.Restore([]byte("nonsense that is long enough for the header of a saved registry, which has a hundred bytes or so")), &format))
}

func TestCandidates(t *testing.T) {
	var r Registry

	for day := range 5 {
		r.RecordUse("morning", at(day, 9*time.Hour))
		r.RecordUse("evening", at(day, 20*time.Hour))
	}

	assert.DeepEqual(t, r.Candidates(at(7, 9*time.Hour-time.Minute), 2*time.Minute, 1e-4), []string{"morning"})
}
