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
	// maxRunTime is the assumed upper bound on the remaining run time of requests
	// for a model that is to be evicted.
	maxRunTime = 2 * time.Second
	// evictRunningFrom is the number of requests, or of requests per second,
	// from which a model with running requests may be evicted for the load that
	// serves them. Urgent loads may evict such a model for fewer.
	evictRunningFrom = 3
	// minIdleTime is how long a model or adapter is not evicted after its last
	// use, because requests for it may be on their way.
	minIdleTime = 300 * time.Millisecond
	// SizeMarginMB exceeds the rounding errors in sums of models' sizes.
	SizeMarginMB = 1e-3
)

// UsableMB returns the memory of an engine for models, in MB. The rest is reserved for adapters.
func UsableMB(e *route.Engine) float64 {
	return e.MemoryMB - LargestAdapterMB(e)*float64(e.AdapterSlots)
}

// LargestAdapterMB returns the size of the largest adapter, in MB.
func LargestAdapterMB(e *route.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		largest = max(largest, m.AdapterMB)
	}

	return largest
}

// victim is a model that could be evicted.
type victim struct {
	ResidentModel

	loss float64
}

// makeRoom returns the models to unload so that the model fits, the total loss
// of these evictions and the time that the unloads take.
func (d *decider) makeRoom(t *Target, m route.Model, limits evictionLimits) (models []string, loss float64, wait time.Duration, ok bool) {
	left, need := d.rooms[t.index], needOf(m)
	if left.fits(need) {
		return nil, 0, 0, true
	}

	if need.known() && !d.idleRooms[t.index].fits(need-SizeMarginMB) {
		return nil, 0, 0, false
	}

	for _, v := range d.victims(t) {
		if d.replicas[v.Model] <= 1 && v.loss > limits.maxLoss || v.Running > 0 && !limits.evictRunning {
			continue
		}

		models = append(models, v.Model)
		loss += v.loss
		wait = max(wait, unloadTime)

		if v.Running > 0 {
			wait = max(wait, maxRunTime)
		}

		if left.release(d.sizeOf(&v.ResidentModel)); left.fits(need) {
			return models, loss, wait, true
		}
	}

	return nil, 0, 0, false
}

// evictionLimits limits what may be evicted for a load.
type evictionLimits struct {
	// maxLoss is the largest loss for which the last replica of a model may be
	// evicted. It follows from the rate, or the number, of requests that the
	// load would serve.
	maxLoss float64
	// evictRunning reports that a model with running requests may be evicted.
	//
	// An unload waits for the running requests of its model, and its target
	// accepts no other order meanwhile. A load is therefore usually ready
	// sooner if it waits until one of the target's models is idle. Only an
	// urgent load, or one that serves evictRunningFrom requests or more, does
	// not wait.
	evictRunning bool
}

// limitsFor returns the limits for a load that serves the demand.
func (d *decider) limitsFor(dem Demand) evictionLimits {
	served := max(d.Rate[dem.Model], float64(dem.Waiting)) / float64(d.replicas[dem.Model]+1)
	urgent := dem.Waiting > 0 && dem.Deadline.Sub(d.Now) <= urgentBefore

	return evictionLimits{maxLoss: served, evictRunning: served >= evictRunningFrom || urgent}
}

// victims returns the target's models that may be evicted: those without
// running requests first, then those of unknown size, without which nothing can be loaded,
// then those with the least loss first. Models that are
// loading, were used within minIdleTime or have waiting requests are left out.
func (d *decider) victims(t *Target) []victim {
	var out []victim

	for _, r := range t.Resident {
		if !d.isIdle(&r) {
			continue
		}

		out = append(out, victim{r, d.loss(r)})
	}

	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(min(a.Running, 1), min(b.Running, 1)),
			cmp.Compare(d.knownSize(&a), d.knownSize(&b)),
			cmp.Compare(a.loss, b.loss),
			a.LastUsed.Compare(b.LastUsed),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return out
}

// knownSize returns 1 for a model whose size is known, and 0 for others.
func (d *decider) knownSize(v *victim) int {
	if d.sizeOf(&v.ResidentModel).known() {
		return 1
	}

	return 0
}

// isIdle reports whether a model is not loading, was not used within minIdleTime and
// has no waiting requests.
func (d *decider) isIdle(r *ResidentModel) bool {
	return !r.Loading && d.Now.Sub(r.LastUsed) >= minIdleTime && d.demandOf[r.Model].Waiting == 0
}

// loss returns the arrival rate of requests that one replica of the model
// serves.
func (d *decider) loss(r ResidentModel) float64 {
	return d.Rate[r.Model] / float64(max(1, d.replicas[r.Model]))
}
