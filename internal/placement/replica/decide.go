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

// decider collects the decisions of one round. Each of them takes those before
// it into account: memory that one load takes is not available to the next.
type decider struct {
	*Snapshot

	out []Decision
	// reservedBytes are the bytes that this round's loads take, by index of the
	// target.
	reservedBytes []int64
	// retired are the ledger rows that this round retires.
	retired map[ledger.Key]bool
	// demanded are the models with demand.
	demanded map[string]bool
	// placed are the models for which this round has looked for a target, so
	// that a base that several models need is loaded once.
	placed           map[string]bool
	freeLoads        int
	freeAdapterLoads int
}

// Decide returns the decisions for now, the most urgent loads first.
func Decide(s *Snapshot) []Decision {
	d := &decider{
		Snapshot:         s,
		reservedBytes:    make([]int64, len(s.Targets)),
		retired:          make(map[ledger.Key]bool),
		demanded:         make(map[string]bool, len(s.Demand)),
		placed:           make(map[string]bool),
		freeLoads:        s.FreeLoads,
		freeAdapterLoads: s.FreeAdapterLoads,
	}

	for _, dem := range s.Demand {
		d.demanded[dem.Model] = true
	}

	for _, dem := range d.byUrgency() {
		d.decideModel(dem)
	}

	d.preLoad()
	d.retireIdle()

	return d.out
}

