package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// holderStateTTL is how long the holder's snapshot takes precedence over
	// the list of targets: the holder records its own loads seconds before they
	// appear in the list, but without a holder the list is the only source.
	holderStateTTL = 4 * time.Second
	// minMissingPause is how long a target that reported a key as missing gets
	// no requests for it, doubled each time up to maxMissingPause.
	minMissingPause = 150 * time.Millisecond
	maxMissingPause = 1200 * time.Millisecond
	// missingReset is how long after the last such pause the doubling is reset.
	missingReset = 3 * time.Second
	// rebuildPauseFactor is the pause after a rebuild of the routing as a
	// multiple of the time it took, so that rebuilds use at most a tenth of a
	// core.
	rebuildPauseFactor = 9
	// maxRebuildPause bounds that pause. A process that was stopped during a rebuild
	// would otherwise route by outdated state for nine times as long as it was stopped.
	maxRebuildPause = 500 * time.Millisecond
)

// maintainRouting rebuilds the routing whenever its inputs change, and when a
// load is predicted to finish.
func (n *Node) maintainRouting(ctx context.Context) {
	next := time.NewTimer(time.Hour)
	defer next.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-n.routingChanged:
		case <-next.C:
		}

		began := time.Now()
		again := n.rebuild(began)

		// Changes of hundreds of engines arrive faster than they can be applied
		// one by one.
		_ = clock.Sleep(ctx, rebuildPause(time.Since(began))) // The loop checks ctx.

		next.Reset(again)
	}
}

// rebuildPause returns the pause after a rebuild that took so long.
func rebuildPause(took time.Duration) time.Duration {
	return min(rebuildPauseFactor*took, maxRebuildPause)
}

// rebuild updates the routing and returns how long it stays valid without a
// change of its inputs.
func (n *Node) rebuild(now time.Time) time.Duration {
	c := n.config()
	if c == nil {
		return time.Hour
	}

	n.mu.Lock()
	b := builder{applied: &n.applied, now: now, heldUntil: func(t inventory.Target) (time.Time, bool) {
		return n.origins.histories.heldUntil(serviceSoftware{t.Service, t.Software}, now)
	}, boundTokens: n.cfg.BoundedMemory, countID: 1 + uint64(n.holderReceived.Sub(n.started)/reportInterval), expires: now.Add(holderStateTTL), missing: n.missing, upcoming: make(map[string]time.Time), snapshot: router.Snapshot{Holder: n.cfg.Self, Token: 1}}
	n.snapshotNumber++
	b.snapshot.Number = n.snapshotNumber
	b.snapshot.Targets = make([]router.TargetInfo, 0, len(n.targetsByID))
	n.applied.beginSnapshot(&b.snapshot)

	engines := make(map[instance.ID]*holder.EngineState, len(n.holderState.Engines))

	if now.Sub(n.holderReceived) < holderStateTTL {
		for i := range n.holderState.Engines {
			engines[n.holderState.Engines[i].Target] = &n.holderState.Engines[i]
		}
	}

	for key, r := range n.missing {
		if now.Sub(r.until) > missingReset {
			delete(n.missing, key)
		}
	}

	for _, t := range n.targets {
		if service, ok := c.Services[t.Service]; ok {
			b.addTarget(t, service, engines[t.ID], n.rests.Until(processOf(t)))
		}
	}

	if now.Sub(n.holderReceived) < holderStateTTL {
		b.addPredictions(n.holderState.Predictions)
	}

	backlogs, received := n.holderState.Backlogs, n.holderReceived
	n.mu.Unlock()
	b.addWaits()
	b.addBacklogs(backlogs, received)

	n.applied.addRemovedTargets(&b.snapshot)
	n.routing.Apply(&b.snapshot, now)
	n.dispatcher.WakeQueues()

	return max(time.Millisecond, b.expires.Sub(now))
}

// appliedRouting is the routing that was applied last. Only maintainRouting
// uses it. The zero value is an empty routing.
type appliedRouting struct {
	lastSnapshot uint64
	targets      map[instance.ID]*appliedTarget
	// keys caches routing keys.
	keys map[keyParts]string
}

// appliedTarget is a target and the keys that it was ready to serve.
type appliedTarget struct {
	address netip.AddrPort
	keys    []string
	// lastSnapshot is the number of the last snapshot that contained the
	// target.
	lastSnapshot uint64
}

type keyParts struct{ service, model, adapter string }

