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

// choice is the target that was found for a load.
type choice struct {
	// at is the target's index, or -1 with a reason.
	at      int
	reason  string
	ready   time.Duration
	victims []ledger.Key
	cost    float64
}

// best returns the target with the least cost: the time until the replica is
// ready, the time that evicted models will take to come back, and how slow
// the target is.
func (d *decider) best(cp weight.Checkpoint, plan string, evict bool) choice {
	best := choice{at: -1, reason: ReasonNoTarget}

	for at := range d.Targets {
		c := d.consider(at, cp, plan, evict)
		if c.at < 0 {
			best.reason = worse(best.reason, c.reason)

			continue
		}

		if best.at < 0 || c.cost < best.cost {
			best = c
		}
	}

	return best
}

// reasonRank orders reasons by how much they tell a caller.
var reasonRank = []string{ReasonNoTarget, ReasonTooLarge, ReasonThrash, ReasonBusy}

func worse(a, b string) string {
	if slices.Index(reasonRank, b) > slices.Index(reasonRank, a) {
		return b
	}

	return a
}

func (d *decider) consider(at int, cp weight.Checkpoint, plan string, evict bool) choice {
	t := &d.Targets[at]
	no := func(reason string) choice { return choice{at: -1, reason: reason} }

	if !t.Usable || d.Book.Row(ledger.Key{Target: t.ID, Model: cp.Name}) != nil {
		return no(ReasonNoTarget)
	}

	if cp.Base != "" && !d.readyOn(t, cp.Base) {
		return no(ReasonNoTarget)
	}

	if cp.Bytes > t.Memory {
		return no(ReasonTooLarge)
	}

	if d.Terms.LoadsPerHour > 0 && cp.Base == "" && t.LoadsLastHour >= d.Terms.LoadsPerHour {
		return no(ReasonThrash)
	}

	c := choice{at: at, ready: d.duration(cp, tierOf(t, cp.Name))}
	need := d.Book.UsedBytes(t.ID) + d.taken[at] + cp.Bytes - t.Memory

	if need > 0 {
		if !evict || !d.findVictims(&c, t, cp, need) {
			return no(ReasonBusy)
		}
	}

	c.cost += c.ready.Seconds() + slowness(t) + d.lent(t, plan)

	return c
}

// slowness prefers faster targets, mildly: a fast target that must load from
// the remote tier loses against a slow one that has the checkpoint at hand.
func slowness(t *Target) float64 { return 1 / max(t.Speed, 0.1) } //nolint:mnd // Guards a division.

// lent is the cost of a replica that goes beyond the plan's accelerators. It
// is allowed, so that nobody's accelerators sit idle while others wait, but a
// target of its own is preferred.
func (d *decider) lent(t *Target, plan string) float64 {
	limit, ok := d.Accelerators[plan]
	if !ok || plan == "" {
		return 0
	}

	used := 0

	for at := range d.Targets {
		if at := &d.Targets[at]; at.ID != t.ID && d.usedBy(at, plan) {
			used += max(1, at.Accelerators)
		}
	}

	if used+max(1, t.Accelerators) <= limit {
		return 0
	}

	const beyond = 5

	return beyond
}

func (d *decider) usedBy(t *Target, plan string) bool {
	return slices.ContainsFunc(d.Book.Target(t.ID), func(r *ledger.Row) bool { return r.Plan == plan })
}

func (d *decider) readyOn(t *Target, model string) bool {
	r := d.Book.Row(ledger.Key{Target: t.ID, Model: model})

	return r != nil && r.State.Phase == target.Ready && !r.State.Retiring && !d.retired[r.Key]
}

func tierOf(t *Target, model string) target.Tier {
	if tier, ok := t.Cached[model]; ok {
		return tier
	}

	return target.TierRemote
}

// findVictims picks idle replicas to evict until need bytes are free, those
// that are cheapest to lose first. Replicas with waiting or running requests
// are never evicted, nor are bases that a loaded adapter needs.
func (d *decider) findVictims(c *choice, t *Target, cp weight.Checkpoint, need int64) bool {
	need -= d.leavingBytes(t)
	c.cost += unloadCost

	var idle []*ledger.Row

	for _, r := range d.Book.Target(t.ID) {
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
		// What is already leaving makes room. Naming it again is harmless and
		// tells the caller of best to wait for it.
		c.victims = d.leavingKeys(t)
	}

	return true
}

// unloadCost is how many seconds it takes until evicted memory is free: the
// entries must stop sending and the engine must confirm.
const unloadCost = 0.5

// leavingBytes returns what replicas free that are being retired.
func (d *decider) leavingBytes(t *Target) int64 {
	var n int64

	for _, r := range d.Book.Target(t.ID) {
		if d.goingSoon(r) {
			n += r.Bytes
		}
	}

	return n
}

// goingSoon reports whether the row's memory is about to be free.
func (d *decider) goingSoon(r *ledger.Row) bool {
	return (r.State.Retiring || d.retired[r.Key]) && !r.State.Stuck
}

func (d *decider) leavingKeys(t *Target) []ledger.Key {
	var keys []ledger.Key

	for _, r := range d.Book.Target(t.ID) {
		if d.goingSoon(r) {
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

	return d.Book.Dependents(r.Key) == 0
}

// loss is how many seconds an eviction is expected to cost: the time to load
// the model again, weighted by how soon it is expected to be used.
func (d *decider) loss(t *Target, r *ledger.Row) float64 {
	reload := d.duration(d.Models[r.Model], tierOf(t, r.Model)).Seconds()
	if d.Forecast == nil {
		return reload * soon(d.Now.Sub(r.State.LastUsed))
	}

	// The expected uses in the time that an eviction saves.
	uses := d.Forecast.Rate(r.Model, d.Now, halfLife) * halfLife.Seconds()

	return reload * uses / (1 + uses)
}

// halfLife is over what time the loss of a replica is weighed.
const halfLife = 10 * time.Minute

// soon falls from one to zero as the next use lies further ahead.
func soon(d time.Duration) float64 {
	return 1 / (1 + float64(max(0, d))/float64(halfLife))
}

// jitter returns a number from zero to one that depends on the name alone.
func jitter(name string) float64 {
	const bits = 53

	return float64(xxhash.Sum64String(name)>>(64-bits)) / (1 << bits) //nolint:mnd // A uniform float64.
}
