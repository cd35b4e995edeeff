package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// candidate is a target for a load. It carries what a load there would evict
// and cost.
type candidate struct {
	// at is the target's index. If it is -1, reason says why there is no target.
	at      int
	reason  string
	ready   time.Duration
	victims []ledger.Key
	cost    float64
}

// cheapestTarget returns the target with the least cost: the sum of the time
// until the replica is ready, the time of the unloads, the predicted cost of
// reloading the evicted models, the slowness of the target, and the cost of
// exceeding the plan's accelerators. If there is no target, the candidate gives
// the most informative reason.
func (d *decider) cheapestTarget(cp weight.Checkpoint, plan string, evict bool) candidate {
	best := candidate{at: -1, reason: ReasonNoTarget}

	for at := range d.Targets {
		c := d.consider(at, cp, plan, evict)
		if c.at < 0 {
			best.reason = moreSpecific(best.reason, c.reason)

			continue
		}

		if best.at < 0 || c.cost < best.cost {
			best = c
		}
	}

	return best
}

// reasonRank sorts the reasons from the least to the most informative for a
// client.
var reasonRank = []string{ReasonNoTarget, ReasonTooLarge, ReasonThrash, ReasonBusy}

func moreSpecific(a, b string) string {
	if slices.Index(reasonRank, b) > slices.Index(reasonRank, a) {
		return b
	}

	return a
}

func (d *decider) consider(at int, cp weight.Checkpoint, plan string, evict bool) candidate {
	t := &d.Targets[at]
	none := func(reason string) candidate { return candidate{at: -1, reason: reason} }

	if !t.Usable || d.Ledger.Row(ledger.Key{Target: t.ID, Model: cp.Name}) != nil {
		return none(ReasonNoTarget)
	}

	if cp.Base != "" && !d.readyOn(t, cp.Base) {
		return none(ReasonNoTarget)
	}

	if cp.Bytes > t.Memory {
		return none(ReasonTooLarge)
	}

	if d.Weights.LoadsPerHour > 0 && cp.Base == "" && t.LoadsLastHour >= d.Weights.LoadsPerHour {
		return none(ReasonThrash)
	}

	c := candidate{at: at, ready: d.loadTime(cp, tierOf(t, cp.Name))}
	need := d.Ledger.UsedBytes(t.ID) + d.reservedBytes[at] + cp.Bytes - t.Memory

	if need > 0 {
		if !evict || !d.findVictims(&c, t, cp, need) {
			return none(ReasonBusy)
		}
	}

	c.cost += c.ready.Seconds() + slowness(t) + d.overPlanCost(t, plan)

	return c
}

// slowness returns a cost in seconds that is lower for faster targets: one
// divided by the speed, at most 10. It is meant to be small against the load
// time from the remote tier, so that a slow target that has the checkpoint
// cached is preferred to a fast one that must load it from there. For small
// checkpoints it may not be.
func slowness(t *Target) float64 { return 1 / max(t.Speed, 0.1) } //nolint:mnd // Prevents a division by zero.

// overPlanCost returns the cost of a replica that exceeds the plan's
// accelerators. Such a replica is allowed, so that no accelerator is idle while
// requests wait, but a target within the plan is preferred.
func (d *decider) overPlanCost(t *Target, plan string) float64 {
	limit, ok := d.Accelerators[plan]
	if !ok || plan == "" {
		return 0
	}

	used := 0

	for i := range d.Targets {
		if other := &d.Targets[i]; other.ID != t.ID && d.usedBy(other, plan) {
			used += max(1, other.Accelerators)
		}
	}

	if used+max(1, t.Accelerators) <= limit {
		return 0
	}

	const overPlan = 5

	return overPlan
}

func (d *decider) usedBy(t *Target, plan string) bool {
	return slices.ContainsFunc(d.Ledger.Target(t.ID), func(r *ledger.Row) bool { return r.Plan == plan })
}

func (d *decider) readyOn(t *Target, model string) bool {
	r := d.Ledger.Row(ledger.Key{Target: t.ID, Model: model})

	return r != nil && r.State.Phase == target.Ready && !r.State.Retiring && !d.retired[r.Key]
}

