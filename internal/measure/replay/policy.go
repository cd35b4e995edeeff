package replay

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
)

// Policy decides what is loaded.
type Policy interface {
	fmt.Stringer
	decide(w *world) []replica.Decision
}

// Product is the product's own policy at a weight.
type Product struct{ Weight float64 }

func (p Product) String() string { return fmt.Sprintf("product %.2f", p.Weight) }

func (p Product) decide(w *world) []replica.Decision {
	v := w.view(replica.WeightsFor(p.Weight))
	v.Forecast = &w.past

	const every, ahead, least = 30 * time.Second, 2 * time.Minute, 1e-7

	if w.now.Sub(w.looked) >= every {
		w.expects, w.looked = w.past.Candidates(w.now, ahead, least), w.now
	}

	v.Candidates = w.expects

	return replica.Decide(v)
}

// KeepAlive loads on demand and keeps a replica for a fixed time after its
// last use. When memory is short it evicts the least recently used. With a
// time of zero it keeps replicas until their memory is needed.
type KeepAlive struct{ For time.Duration }

func (p KeepAlive) String() string {
	if p.For == 0 {
		return "on demand, LRU"
	}

	return "keep-alive " + p.For.String()
}

func (p KeepAlive) decide(w *world) []replica.Decision {
	v := w.view(replica.WeightsFor(0))
	v.Weights.KeepAlive = p.For

	if p.For == 0 {
		v.Weights.KeepAlive = math.MaxInt64
	}

	// Without a forecast the product's decision is load on demand with a fixed
	// keep-alive; what it evicts then is the least recently used. Sizes and
	// tiers are hidden from the choice of victims by equal reload times.
	return replica.Decide(v)
}

// Oracle knows when each model is used next. It loads just in time, evicts
// what is used last, and keeps a replica through an idle time of at most
// Through.
type Oracle struct{ Through time.Duration }

func (p Oracle) String() string { return "oracle " + p.Through.String() }

// next returns how long until the model's next use.
func (w *world) next(model string) time.Duration {
	uses := w.nextUse[model]

	at, _ := slices.BinarySearchFunc(uses, w.now, func(t, now time.Time) int { return t.Compare(now) })
	w.nextUse[model] = uses[at:]

	if at == len(uses) {
		return math.MaxInt64
	}

	return uses[at].Sub(w.now)
}

func (p Oracle) decide(w *world) []replica.Decision {
	v := w.view(replica.WeightsFor(1))
	v.Weights.KeepAlive = math.MaxInt64
	v.Forecast = foresight{w}
	v.Weights.WaitCost = math.MaxFloat32

	// Loads begin one round ahead of the longest load.
	const ahead = decideEvery + 3*time.Second

	for model := range w.nextUse {
		if w.next(model) <= ahead {
			v.Candidates = append(v.Candidates, model)
		}
	}

	out := replica.Decide(v)

	w.book.All(func(r *ledger.Row) {
		busy := r.State.Running > 0 || r.State.Retiring || r.State.Phase != target.Ready || len(w.waiting[r.Model]) > 0
		if !busy && w.book.Dependents(r.Key) == 0 && w.next(r.Model) > p.Through {
			out = append(out, replica.Retire{Target: r.Target, Model: r.Model})
		}
	})

	return out
}

// foresight is a forecast that is always right.
type foresight struct{ w *world }

// Rate implements replica.Forecast.
func (f foresight) Rate(model string, _ time.Time, _ time.Duration) float64 {
	next := f.w.next(model)
	if next == math.MaxInt64 {
		return 0
	}

	return 1 / (1 + next.Seconds())
}
