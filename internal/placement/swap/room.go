package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// unloadTime is what an unload takes when nothing runs on the model.
	unloadTime = 150 * time.Millisecond
	// runTime is how long a run on a model that is to make way may still take.
	runTime = 2 * time.Second
	// many is how many requests a load must serve for a model on which something
	// runs to make way.
	many = 3
	// youngAge is for how long a model that was just used is not given up:
	// requests for it may be on their way.
	youngAge = 300 * time.Millisecond
)

// Reserve is the memory that is kept for adapters, in MB.
func Reserve(e *route.Engine) float64 {
	most := 0.0
	for _, m := range e.Models {
		most = max(most, m.AdapterMB)
	}

	return most * float64(e.AdapterSlots)
}

// victim is a model that could make way.
type victim struct {
	Resident

	loss float64
}

// freeMB is a target's memory that no model takes and that is not kept for
// adapters.
func (p *planner) freeMB(t *Target) float64 {
	free := p.room
	for _, r := range t.Held {
		free -= p.Engine.Models[r.Model].MB
	}

	return free
}

// makeRoom returns what must be unloaded so that the model fits, what that
// costs others and how long it takes.
func (p *planner) makeRoom(t *Target, m route.Model, c claim) (models []string, loss float64, wait time.Duration, ok bool) {
	free := p.freeMB(t)
	if free >= m.MB {
		return nil, 0, 0, true
	}

	for _, v := range p.victims(t) {
		if p.copies[v.Model] <= 1 && v.loss > c.gain || v.Running > 0 && !c.hurried {
			continue
		}

		models = append(models, v.Model)
		loss += v.loss
		wait = max(wait, unloadTime)

		if v.Running > 0 {
			wait = max(wait, runTime)
		}

		if free += p.Engine.Models[v.Model].MB; free >= m.MB {
			return models, loss, wait, true
		}
	}

	return nil, 0, 0, false
}

// claim is what a load may ask of others.
type claim struct {
	// gain is the rate of requests, or their number, that the load would serve.
	gain float64
	// hurried says that a model on which something runs may make way.
	//
	// An unload waits for the runs on its model, and its target takes no other
	// order meanwhile. Whoever can wait is better off with the first of the
	// target's models on which nothing runs any more.
	hurried bool
}

// claim returns what a load for the want may ask.
func (p *planner) claim(w Want) claim {
	gain := max(p.Rate[w.Model], float64(w.Waiting)) / float64(p.copies[w.Model]+1)
	last := w.Waiting > 0 && w.Deadline.Sub(p.Now) <= lastChance

	return claim{gain: gain, hurried: gain >= many || last}
}

// victims returns the target's models that may make way, the least loss first.
func (p *planner) victims(t *Target) []victim {
	var out []victim

	for _, r := range t.Held {
		if r.Coming || p.Now.Sub(r.Used) < youngAge || p.wants[r.Model].Waiting > 0 {
			continue
		}

		out = append(out, victim{r, p.loss(r)})
	}

	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(min(a.Running, 1), min(b.Running, 1)),
			cmp.Compare(a.loss, b.loss),
			a.Used.Compare(b.Used),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return out
}

// loss is the rate of requests that a copy of the model carries.
func (p *planner) loss(r Resident) float64 {
	return p.Rate[r.Model] / float64(max(1, p.copies[r.Model]))
}