// maxKeys bounds the cached keys, which include those of removed models.
const maxKeys = 16384

// key returns the routing key of a model or an adapter of a service.
func (r *appliedRouting) key(service, model, adapter string) string {
	parts := keyParts{service, model, adapter}
	if key, ok := r.keys[parts]; ok {
		return key
	}

	if r.keys == nil || len(r.keys) >= maxKeys {
		r.keys = make(map[keyParts]string)
	}

	key := relay.RoutingKey(service, model)
	if adapter != "" {
		key += "/" + adapter
	}

	r.keys[parts] = key

	return key
}

// beginSnapshot makes s a delta to the last snapshot.
//
// This limits the load of many entries and engines: hundreds of engines make
// dozens of changes a second, and rebuilding all replicas each time takes most
// of an entry's processor.
func (r *appliedRouting) beginSnapshot(s *router.Snapshot) {
	s.Base = r.lastSnapshot
	r.lastSnapshot = s.Number

	if r.targets == nil {
		r.targets = make(map[instance.ID]*appliedTarget)
	}
}

// addChanges adds a target's changes to the snapshot.
func (r *appliedRouting) addChanges(s *router.Snapshot, id instance.ID, address netip.AddrPort, keys []string) {
	t := r.targets[id]
	if t == nil {
		t = &appliedTarget{address: address}
		r.targets[id] = t
	}

	// A target at a new address is another target.
	if t.address != address {
		remove(s, id, t.keys)
		t.address, t.keys = address, nil
	}

	t.lastSnapshot = s.Number

	if slices.Equal(t.keys, keys) {
		return
	}

	remove(s, id, difference(t.keys, keys))

	for _, key := range difference(keys, t.keys) {
		s.Added = append(s.Added, router.Replica{Target: id, Model: key})
	}

	t.keys = slices.Clone(keys)
}

// addRemovedTargets adds the removal of targets that are not in the snapshot.
func (r *appliedRouting) addRemovedTargets(s *router.Snapshot) {
	for id, t := range r.targets {
		if t.lastSnapshot != s.Number {
			remove(s, id, t.keys)
			s.RemovedTargets = append(s.RemovedTargets, id)
			delete(r.targets, id)
		}
	}
}

func remove(s *router.Snapshot, id instance.ID, keys []string) {
	for _, key := range keys {
		s.Removed = append(s.Removed, router.Replica{Target: id, Model: key})
	}
}

// difference returns the keys that are not in others.
func difference(keys, others []string) []string {
	var out []string

	for _, key := range keys {
		if !slices.Contains(others, key) {
			out = append(out, key)
		}
	}

	return out
}

// builder builds a routing snapshot.
type builder struct {
	applied *appliedRouting
	now     time.Time
	// expires is when the snapshot becomes outdated without a change of its
	// inputs.
	expires time.Time
	missing map[holder.Missing]missingReport
	// countID distinguishes the holder's successive counts of running requests.
	countID  uint64
	snapshot router.Snapshot
	// heldUntil returns until when a target is sent no requests because its software is not
	// recorded yet. It returns false if it is sent some.
	heldUntil func(inventory.Target) (time.Time, bool)
	// boundTokens limits the tokens of each target's requests to its memory.
	boundTokens bool
	// keys are the ready keys of the target being added.
	keys []string
	// upcoming is the time at which the first replica of a key that is not
	// ready yet will be.
	upcoming map[string]time.Time
}

func (b *builder) addTarget(t inventory.Target, service route.Service, s *holder.EngineState, restUntil time.Time) {
	info := router.TargetInfo{
		ID: t.ID, DataCentre: t.DataCentre, Address: t.Address, Speed: 1, Slots: t.Slots,
		Leaving: t.Leaving, RestUntil: restUntil, Incarnation: processOf(t).Incarnation, Software: t.Software, ReportAge: reportAge,
	}

	if until, held := b.heldUntil(t); held {
		b.expires = clock.Earlier(b.expires, until)
		b.snapshot.Targets = append(b.snapshot.Targets, info)
		b.applied.addChanges(&b.snapshot, t.ID, t.Address, nil)

		return
	}

	e := service.Engine
	if e == nil {
		b.snapshot.Targets = append(b.snapshot.Targets, info)
		b.keys = append(b.keys[:0], b.applied.key(t.Service, "", ""))
		b.applied.addChanges(&b.snapshot, t.ID, t.Address, b.keys)

		return
	}

	info.Slots = e.Concurrency(info.Slots)

	if s != nil && s.Born != t.StartedMs {
		s = nil
	}

	info.CountID = b.countID
	if s != nil {
		info.Running, info.WaitingEntries = s.Running, s.WaitingEntries
	}

	b.addWork(&info, e, s)

	b.snapshot.Targets = append(b.snapshot.Targets, info)

	b.keys = b.keys[:0]

	for _, h := range residentModels(t, s) {
		b.addReplica(t.ID, b.applied.key(t.Service, h.Model, ""), h.Ready)

		for _, a := range h.Adapters {
			b.addReplica(t.ID, b.applied.key(t.Service, h.Model, a.Name), clock.Later(h.Ready, a.Ready))
		}
	}

	b.applied.addChanges(&b.snapshot, t.ID, t.Address, b.keys)
}

