package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// contender is a model that needs a target, weighted by one over the number of
// targets that have its weights.
type contender struct {
	model string
	weight float64
}

// countContention records which targets have the weights of waiting models
// without a replica.
func (p *decider) countContention() {
	p.contention = make(map[instance.ID][]contender)

	for _, w := range p.Wants {
		if p.replicas[w.Model] > 0 || w.Waiting == 0 {
			continue
		}

		var on []instance.ID

		for i := range p.Targets {
			if t := &p.Targets[i]; t.Free && t.Serving && t.AtHand[w.Model] != 0 {
				on = append(on, t.ID)
			}
		}

		for _, id := range on {
			p.contention[id] = append(p.contention[id], contender{w.Model, 1 / float64(len(on))})
		}
	}
}

// contentionFor returns how much other waiting models need the target.
func (p *decider) contentionFor(t *Target, model string) float64 {
	sum := 0.0

	for _, other := range p.contention[t.ID] {
		if other.model != model && p.replicas[other.model] == 0 {
			sum += other.weight
		}
	}

	return sum
}

// byUrgency sorts the demand: models without a replica before crowded ones, then
// those that are due now before those that can wait, each by due time.
//
// It handles bursts for rarely used models, in which more loads are needed than
// targets can accept. An order by deadline alone would serve the requests that
// have waited longest first, and nearly all would start late. A request that has
// already missed its goal can wait until its deadline is near.
func (p *decider) byUrgency() []Want {
	sorted := slices.Clone(p.Wants)
	slices.SortStableFunc(sorted, func(a, b Want) int {
		dueA, waitsA := p.dueAt(&a)
		dueB, waitsB := p.dueAt(&b)

		return cmp.Or(
			cmp.Compare(min(p.replicas[a.Model], 1), min(p.replicas[b.Model], 1)),
			cmp.Compare(waitsA, waitsB),
			dueA.Compare(dueB),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return sorted
}

// urgentBefore is how long before its deadline a request that has missed its
// goal counts as due again.
const urgentBefore = 1500 * time.Millisecond

// dueAt returns when a demand is due, and 1 if it can wait for others, else 0.
func (p *decider) dueAt(w *Want) (time.Time, int) {
	if !w.Goal.IsZero() && p.Now.Add(p.Engine.Models[w.Model].FromDisk).Before(w.Goal) {
		return w.Goal, 0
	}

	if w.Deadline.Sub(p.Now) <= urgentBefore {
		return w.Deadline, 0
	}

	return w.Deadline, 1
}
