package replica

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// decider gathers the decisions of one round. Decisions of a round see each
// other: memory that one load takes is not offered to the next.
type decider struct {
	*View

	out []Decision
	// taken are the bytes that this round's loads take, by index of target.
	taken []int64
	// retired are the rows that this round retires.
	retired map[ledger.Key]bool
	// demanded are the models with demand.
	demanded map[string]bool
	// placed are the models that this round has looked for a place for, so
	// that a base which several want is loaded once.
	placed   map[string]bool
	loads    int
	adapters int
}

// Decide returns what to do now. The most urgent loads come first.
func Decide(v *View) []Decision {
	d := &decider{
		View:     v,
		taken:    make([]int64, len(v.Targets)),
		retired:  make(map[ledger.Key]bool),
		demanded: make(map[string]bool, len(v.Demand)),
		placed:   make(map[string]bool),
		loads:    v.FreeLoads,
		adapters: v.FreeAdapterLoads,
	}

	for _, dem := range v.Demand {
		d.demanded[dem.Model] = true
	}

	for _, dem := range d.byUrgency() {
		d.meet(dem)
	}

	d.preLoad()
	d.retireIdle()

	return d.out
}

// byUrgency orders the demand: waiting before running, then by priority, then
// by how little time is left once the load is done.
func (d *decider) byUrgency() []Demand {
	sorted := slices.Clone(d.Demand)
	slack := func(dem Demand) time.Duration {
		return dem.Deadline.Sub(d.Now) - d.duration(d.Models[dem.Model], target.TierRemote)
	}

	slices.SortStableFunc(sorted, func(a, b Demand) int {
		return cmp.Or(
			-cmp.Compare(min(a.Waiting, 1), min(b.Waiting, 1)),
			-cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(slack(a), slack(b)),
			cmp.Compare(a.Model, b.Model),
		)
	})

	return sorted
}

// meet decides for one demanded model.
func (d *decider) meet(dem Demand) {
	cp, ok := d.Models[dem.Model]
	if !ok {
		d.deny(dem, ReasonUnknown, 0)

		return
	}

	ready, loading := d.count(dem.Model)

	switch {
	case ready+loading == 0 && dem.Waiting > 0:
		if !d.revive(dem.Model) {
			d.place(cp, dem, true)
		}
	case ready+loading == 0:
	case loading > 0:
		d.expect(dem)
	case d.crowded(dem):
		d.place(cp, dem, false)
	}
}

// count returns how many replicas take work and how many are on their way.
func (d *decider) count(model string) (ready, loading int) {
	for _, r := range d.Book.Model(model) {
		switch {
		case r.State.Retiring || d.retired[r.Key] || d.lost(r):
		case r.State.Phase == target.Ready:
			ready++
		case r.State.Phase == target.Loading:
			loading++
		}
	}

	return ready, loading
}

// lost reports whether the row's target serves nobody.
func (d *decider) lost(r *ledger.Row) bool {
	at, ok := d.find(r)

	return !ok || d.Targets[at].Lost
}

// revive calls off the retirement of a replica that is still loaded.
func (d *decider) revive(model string) bool {
	for _, r := range d.Book.Model(model) {
		if r.State.Retiring && r.State.Phase == target.Ready && !d.lost(r) {
			d.out = append(d.out, Revive{Target: r.Target, Model: model})

			return true
		}
	}

	return false
}

// crowded reports whether the model's replicas are so full that another one
// is worth its load.
func (d *decider) crowded(dem Demand) bool {
	slots := 0

	for _, r := range d.Book.Model(dem.Model) {
		if at, ok := d.find(r); ok && !r.State.Retiring {
			slots += d.Targets[at].Slots
		}
	}

	return float64(dem.Waiting+dem.Running) > d.Terms.ScaleUp*float64(slots)
}

func (d *decider) find(r *ledger.Row) (int, bool) {
	return slices.BinarySearchFunc(d.Targets, r, func(t Target, r *ledger.Row) int {
		return cmp.Compare(t.ID, r.Target)
	})
}

// place looks for a target and, if need be, for what to evict there.
func (d *decider) place(cp weight.Checkpoint, dem Demand, evict bool) {
	if d.placed[cp.Name] {
		return
	}

	d.placed[cp.Name] = true

	if cp.Base != "" && !d.hasReady(cp.Base) {
		d.placeBase(cp, dem, evict)

		return
	}

	if wait, ok := d.backingOff(cp.Name); ok {
		d.deny(dem, ReasonFailing, wait)

		return
	}

	best := d.best(cp, dem.Plan, evict)
	if best.at < 0 {
		d.denyFor(cp, dem, best.reason)

		return
	}

	t := &d.Targets[best.at]
	for _, k := range best.victims {
		d.retire(k, cp.Name)
	}

	if len(best.victims) > 0 {
		// The memory is free only once the unload is proved. The next round
		// loads; until then the waiters know how long it takes.
		d.out = append(d.out, Expect{Model: cp.Name, Ready: best.ready})

		return
	}

	if !d.takeShare(cp) {
		d.out = append(d.out, Expect{Model: cp.Name, Ready: 2 * best.ready})

		return
	}

	d.taken[best.at] += cp.Bytes
	d.out = append(d.out, Load{
		Target: t.ID, Model: cp.Name, Base: cp.Base, Bytes: cp.Bytes, Plan: dem.Plan, Ready: best.ready,
	})
}

