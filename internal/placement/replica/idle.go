package replica

import (
	"cmp"
	"maps"
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

// preLoad loads models ahead of their expected use. It takes free memory
// only: an expectation never evicts anything.
func (d *decider) preLoad() {
	for _, model := range slices.Sorted(maps.Keys(d.Expected)) {
		ahead := d.Expected[model].Sub(d.Now)

		cp, known := d.Models[model]
		if !known || d.demanded[model] || ahead > d.Terms.PreLoad+d.duration(cp, target.TierRemote) || ahead < -d.Terms.KeepAlive {
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
	if unused < minResidence {
		return false
	}

	if at, ok := d.Expected[r.Model]; ok && d.Now.Before(at.Add(d.Terms.KeepAlive)) && at.Sub(d.Now) <= d.Terms.KeepAhead {
		return false
	}

	return unused >= d.Terms.KeepAlive
}

// minResidence keeps a replica that was just loaded from being unloaded
// before its first request reaches it.
const minResidence = 2 * time.Second

// spare reports whether the model has another replica that takes work.
func (d *decider) spare(r *ledger.Row) bool {
	ready, _ := d.count(r.Model)

	return ready > 1 && r.State.Phase == target.Ready
}
