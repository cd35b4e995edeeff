package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
)

// retire decides to retire a replica, unless that has been decided before.
func (d *decider) retire(k ledger.Key, forModel string) {
	row := d.Ledger.Row(k)
	if d.retired[k] || row == nil || row.State.Retiring {
		return
	}

	d.retired[k] = true
	d.out = append(d.out, Retire{Target: k.Target, Model: k.Model, ForModel: forModel})
}

// Hysteresis: a replica is loaded ahead of demand only if its value clearly
// exceeds its cost, and unloaded only if its value is clearly below it, so that
// a model near the limit is not loaded and unloaded repeatedly.
const (
	loadAbove   = 1.25
	unloadBelow = 0.8
)

// valueRate returns the value of a loaded replica as the number of idle
// accelerators that would cost as much: the predicted rate of uses, times the
// load time that each use saves a client, times the cost of a second of
// waiting. The prediction covers the time of a load and some slack.
func (d *decider) valueRate(model string, load time.Duration) float64 {
	const slack = 10 * time.Second

	return d.Forecast.Rate(model, d.Now, load+slack) * load.Seconds() * d.Weights.WaitCost
}

// memoryShare returns the cost of an idle replica as a number of idle
// accelerators, which is the share of the memory that it takes.
func memoryShare(bytes, memory int64) float64 { return float64(bytes) / float64(max(1, memory)) }

// preLoad loads models ahead of their predicted use. It uses free memory only:
// no model is evicted because of a prediction.
func (d *decider) preLoad() {
	if d.Forecast == nil {
		return
	}

	memory := d.largestMemory()

	for _, model := range slices.Sorted(slices.Values(d.Candidates)) {
		cp, known := d.Models[model]
		if !known || d.demanded[model] {
			continue
		}

		if d.valueRate(model, d.loadTime(cp, d.bestTier(model))) < loadAbove*memoryShare(cp.Bytes, memory) {
			continue
		}

		if ready, loading := d.count(model); ready+loading > 0 {
			continue
		}

		if _, failing := d.backingOff(model); !failing {
			d.place(cp, Demand{Model: model}, false)
		}
	}
}

// bestTier returns the fastest tier in which a usable target has the model. The
// value of a load ahead of use depends on it: a model that is cached in memory
// is hardly worth loading ahead.
func (d *decider) bestTier(model string) target.Tier {
	best := target.TierRemote

	for i := range d.Targets {
		if t := &d.Targets[i]; t.Usable {
			best = min(best, tierOf(t, model))
		}
	}

	return best
}

func (d *decider) largestMemory() int64 {
	var most int64
	for i := range d.Targets {
		most = max(most, d.Targets[i].Memory)
	}

	return most
}

// retireIdle unloads replicas whose next use is too far away, failed ones whose
// backoff is over, and replicas beyond the first that are not needed.
func (d *decider) retireIdle() {
	var rows []*ledger.Row

	d.Ledger.All(func(r *ledger.Row) {
		if !r.State.Retiring && !d.retired[r.Key] && r.State.Running == 0 {
			rows = append(rows, r)
		}
	})

	slices.SortFunc(rows, func(a, b *ledger.Row) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Model, b.Model))
	})

	for _, r := range rows {
		if d.idle(r) {
			d.retire(r.Key, "")
		}
	}
}

func (d *decider) idle(r *ledger.Row) bool {
	switch r.State.Phase {
	case target.Failed:
		return d.Now.Sub(r.State.Since) >= backoff(d.Weights, r.State.Failures, r.Model)
	case target.Ready:
	case target.Loading, target.Unloading:
		return false
	}

	if d.demanded[r.Model] && !d.hasOther(r) || d.Ledger.Dependents(r.Key) > 0 {
		return false
	}

	unused := d.Now.Sub(r.State.LastUsed)

	switch {
	case unused < minResidence:
		return false
	case d.Forecast == nil:
		return unused >= d.Weights.KeepAlive
	case d.Now.Sub(r.State.Since) < minResidence:
		return false
	case !r.State.LastUsed.After(r.State.Since) && d.Now.Sub(r.State.Since) < firstUseTimeout:
		return false
	}

	at, ok := d.targetIndex(r)
	if !ok {
		return false
	}

	// After the unload, the model stays cached in memory for a while and then
	// on disk. The load time from disk is used for both cases.
	t := &d.Targets[at]
	load := d.loadTime(d.Models[r.Model], target.TierDisk)

	return d.valueRate(r.Model, load) < unloadBelow*memoryShare(r.Bytes, t.Memory)
}

// firstUseTimeout is how long a replica that was loaded ahead of its use is
// kept before its first use. It equals the length of the forecast's time slots
// (package history): with a shorter time, the same model would be unloaded and
// loaded again within one time slot.
const firstUseTimeout = 15 * time.Minute

// minResidence is the minimum time for which an idle replica is kept after its
// last use and, if there is a forecast, also after it became ready, so that its
// first request can reach it. Evictions for other models do not observe it.
const minResidence = 2 * time.Second

// hasOther reports whether the model has another replica that accepts requests.
func (d *decider) hasOther(r *ledger.Row) bool {
	ready, _ := d.count(r.Model)

	return ready > 1 && r.State.Phase == target.Ready
}
