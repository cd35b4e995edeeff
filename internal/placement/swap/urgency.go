package swap

import (
	"cmp"
	"slices"

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

// byUrgency orders the wants: models that are nowhere before crowded ones,
// then by deadline.
func (p *planner) byUrgency() []Want {
	sorted := slices.Clone(p.Wants)
	slices.SortStableFunc(sorted, func(a, b Want) int {
		return cmp.Or(
			cmp.Compare(min(p.copies[a.Model], 1), min(p.copies[b.Model], 1)),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return sorted
}
