package replay

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
)

// decide asks the policy and does what it says.
func (w *world) decide() {
	w.giveUp()

	if w.holderGone() {
		return
	}

	for _, d := range w.opt.Policy.decide(w) {
		switch d := d.(type) {
		case replica.Load:
			w.load(d)
		case replica.Retire:
			w.retire(ledger.Key{Target: d.Target, Model: d.Model})
		case replica.CancelRetire:
			if r := w.book.Row(ledger.Key{Target: d.Target, Model: d.Model}); r != nil {
				r.State.Retiring = false

				w.drain(d.Model)
			}
		case replica.Predict, replica.Deny:
		}
	}
}

func (w *world) holderGone() bool {
	at := w.opt.NoHolderAt

	return !at.IsZero() && !w.now.Before(at) && w.now.Before(at.Add(w.opt.NoHolderFor))
}

// giveUp refuses the requests that have waited for too long.
func (w *world) giveUp() {
	for model, all := range w.waiting {
		kept := all[:0]

		for _, x := range all {
			if w.now.Sub(x.since) < patience {
				kept = append(kept, x)

				continue
			}

			if !x.use.At.Before(w.opt.From) {
				w.result.Refused++
				w.result.Waits = append(w.result.Waits, patience)
			}
		}

		w.waiting[model] = kept
		if len(kept) == 0 {
			delete(w.waiting, model)
		}
	}
}

func (w *world) load(d replica.Load) {
	t := w.target(d.Target)

	row, err := w.book.Reserve(ledger.Row{
		Key: ledger.Key{Target: d.Target, Model: d.Model}, Base: d.Base, Bytes: d.Bytes, Version: 1,
		State: ledger.State{Phase: target.Loading, OwnTerm: true, Since: w.now, LastUsed: w.now},
	}, t.Memory)
	if err != nil {
		panic(err) // A policy that overcommits must not go unseen.
	}

	if !w.now.Before(w.opt.From) {
		w.result.Loads++
	}

	inFlight := &w.loads
	if d.Base != "" {
		inFlight = &w.adapter
	}

	*inFlight++

	w.after(w.loadTime(t, d), func() {
		*inFlight--

		if w.book.Row(row.Key) != row {
			return
		}

		row.State.Phase, row.State.Since = target.Ready, w.now
		w.drain(d.Model)
		w.decide()
	})
}

func (w *world) loadTime(t *replica.Target, d replica.Load) time.Duration {
	seconds := float64(d.Bytes) / bytesPerSecond

	tier, cached := t.Cached[d.Model]
	if !cached {
		tier = target.TierRemote
	}

	switch tier {
	case target.TierMemory:
		seconds /= 10
	case target.TierDisk:
		seconds /= 3
	case target.TierRemote:
		if w.opt.SlowWeights > 1 && !w.now.Before(w.opt.SlowAt) && w.now.Before(w.opt.SlowAt.Add(time.Hour)) {
			seconds *= w.opt.SlowWeights
		}
	}

	return time.Duration(seconds * float64(time.Second))
}

// drain serves those who wait for the model.
func (w *world) drain(model string) {
	all := w.waiting[model]
	delete(w.waiting, model)

	for i, x := range all {
		if !w.serve(x.use, w.now.Sub(x.since)) {
			w.waiting[model] = all[i:]

			return
		}
	}
}

func (w *world) retire(k ledger.Key) {
	r := w.book.Row(k)
	if r == nil || r.State.Retiring {
		return
	}

	r.State.Retiring = true
	if r.Unloadable() {
		w.unload(r)
	}
}

func (w *world) unload(r *ledger.Row) {
	r.State.Phase = target.Unloading

	w.after(unloadTime, func() {
		if w.book.Row(r.Key) != r {
			return
		}

		w.book.Remove(r.Key)
		w.cache(r)
		w.decide()
	})
}

// cache keeps the checkpoint at hand on the target, the newest in memory.
func (w *world) cache(r *ledger.Row) {
	names := slices.DeleteFunc(w.caches[r.Target], func(n string) bool { return n == r.Model })
	names = append([]string{r.Model}, names...)
	names = names[:min(len(names), diskCache)]
	w.caches[r.Target] = names

	cached := make(map[string]target.Tier, len(names))
	for i, n := range names {
		cached[n] = target.TierDisk
		if i < memoryCache {
			cached[n] = target.TierMemory
		}
	}

	w.target(r.Target).Cached = cached
}

// demand returns what is asked of each model.
func (w *world) demand() []replica.Demand {
	var out []replica.Demand

	for model, all := range w.waiting {
		out = append(out, replica.Demand{
			Model: model, Waiting: len(all), Running: w.running[model], Deadline: all[0].since.Add(patience),
		})
	}

	for model, n := range w.running {
		if n > 0 && len(w.waiting[model]) == 0 {
			out = append(out, replica.Demand{Model: model, Running: n})
		}
	}

	slices.SortFunc(out, func(a, b replica.Demand) int {
		if a.Model < b.Model {
			return -1
		}

		return 1
	})

	return out
}

// view is what the product's decisions see.
func (w *world) view(terms replica.Weights) *replica.Snapshot {
	return &replica.Snapshot{
		Now: w.now, Targets: w.targets, Ledger: &w.book, Models: w.site.Models, Demand: w.demand(),
		FreeLoads: loadsAtOnce - w.loads, FreeAdapterLoads: adaptersAtOnce - w.adapter,
		BytesPerSecond: bytesPerSecond, Weights: terms,
	}
}
