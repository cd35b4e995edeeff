package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// unloadTime is the duration of an unload when no request runs on the model.
	unloadTime = 150 * time.Millisecond
	// maxRunTime is the assumed remaining time of a request that runs on a model
	// to be evicted.
	maxRunTime = 2 * time.Second
	// evictRunningFrom is the number of requests that a load must serve before a
	// model with running requests may be evicted for it.
	evictRunningFrom = 3
	// minIdleTime is how long a model is not evicted after its last use, because
	// requests for it may be on their way.
	minIdleTime = 300 * time.Millisecond
)

// adapterReserveMB returns the memory that is reserved for adapters, in MB.
func adapterReserveMB(e *route.Engine) float64 {
	most := 0.0
	for _, m := range e.Models {
		most = max(most, m.AdapterMB)
	}

	return most * float64(e.AdapterSlots)
}

// victim is a model that could be evicted.
type victim struct {
	Resident

	loss float64
}

// freeMB returns the memory of a target that neither models nor the reserve for
// adapters take.
func (p *decider) freeMB(t *Target) float64 {
	free := p.usableMB
	for _, r := range t.Held {
		free -= p.Engine.Models[r.Model].MB
	}

	return free
}

// makeRoom returns the models to unload so that the model fits, the loss to
// those models and the time that the unloads take.
func (p *decider) makeRoom(t *Target, m route.Model, c evictionLimits) (models []string, loss float64, wait time.Duration, ok bool) {
	free := p.freeMB(t)
	if free >= m.MB {
		return nil, 0, 0, true
	}

	for _, v := range p.victims(t) {
		if p.replicas[v.Model] <= 1 && v.loss > c.maxLoss || v.Running > 0 && !c.evictRunning {
			continue
		}

		models = append(models, v.Model)
		loss += v.loss
		wait = max(wait, unloadTime)

		if v.Running > 0 {
			wait = max(wait, maxRunTime)
		}

		if free += p.Engine.Models[v.Model].MB; free >= m.MB {
			return models, loss, wait, true
		}
	}

	return nil, 0, 0, false
}

// evictionLimits limits what may be evicted for a load.
type evictionLimits struct {
	// maxLoss is the rate, or the number, of requests that the load would serve.
	// The last replica of a model that loses more than that is not evicted.
	maxLoss float64
	// evictRunning reports that a model with running requests may be evicted.
	//
	// An unload waits for the running requests of its model, and its target
	// accepts no other order meanwhile. A load that is not urgent is therefore
	// ready sooner if it waits until one of the target's models is idle.
	evictRunning bool
}

// limitsFor returns the limits for a load that serves the demand.
func (p *decider) limitsFor(w Want) evictionLimits {
	gain := max(p.Rate[w.Model], float64(w.Waiting)) / float64(p.replicas[w.Model]+1)
	last := w.Waiting > 0 && w.Deadline.Sub(p.Now) <= urgentBefore

	return evictionLimits{maxLoss: gain, evictRunning: gain >= evictRunningFrom || last}
}

// victims returns the target's models that may be evicted, those with the least
// loss first.
func (p *decider) victims(t *Target) []victim {
	var out []victim

	for _, r := range t.Held {
		if r.Coming || p.Now.Sub(r.Used) < minIdleTime || p.demandOf[r.Model].Waiting > 0 {
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

// loss returns the arrival rate of requests that one replica of the model
// serves.
func (p *decider) loss(r Resident) float64 {
	return p.Rate[r.Model] / float64(max(1, p.replicas[r.Model]))
}