// reportAge is the report age given for every target in a snapshot. It is above
// zero, so that a death that the router detects stands until a newer process is
// listed, or until a snapshot is built that is later by at least reportAge plus
// the router's deathOverride.
const reportAge = time.Second

// residentModels returns the models on a target: from the holder's engine state
// if there is one, or else from the list.
func residentModels(t inventory.Target, s *holder.EngineState) []holder.ResidentModel {
	if s != nil {
		return s.Resident
	}

	out := make([]holder.ResidentModel, len(t.Resident))

	for i, h := range t.Resident {
		out[i].Model = h.Model
		for _, name := range h.Adapters {
			out[i].Adapters = append(out[i].Adapters, holder.ResidentAdapter{Name: name})
		}
	}

	return out
}

// addReplica adds a key that is ready, or records when it will be.
func (b *builder) addReplica(id instance.ID, key string, ready time.Time) {
	if len(b.missing) > 0 {
		if r, ok := b.missing[holder.Missing{Target: id, Key: key}]; ok {
			ready = clock.Later(ready, r.until)
		}
	}

	if ready.After(b.now) {
		if ready.Before(b.expires) {
			b.expires = ready
		}

		if first, ok := b.upcoming[key]; !ok || ready.Before(first) {
			b.upcoming[key] = ready
		}

		return
	}

	b.keys = append(b.keys, key)
}

// addPredictions adds the loads that the holder predicts, for keys without an
// upcoming replica.
func (b *builder) addPredictions(predictions []holder.Prediction) {
	for _, p := range predictions {
		if _, ok := b.upcoming[p.Key]; !ok && p.Ready.After(b.now) {
			b.upcoming[p.Key] = p.Ready
		}
	}
}

// addWaits adds the keys whose replicas are not ready yet, so that requests
// whose deadline is earlier are refused at once.
func (b *builder) addWaits() {
	for key, ready := range b.upcoming {
		b.snapshot.Waits = append(b.snapshot.Waits, router.Wait{Model: key, Ready: ready.Sub(b.now)})
	}
}

// missingReport is a target's report that it does not hold a key.
type missingReport struct {
	// until is when requests for the key may be sent to the target again, and
	// pause the length of the last pause.
	until time.Time
	pause time.Duration
}

// recordMissing records that a target does not hold a key.
func (n *Node) recordMissing(t *router.Target, key string) {
	m := holder.Missing{Target: t.ID, Key: key}

	n.mu.Lock()

	now, r := time.Now(), n.missing[m]
	if now.After(r.until) {
		// Requests that were sent at the same time count once.
		r.pause = min(max(minMissingPause, 2*r.pause), maxMissingPause)
		r.until = now.Add(r.pause)
		n.missing[m] = r
	}

	n.unreportedMissing = append(n.unreportedMissing, m)
	n.mu.Unlock()
	signal(n.routingChanged)
	signal(n.reportSoon)
}

// recordUnreachable reports to the holder that a target accepts no connections.
func (n *Node) recordUnreachable(t *router.Target) {
	n.mu.Lock()
	n.unreportedMissing = append(n.unreportedMissing, holder.Missing{Target: t.ID})
	n.mu.Unlock()
	signal(n.reportSoon)
}

// markMoved marks a target as leaving because another instance answers at its
// address.
func (n *Node) markMoved(t *router.Target) {
	if t.MarkLeaving() {
		n.cfg.Log.Warn().Str("target", string(t.ID)).Stringer("address", t.Address).Msg("address belongs to another target")
		n.dispatcher.Crashes.Prove(crash.Death{Target: t.ID, Incarnation: t.Info().Incarnation})
	}
}
