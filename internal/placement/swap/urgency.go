package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// part is how much one model needs a target: its share of the disks that the
// model is on.
type part struct {
	model string
	share float64
}

// seek notes which targets' disks the models that are nowhere are on.
func (p *planner) seek() {
	p.sought = make(map[instance.ID][]part)

	for _, w := range p.Wants {
		if p.copies[w.Model] > 0 || w.Waiting == 0 {
			continue
		}

		var on []instance.ID

		for i := range p.Targets {
			if t := &p.Targets[i]; t.Free && t.Serving && t.AtHand[w.Model] != 0 {
				on = append(on, t.ID)
			}
		}

		for _, id := range on {
			p.sought[id] = append(p.sought[id], part{w.Model, 1 / float64(len(on))})
		}
	}
}

// rivalry returns how much other models that wait need the target.
func (p *planner) rivalry(t *Target, model string) float64 {
	sum := 0.0

	for _, other := range p.sought[t.ID] {
		if other.model != model && p.copies[other.model] == 0 {
			sum += other.share
		}
	}

	return sum
}

// byUrgency orders the wants: models that are nowhere before crowded ones, then
// what is due now before what can wait, each by when it is due.
//
// It answers bursts for rare models, in which more loads are wanted than targets
// can take: by deadline alone those that had waited longest went first, and
// nearly all began late. What is late already has time until its deadline comes
// near.
func (p *planner) byUrgency() []Want {
	sorted := slices.Clone(p.Wants)
	slices.SortStableFunc(sorted, func(a, b Want) int {
		dueA, waitsA := p.due(&a)
		dueB, waitsB := p.due(&b)

		return cmp.Or(
			cmp.Compare(min(p.copies[a.Model], 1), min(p.copies[b.Model], 1)),
			cmp.Compare(waitsA, waitsB),
			dueA.Compare(dueB),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return sorted
}

// lastChance is how long before its deadline a request that is late already
// counts like one that is not.
const lastChance = 1500 * time.Millisecond

// due returns when a want should be met, and one if it can wait for others, or
// else zero.
func (p *planner) due(w *Want) (time.Time, int) {
	if !w.Goal.IsZero() && p.Now.Add(p.Engine.Models[w.Model].FromDisk).Before(w.Goal) {
		return w.Goal, 0
	}

	if w.Deadline.Sub(p.Now) <= lastChance {
		return w.Deadline, 0
	}

	return w.Deadline, 1
}
