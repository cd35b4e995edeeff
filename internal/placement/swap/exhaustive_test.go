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

// randomCase returns a random small case: a few targets, each with the weights
// of some models on disk, and models without a replica that requests wait for.
func randomCase(r *rand.Rand) *Snapshot {
	const models = 8

	v := &Snapshot{Now: now, Engine: engine(models)}

	for i := range 2 + r.IntN(3) {
		t := targetWith(instance.ID(fmt.Sprint("t", i)))
		t.Running = r.IntN(6)

		for m := range models {
			switch {
			case r.IntN(4) == 0:
				t = t.withDisk(fmt.Sprint("m", m))
			case m >= 5 && r.IntN(2) == 0:
				t.Resident = append(t.Resident, ResidentModel{Model: fmt.Sprint("m", m), LastUsed: now.Add(-time.Minute)})
			}
		}

		v.Targets = append(v.Targets, t)
	}

	for m := range 2 + r.IntN(3) {
		w := waiting(fmt.Sprint("m", m))
		w.Deadline = now.Add(time.Duration(2+r.IntN(8)) * time.Second)
		v.Demands = append(v.Demands, w)
	}

	return v
}

// best returns the maximum number of models that any assignment to different
// targets can start to load from disk now.
func best(v *Snapshot, next int, taken map[instance.ID]bool) int {
	if next == len(v.Demands) {
		return 0
	}

	most := best(v, next+1, taken)

	for _, t := range v.Targets {
		if taken[t.ID] || t.Cached[v.Demands[next].Model] != target.TierDisk {
			continue
		}

		taken[t.ID] = true
		most = max(most, 1+best(v, next+1, taken))
		delete(taken, t.ID)
	}

	return most
}

// TestDecideAgainstExhaustive compares Decide with the best of all assignments
// when requests wait for several models at once, whose weights are on the disks
// of a few targets that can each accept one order. It guards against a model
// taking the only target that has another model's weights although a second
// target has the first model's weights as well, so that the clients of the
// other model must wait until the first load has ended.
func TestDecideAgainstExhaustive(t *testing.T) {
	const cases = 3000

	r := rand.New(rand.NewPCG(7, 7))
	worse, started, possible := 0, 0, 0

	for range cases {
		v := randomCase(r)
		n := 0

		for _, s := range Decide(v).Swaps {
			if s.Reason == ReasonWaiting {
				n++
			}
		}

		maximum := best(v, 0, make(map[instance.ID]bool))

		assert.Assert(t, n <= maximum, "Decide started more loads from disk than any assignment can")

		started += n
		possible += maximum

		if n < maximum {
			worse++
		}
	}

	t.Logf("%d of %d cases start fewer loads than the best assignment, %d of %d loads started", worse, cases, started, possible)
	assert.Equal(t, worse, 0)
}
