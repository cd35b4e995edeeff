package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
)

// retire decides that a replica goes, once.
func (d *decider) retire(k ledger.Key, forModel string) {
	row := d.Book.Row(k)
	if d.retired[k] || row == nil || row.State.Retiring {
		return
	}

	d.retired[k] = true
	d.out = append(d.out, Retire{Target: k.Target, Model: k.Model, For: forModel})
}

// Hysteresis: a replica is loaded ahead of its use only if that is worth more
// than it costs, and unloaded only if keeping it is worth less, so that a
// model at the border does not come and go.
const (
	worthLoading = 1.25
	worthKeeping = 0.8
)

// value returns what a loaded replica is worth a second, in accelerators: how
// often it is expected to save somebody the wait for a load, and how much of
// an accelerator that wait is worth. It looks as far ahead as the load takes.
func (d *decider) value(model string, load time.Duration) float64 {
	const slack = 10 * time.Second

	return d.Forecast.Rate(model, d.Now, load+slack) * load.Seconds() * d.Terms.Worth
}

// cost returns what an idle replica costs a second: its share of the
// accelerator's memory.
func cost(bytes, memory int64) float64 { return float64(bytes) / float64(max(1, memory)) }

// preLoad loads models ahead of their expected use. It takes free memory
// only: an expectation never evicts anything.
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

		if d.value(model, d.duration(cp, d.bestTier(model))) < worthLoading*cost(cp.Bytes, memory) {
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

// bestTier returns the fastest tier in which a usable target has the model. A
// model that is at hand in memory is hardly worth loading ahead of its use.
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

// retireIdle unloads replicas whose next use is too far away, the failed ones
// whose wait is over, and replicas beyond the first that are no longer needed.
func (d *decider) retireIdle() {
	var rows []*ledger.Row

	d.Book.All(func(r *ledger.Row) {
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
		return d.Now.Sub(r.State.Since) >= backoff(d.Terms, r.State.Failures, r.Model)
	case target.Ready:
	case target.Loading, target.Unloading:
		return false
	}

	if d.demanded[r.Model] && !d.spare(r) || d.Book.Dependents(r.Key) > 0 {
		return false
	}

	unused := d.Now.Sub(r.State.LastUsed)

	switch {
	case unused < minResidence:
		return false
	case d.Forecast == nil:
		return unused >= d.Terms.KeepAlive
	case d.Now.Sub(r.State.Since) < minResidence:
		return false
	case !r.State.LastUsed.After(r.State.Since) && d.Now.Sub(r.State.Since) < awaitUse:
		return false
	}

	at, ok := d.find(r)
	if !ok {
		return false
	}

	// Once it is unloaded, it will be at hand in memory for a while and then on
	// disk; the disk stands for both.
	t := &d.Targets[at]
	load := d.duration(d.Models[r.Model], target.TierDisk)

	return d.value(r.Model, load) < worthKeeping*cost(r.Bytes, t.Memory)
}

// awaitUse is how long a replica that was loaded ahead of its use waits for
// it. The forecast's slots are as long, so giving up earlier would load the
// same model again and again.
const awaitUse = 15 * time.Minute

// minResidence keeps a replica that was just loaded from being unloaded
// before its first request reaches it.
const minResidence = 2 * time.Second

// spare reports whether the model has another replica that takes work.
func (d *decider) spare(r *ledger.Row) bool {
	ready, _ := d.count(r.Model)

	return ready > 1 && r.State.Phase == target.Ready
}