func tierOf(t *Target, model string) target.Tier {
	if tier, ok := t.Cached[model]; ok {
		return tier
	}

	return target.TierRemote
}

// findVictims chooses idle replicas to evict until need bytes are free, those
// with the least loss first. It returns false if they cannot free enough. It
// never evicts replicas that are loading or have running requests, models with
// demand, the base of cp, or bases that a loaded adapter needs.
func (d *decider) findVictims(c *candidate, t *Target, cp weight.Checkpoint, need int64) bool {
	need -= d.retiringBytes(t)
	c.cost += unloadCost

	var idle []*ledger.Row

	for _, r := range d.Ledger.Target(t.ID) {
		if d.evictable(r, cp) {
			idle = append(idle, r)
		}
	}

	slices.SortFunc(idle, func(a, b *ledger.Row) int {
		return cmp.Or(cmp.Compare(d.loss(t, a), d.loss(t, b)), cmp.Compare(a.Model, b.Model))
	})

	for _, r := range idle {
		if need <= 0 {
			break
		}

		need -= r.Bytes
		c.victims = append(c.victims, r.Key)
		c.cost += d.loss(t, r)
	}

	if need > 0 {
		return false
	}

	if len(c.victims) == 0 {
		// The replicas that are being retired already make enough room. Returned
		// as victims, they keep place from starting the load before their memory
		// is free; retire ignores them.
		c.victims = d.retiringKeys(t)
	}

	return true
}

// unloadCost is the number of seconds until evicted memory is free: the
// entries must stop sending requests and the engine must confirm the unload.
const unloadCost = 0.5

// retiringBytes returns how many bytes the replicas that are being retired will
// free.
func (d *decider) retiringBytes(t *Target) int64 {
	var n int64

	for _, r := range d.Ledger.Target(t.ID) {
		if d.isRetiring(r) {
			n += r.Bytes
		}
	}

	return n
}

// isRetiring reports whether the replica is being retired and its unload is not
// stuck, so that its memory will be free soon.
func (d *decider) isRetiring(r *ledger.Row) bool {
	return (r.State.Retiring || d.retired[r.Key]) && !r.State.Stuck
}

func (d *decider) retiringKeys(t *Target) []ledger.Key {
	var keys []ledger.Key

	for _, r := range d.Ledger.Target(t.ID) {
		if d.isRetiring(r) {
			keys = append(keys, r.Key)
		}
	}

	return keys
}

func (d *decider) evictable(r *ledger.Row, cp weight.Checkpoint) bool {
	switch {
	case r.State.Retiring, d.retired[r.Key], r.State.Phase == target.Loading:
		return false
	case r.State.Running > 0, d.demanded[r.Model], r.Model == cp.Base:
		return false
	}

	return d.Ledger.Dependents(r.Key) == 0
}

// loss returns the predicted cost of an eviction in seconds: the time to load
// the model again, weighted by how soon it is predicted to be used.
func (d *decider) loss(t *Target, r *ledger.Row) float64 {
	reload := d.loadTime(d.Models[r.Model], tierOf(t, r.Model)).Seconds()
	if d.Forecast == nil {
		return reload * nextUseWeight(d.Now.Sub(r.State.LastUsed))
	}

	// The predicted number of uses in the time for which the eviction frees the
	// memory.
	uses := d.Forecast.Rate(r.Model, d.Now, lossWindow) * lossWindow.Seconds()

	return reload * uses / (1 + uses)
}

// lossWindow is the time over which the loss of a replica is predicted.
const lossWindow = 10 * time.Minute

// nextUseWeight decreases from one to zero with the time since the last use,
// which stands for the time until the next one.
func nextUseWeight(d time.Duration) float64 {
	return 1 / (1 + float64(max(0, d))/float64(lossWindow))
}

// jitter returns a number between zero and one that depends on the name only.
func jitter(name string) float64 {
	const bits = 53

	return float64(xxhash.Sum64String(name)>>(64-bits)) / (1 << bits) //nolint:mnd // The top 53 bits make a uniform float64.
}
