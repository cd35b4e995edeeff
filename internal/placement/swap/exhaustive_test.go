package swap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// drawCase draws a small case: a few targets, each with the weights of some
// models on disk, and models that are nowhere and waited for.
func drawCase(r *rand.Rand) *View {
	const models = 8

	v := &View{Now: now, Engine: engine(models)}

	for i := range 2 + r.IntN(3) {
		t := on(instance.ID(fmt.Sprint("t", i)))
		t.Running = r.IntN(6)

		for m := range models {
			switch {
			case r.IntN(4) == 0:
				t = t.disk(fmt.Sprint("m", m))
			case m >= 5 && r.IntN(2) == 0:
				t.Held = append(t.Held, Resident{Model: fmt.Sprint("m", m), Used: now.Add(-time.Minute)})
			}
		}

		v.Targets = append(v.Targets, t)
	}

	for m := range 2 + r.IntN(3) {
		w := waiting(fmt.Sprint("m", m))
		w.Deadline = now.Add(time.Duration(2+r.IntN(8)) * time.Second)
		v.Wants = append(v.Wants, w)
	}

	return v
}

// best returns the most wants that any assignment to different targets can
// begin from disks now.
func best(v *View, want int, taken map[instance.ID]bool) int {
	if want == len(v.Wants) {
		return 0
	}

	most := best(v, want+1, taken)

	for _, t := range v.Targets {
		if taken[t.ID] || t.AtHand[v.Wants[want].Model] != target.TierDisk {
			continue
		}

		taken[t.ID] = true
		most = max(most, 1+best(v, want+1, taken))
		delete(taken, t.ID)
	}

	return most
}

// TestPlanAgainstExhaustive: several models are waited for at once, and their
// weights lie on the disks of a few targets that can each take one order. A
// model that takes the one target that another needs, while a third would do
// for it as well, makes the other's callers wait for a second load. Plan is
// compared with the best of all assignments.
func TestPlanAgainstExhaustive(t *testing.T) {
	const cases = 3000

	r := rand.New(rand.NewPCG(7, 7))
	less, begun, possible := 0, 0, 0

	for range cases {
		v := drawCase(r)
		n := 0

		for _, m := range Plan(v).Moves {
			if m.For == ReasonWaiting {
				n++
			}
		}

		most := best(v, 0, make(map[instance.ID]bool))

		assert.Assert(t, n <= most, "a load from nowhere")

		begun += n
		possible += most

		if n < most {
			less++
		}
	}

	t.Logf("%d of %d cases begin less than the best, %d of %d loads", less, cases, begun, possible)
	assert.Equal(t, less, 0)
}