// byUrgency sorts the demand: models with waiting requests first, then by
// priority, then by the time that is left before the deadline once the load is
// done.
func (d *decider) byUrgency() []Demand {
	sorted := slices.Clone(d.Demand)
	slack := func(dem Demand) time.Duration {
		return dem.Deadline.Sub(d.Now) - d.loadTime(d.Models[dem.Model], target.TierRemote)
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

// decideModel decides for one model with demand.
func (d *decider) decideModel(dem Demand) {
	cp, ok := d.Models[dem.Model]
	if !ok {
		d.deny(dem, ReasonUnknown, 0)

		return
	}

	ready, loading := d.count(dem.Model)

	switch {
	case ready+loading == 0 && dem.Waiting > 0:
		if !d.cancelRetire(dem.Model) {
			d.place(cp, dem, true)
		}
	case ready+loading == 0:
	case loading > 0:
		d.predict(dem)
	case d.crowded(dem):
		d.place(cp, dem, false)
	}
}

// count returns how many replicas are ready and how many are loading.
func (d *decider) count(model string) (ready, loading int) {
	for _, r := range d.Ledger.Model(model) {
		switch {
		case r.State.Retiring || d.retired[r.Key] || d.isLost(r):
		case r.State.Phase == target.Ready:
			ready++
		case r.State.Phase == target.Loading:
			loading++
		}
	}

	return ready, loading
}

// isLost reports whether the row's target is unknown or lost, so that the
// replica serves no requests.
func (d *decider) isLost(r *ledger.Row) bool {
	at, ok := d.targetIndex(r)

	return !ok || d.Targets[at].Lost
}

// cancelRetire cancels the retirement of a replica that is still loaded.
func (d *decider) cancelRetire(model string) bool {
	for _, r := range d.Ledger.Model(model) {
		if r.State.Retiring && r.State.Phase == target.Ready && !d.isLost(r) {
			d.out = append(d.out, CancelRetire{Target: r.Target, Model: model})

			return true
		}
	}

	return false
}

// crowded reports whether the model's replicas are so full that another one
// justifies its load. The slots of replicas on lost targets count as well.
func (d *decider) crowded(dem Demand) bool {
	slots := 0

	for _, r := range d.Ledger.Model(dem.Model) {
		if at, ok := d.targetIndex(r); ok && !r.State.Retiring {
			slots += d.Targets[at].Slots
		}
	}

	return float64(dem.Waiting+dem.Running) > d.Weights.ScaleUp*float64(slots)
}

func (d *decider) targetIndex(r *ledger.Row) (int, bool) {
	return slices.BinarySearchFunc(d.Targets, r, func(t Target, r *ledger.Row) int {
		return cmp.Compare(t.ID, r.Target)
	})
}

// place chooses a target for the model and, if necessary, the replicas to evict
// there.
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

	best := d.cheapestTarget(cp, dem.Plan, evict)
	if best.at < 0 {
		d.noTarget(cp, dem, best.reason)

		return
	}

	t := &d.Targets[best.at]
	for _, k := range best.victims {
		d.retire(k, cp.Name)
	}

	if len(best.victims) > 0 {
		// The memory is free only once the engine has confirmed the unload. A
		// later round starts the load; until then, the predicted time until the
		// model is ready is the load's duration.
		d.out = append(d.out, Predict{Model: cp.Name, ReadyIn: best.ready})

		return
	}

	if !d.reserveLoad(cp) {
		d.out = append(d.out, Predict{Model: cp.Name, ReadyIn: 2 * best.ready})

		return
	}

	d.reservedBytes[best.at] += cp.Bytes
	d.out = append(d.out, Load{
		Target: t.ID, Model: cp.Name, Base: cp.Base, Bytes: cp.Bytes, Plan: dem.Plan, ReadyIn: best.ready,
	})
}

// hasReady reports whether a replica of the model accepts requests on any
// target.
func (d *decider) hasReady(model string) bool {
	ready, _ := d.count(model)

	return ready > 0
}

// placeBase loads the base of an adapter first. The adapter is loaded once the
// base is ready.
func (d *decider) placeBase(cp weight.Checkpoint, dem Demand, evict bool) {
	base, ok := d.Models[cp.Base]
	if !ok {
		d.deny(dem, ReasonUnknown, 0)

		return
	}

	_, loading := d.count(base.Name)
	if loading > 0 {
		d.predict(Demand{Model: base.Name})
		d.out = append(d.out, Predict{Model: cp.Name, ReadyIn: d.loadTime(base, target.TierRemote)})

		return
	}

	if d.demanded[base.Name] && base.Name != dem.Model {
		// Another demand of this round has placed the base already, or found no
		// target for it.
		return
	}

	d.demanded[base.Name] = true
	needed := dem
	needed.Model = base.Name
	d.place(base, needed, evict)
	d.out = append(d.out, Predict{Model: cp.Name, ReadyIn: d.loadTime(base, target.TierRemote)})
}

// reserveLoad takes one of the loads that the cell may still start within its
// share of the weight store's concurrency. It returns false if none is left.
func (d *decider) reserveLoad(cp weight.Checkpoint) bool {
	left := &d.freeLoads
	if cp.Base != "" {
		left = &d.freeAdapterLoads
	}

	if *left <= 0 {
		return false
	}

	*left--

	return true
}

func (d *decider) predict(dem Demand) {
	for _, r := range d.Ledger.Model(dem.Model) {
		if r.State.Phase != target.Loading || r.State.Retiring {
			continue
		}

		left := d.loadTime(d.Models[dem.Model], target.TierRemote) - d.Now.Sub(r.State.Since)
		d.out = append(d.out, Predict{Model: dem.Model, ReadyIn: max(left, minPrediction)})

		return
	}
}

// minPrediction is the shortest time that is predicted for a load that is late.
const minPrediction = 50 * time.Millisecond

func (d *decider) deny(dem Demand, reason string, retryAfter time.Duration) {
	if dem.Waiting > 0 {
		d.out = append(d.out, Deny{Model: dem.Model, Reason: reason, RetryAfter: retryAfter})
	}
}

// retryAfterBusy is the time after which a client should retry when no target
// was found, for instance because all memory is in use. It is also the
// predicted wait for memory or a target.
const retryAfterBusy = 2 * time.Second

// noTarget handles a demand for which no target was found. If the cause may
// pass, such as memory that is in use, the requests keep waiting as long as
// their deadline allows a wait for memory and the load.
func (d *decider) noTarget(cp weight.Checkpoint, dem Demand, reason string) {
	if ready, _ := d.count(cp.Name); ready > 0 {
		return
	}

	if reason == ReasonTooLarge {
		d.deny(dem, reason, 0)

		return
	}

	readyIn := retryAfterBusy + d.loadTime(cp, target.TierRemote)
	if dem.Waiting > 0 && dem.Deadline.Sub(d.Now) > readyIn && len(d.Targets) > 0 {
		d.out = append(d.out, Predict{Model: cp.Name, ReadyIn: readyIn})

		return
	}

	d.deny(dem, reason, retryAfterBusy)
}

// backingOff reports whether the model's last load failed so recently that it
// must not be retried yet, and how long to wait. The wait doubles with each
// consecutive failure. Its jitter depends on the model's name only, so that a
// decision remains a function of its input.
func (d *decider) backingOff(model string) (time.Duration, bool) {
	for _, r := range d.Ledger.Model(model) {
		if r.State.Phase != target.Failed {
			continue
		}

		wait := backoff(d.Weights, r.State.Failures, model) - d.Now.Sub(r.State.Since)
		if wait > 0 {
			return wait, true
		}
	}

	return 0, false
}

func backoff(weights Weights, failures int, model string) time.Duration {
	const half = 0.5

	wait := float64(weights.RetryBase) * math.Pow(2, float64(min(max(failures, 1), 16)-1)) //nolint:mnd // Doubles for up to 16 failures.
	wait = min(wait, float64(weights.RetryMax))

	return time.Duration(wait * (half + half*jitter(model)))
}

// loadTime returns the duration of a load from the tier.
func (d *decider) loadTime(cp weight.Checkpoint, tier target.Tier) time.Duration {
	if d.BytesPerSecond <= 0 {
		return 0
	}

	return time.Duration(float64(cp.Bytes) / d.BytesPerSecond / speedup(tier) * float64(time.Second))
}

// speedup returns how many times faster a load from the tier is than a remote
// load.
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
