package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// contender is a waiting model that could be loaded on a target, weighted by
// one over the number of targets that have its weights.
type contender struct {
	model  string
	weight float64
}

// countContention records which targets have the weights of waiting models
// without a replica.
func (d *decider) countContention() {
	d.contention = make(map[instance.ID][]contender)

	for _, dem := range d.Demands {
		if d.replicas[dem.Model] > 0 || dem.Waiting == 0 {
			continue
		}

		var ids []instance.ID

		for _, t := range d.copiesAt[dem.Model] {
			if t.AcceptsOrders {
				ids = append(ids, t.ID)
			}
		}

		for _, id := range ids {
			d.contention[id] = append(d.contention[id], contender{dem.Model, 1 / float64(len(ids))})
		}
	}
}

// contentionFor returns the sum of the weights of the target's other contenders
// that still have no replica.
func (d *decider) contentionFor(t *Target, model string) float64 {
	sum := 0.0

	for _, other := range d.contention[t.ID] {
		if other.model != model && d.replicas[other.model] == 0 {
			sum += other.weight
		}
	}

	return sum
}

// byUrgency sorts the demand: models without a replica before those with one,
// then those whose goal can still be met or whose deadline is near before those
// that can wait, and each group by goal or deadline (see dueAt).
//
// It handles bursts for rarely used models, in which more loads are needed than
// targets can accept. Sorting by deadline alone would serve the requests that
// have waited longest first, and nearly all would start late. A request that
// has already missed its goal can wait until its deadline is near.
func (d *decider) byUrgency() []Demand {
	sorted := slices.Clone(d.Demands)
	slices.SortStableFunc(sorted, func(a, b Demand) int {
		dueA, canWaitA := d.dueAt(&a)
		dueB, canWaitB := d.dueAt(&b)

		return cmp.Or(
			cmp.Compare(min(d.replicas[a.Model], 1), min(d.replicas[b.Model], 1)),
			cmp.Compare(canWaitA, canWaitB),
			dueA.Compare(dueB),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return sorted
}

// urgentBefore is the time before its deadline from which a request is urgent:
// even if it has missed its goal, it cannot wait for others, and a model with
// running requests may be evicted for it.
const urgentBefore = 1500 * time.Millisecond

// dueAt returns the goal of a demand if a load from disk can still meet it,
// else the deadline. It also returns 1 if the demand can wait for others,
// because it has no goal that can still be met and its deadline is not near,
// else 0.
func (d *decider) dueAt(dem *Demand) (time.Time, int) {
	if !dem.Goal.IsZero() && d.Now.Add(d.Engine.Models[dem.Model].FromDisk).Before(dem.Goal) {
		return dem.Goal, 0
	}

	if dem.Deadline.Sub(d.Now) <= urgentBefore {
		return dem.Deadline, 0
	}

	return dem.Deadline, 1
}