// hasReady reports whether a replica of the model takes work on any target.
func (d *decider) hasReady(model string) bool {
	ready, _ := d.count(model)

	return ready > 0
}

// placeBase loads the base of an adapter first. The adapter follows when the
// base is ready.
func (d *decider) placeBase(cp weight.Checkpoint, dem Demand, evict bool) {
	base, ok := d.Models[cp.Base]
	if !ok {
		d.deny(dem, ReasonUnknown, 0)

		return
	}

	_, loading := d.count(base.Name)
	if loading > 0 {
		d.expect(Demand{Model: base.Name})
		d.out = append(d.out, Expect{Model: cp.Name, Ready: d.duration(base, target.TierRemote)})

		return
	}

	if d.demanded[base.Name] && base.Name != dem.Model {
		// Another demand of this round has placed the base, or could not.
		return
	}

	d.demanded[base.Name] = true
	needed := dem
	needed.Model = base.Name
	d.place(base, needed, evict)
	d.out = append(d.out, Expect{Model: cp.Name, Ready: d.duration(base, target.TierRemote)})
}

// takeShare counts one more load against the weight store's concurrency.
func (d *decider) takeShare(cp weight.Checkpoint) bool {
	left := &d.loads
	if cp.Base != "" {
		left = &d.adapters
	}

	if *left <= 0 {
		return false
	}

	*left--

	return true
}

func (d *decider) expect(dem Demand) {
	for _, r := range d.Book.Model(dem.Model) {
		if r.State.Phase != target.Loading || r.State.Retiring {
			continue
		}

		left := d.duration(d.Models[dem.Model], target.TierRemote) - d.Now.Sub(r.State.Since)
		d.out = append(d.out, Expect{Model: dem.Model, Ready: max(left, minReady)})

		return
	}
}

// minReady is the least time that is promised for a load that is late.
const minReady = 50 * time.Millisecond

func (d *decider) deny(dem Demand, reason string, retryAfter time.Duration) {
	if dem.Waiting > 0 {
		d.out = append(d.out, Deny{Model: dem.Model, Reason: reason, RetryAfter: retryAfter})
	}
}

// busyRetry is what a caller is told when all memory is in use, and how long
// a wait for memory or a target is expected to take.
const busyRetry = 2 * time.Second

// denyFor handles a wait for which no target was found. What may pass, such as
// memory that is in use right now, is waited out while the deadline allows.
func (d *decider) denyFor(cp weight.Checkpoint, dem Demand, reason string) {
	if ready, _ := d.count(cp.Name); ready > 0 {
		return
	}

	if reason == ReasonTooLarge {
		d.deny(dem, reason, 0)

		return
	}

	load := busyRetry + d.duration(cp, target.TierRemote)
	if dem.Waiting > 0 && dem.Deadline.Sub(d.Now) > load && len(d.Targets) > 0 {
		d.out = append(d.out, Expect{Model: cp.Name, Ready: load})

		return
	}

	d.deny(dem, reason, busyRetry)
}

// backingOff reports whether the model's last load failed, and how long to
// wait. The wait doubles with each failure in a row; its jitter comes from the
// model's name, so that a decision stays a function of its input.
func (d *decider) backingOff(model string) (time.Duration, bool) {
	for _, r := range d.Book.Model(model) {
		if r.State.Phase != target.Failed {
			continue
		}

		wait := backoff(d.Terms, r.State.Failures, model) - d.Now.Sub(r.State.Since)
		if wait > 0 {
			return wait, true
		}
	}

	return 0, false
}

func backoff(t Terms, failures int, model string) time.Duration {
	const half = 0.5

	wait := float64(t.RetryBase) * math.Pow(2, float64(min(max(failures, 1), 16)-1)) //nolint:mnd // Doubles; bounded.
	wait = min(wait, float64(t.RetryMax))

	return time.Duration(wait * (half + half*jitter(model)))
}

// duration returns how long a load takes from the tier.
func (d *decider) duration(cp weight.Checkpoint, tier target.Tier) time.Duration {
	if d.BytesPerSecond <= 0 {
		return 0
	}

	return time.Duration(float64(cp.Bytes) / d.BytesPerSecond / speedup(tier) * float64(time.Second))
}

// speedup is how much faster a load from the tier is than a remote one.
func speedup(tier target.Tier) float64 {
	switch tier {
	case target.TierMemory:
		return 10
	case target.TierDisk:
		return 3
	case target.TierRemote:
	}

	return 1
}
