package node

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// newsLast is for how long a holder's news go before the list of targets:
	// the holder knows of its own loads seconds before the list does, but
	// without a holder the list is all there is.
	holderStateTTL = 4 * time.Second
	// absentFor is for how long a target that said that it does not hold a
	// model is not asked for it again, doubled up to absentMost each time.
	minAbsentPause  = 150 * time.Millisecond
	maxAbsentPause = 1200 * time.Millisecond
	// absentForget is how long after the last such word the doubling ends.
	absentReset = 3 * time.Second
	// rebuildRest is how many times as long as building the routing took it is
	// not built again, so that it takes at most a tenth of a core.
	rebuildPauseFactor = 9
)

// keepRouting builds the routing anew whenever what it rests on changes, and
// when a load is expected to end.
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

		// Changes of hundreds of engines come faster than they can be taken in.
		_ = clock.Sleep(ctx, rebuildPauseFactor*time.Since(began)) // The loop looks at ctx.

		next.Reset(again)
	}
}

// rebuild builds the routing and returns when it changes by itself.
func (n *Node) rebuild(now time.Time) time.Duration {
	c := n.config()
	if c == nil {
		return time.Hour
	}

	n.mu.Lock()
	b := builder{applied: &n.applied, now: now, countID: 1 + uint64(n.holderReceived.Sub(n.started)/reportInterval), expires: now.Add(holderStateTTL), absences: n.absences, upcoming: make(map[string]time.Time), snapshot: router.Snapshot{Holder: n.cfg.Self, Token: 1}}
	n.snapshotNumber++
	b.snapshot.Number = n.snapshotNumber
	b.snapshot.Targets = make([]router.TargetInfo, 0, len(n.targetsByID))
	n.applied.beginSnapshot(&b.snapshot)

	engines := make(map[instance.ID]*holder.Station, len(n.holderState.Stations))

	if now.Sub(n.holderReceived) < holderStateTTL {
		for i := range n.holderState.Stations {
			engines[n.holderState.Stations[i].Target] = &n.holderState.Stations[i]
		}
	}

	for key, a := range n.absences {
		if now.Sub(a.until) > absentReset {
			delete(n.absences, key)
		}
	}

	for _, t := range n.targetsByID {
		if service, ok := c.Services[t.Service]; ok {
			b.addTarget(t, service, engines[t.ID])
		}
	}

	if now.Sub(n.holderReceived) < holderStateTTL {
		b.addPredictions(n.holderState.Waits)
	}
	n.mu.Unlock()
	b.addWaits()

	n.applied.addRemovedTargets(&b.snapshot)
	n.routing.Apply(&b.snapshot, now)
	n.dispatcher.WakeQueues()

	return max(time.Millisecond, b.expires.Sub(now))
}

// routed is what was applied last. Only keepRouting uses it. The zero value has
// applied nothing.
type appliedRouting struct {
	lastSnapshot  uint64
	targets map[instance.ID]*appliedTarget
	// keys are those that were made before.
	keys map[keyParts]string
}

// routedTarget is a target with what it had ready.
type appliedTarget struct {
	address netip.AddrPort
	keys    []string
	// number is that of the last snapshot that had it.
	lastSnapshot uint64
}

type keyParts struct{ service, model, adapter string }

// keysKept bounds the keys that are kept, those of models that are gone among
// them.
const maxKeys = 16384

// key returns the key of what a target holds.
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

// begin begins a snapshot that tells what has changed since the last one.
//
// It answers the load of many entries and engines: one of hundreds of engines
// changes dozens of times a second, and to build all replicas anew each time
// takes most of an entry's processor.
func (r *appliedRouting) beginSnapshot(s *router.Snapshot) {
	s.Base = r.lastSnapshot
	r.lastSnapshot = s.Number

	if r.targets == nil {
		r.targets = make(map[instance.ID]*appliedTarget)
	}
}

// note adds to the snapshot what has changed of a target.
func (r *appliedRouting) addChanges(s *router.Snapshot, id instance.ID, address netip.AddrPort, keys []string) {
	t := r.targets[id]
	if t == nil {
		t = &appliedTarget{address: address}
		r.targets[id] = t
	}

	// At a new address it is another target.
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

// finish adds to the snapshot the targets that are gone.
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

// without returns the keys that are not among the others.
func difference(keys, others []string) []string {
	var out []string

	for _, key := range keys {
		if !slices.Contains(others, key) {
			out = append(out, key)
		}
	}

	return out
}

// builder makes a routing snapshot of what is known of the targets.
type builder struct {
	applied *appliedRouting
	now    time.Time
	// next is when the snapshot is out of date by itself.
	expires   time.Time
	absences map[holder.Missing]absence
	// count tells apart the holder's counts of what runs on targets.
	countID    uint64
	snapshot router.Snapshot
	// keys are what the target that is added has ready.
	keys []string
	// coming is when the first replica of a key is ready that is not yet.
	upcoming map[string]time.Time
}

func (b *builder) addTarget(t inventory.Target, service route.Service, s *holder.Station) {
	info := router.TargetInfo{
		ID: t.ID, DataCentre: t.DataCentre, Address: t.Address, Speed: 1, Slots: t.Slots,
		Leaving: t.Leaving, Incarnation: strconv.FormatInt(t.Born, 10), ReportAge: reportAge,
	}

	e := service.Engine
	if e == nil {
		b.snapshot.Targets = append(b.snapshot.Targets, info)
		b.keys = append(b.keys[:0], b.applied.key(t.Service, "", ""))
		b.applied.addChanges(&b.snapshot, t.ID, t.Address, b.keys)

		return
	}

	info.Slots = e.Concurrency(info.Slots)

	if s != nil && s.Born != t.Born {
		s = nil
	}

	info.CountID = b.countID
	if s != nil {
		info.Running, info.WaitingEntries = s.Running, s.Lines
	}

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

// reportAge makes a death that was found stand until a newer process is
// listed.
const reportAge = time.Second

// heldBy returns what a target holds: by the holder's news if there are any,
// or else by the list.
func residentModels(t inventory.Target, s *holder.Station) []holder.Held {
	if s != nil {
		return s.Held
	}

	out := make([]holder.Held, len(t.Held))

	for i, h := range t.Held {
		out[i].Model = h.Model
		for _, name := range h.Adapters {
			out[i].Adapters = append(out[i].Adapters, holder.Adapter{Name: name})
		}
	}

	return out
}

// replica adds what is ready by now, and notes when the rest will be.
func (b *builder) addReplica(id instance.ID, key string, ready time.Time) {
	if len(b.absences) > 0 {
		if a, ok := b.absences[holder.Missing{Target: id, Key: key}]; ok {
			ready = clock.Later(ready, a.until)
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

// expect notes models that the holder foretells.
func (b *builder) addPredictions(waits []holder.Wait) {
	for _, w := range waits {
		if _, ok := b.upcoming[w.Key]; !ok && w.Ready.After(b.now) {
			b.upcoming[w.Key] = w.Ready
		}
	}
}

// wait says for which keys a replica is on its way, so that requests which
// cannot wait so long are refused at once.
func (b *builder) addWaits() {
	for key, ready := range b.upcoming {
		b.snapshot.Waits = append(b.snapshot.Waits, router.Wait{Model: key, Ready: ready.Sub(b.now)})
	}
}

// absence is a target's word that it does not hold a key.
type absence struct {
	// until is from when the target is asked again, and pause how long that
	// was at the last word.
	until time.Time
	pause time.Duration
}

// foundAbsent notes that a target does not hold a key.
func (n *Node) recordAbsent(t *router.Target, key string) {
	m := holder.Missing{Target: t.ID, Key: key}

	n.mu.Lock()

	now, a := time.Now(), n.absences[m]
	if now.After(a.until) {
		// Requests that were sent together count once.
		a.pause = min(max(minAbsentPause, 2*a.pause), maxAbsentPause)
		a.until = now.Add(a.pause)
		n.absences[m] = a
	}

	n.unreportedMissing = append(n.unreportedMissing, m)
	n.mu.Unlock()
	signal(n.routingChanged)
	signal(n.reportSoon)
}

// foundUnreached tells the holder that a target takes no connection.
func (n *Node) recordUnreachable(t *router.Target) {
	n.mu.Lock()
	n.unreportedMissing = append(n.unreportedMissing, holder.Missing{Target: t.ID})
	n.mu.Unlock()
	signal(n.reportSoon)
}

// foundMoved notes that another instance has a target's address.
func (n *Node) markMoved(t *router.Target) {
	if t.MarkLeaving() {
		n.cfg.Log.Warn().Str("target", string(t.ID)).Stringer("address", t.Address).Msg("address belongs to another target")
	}
}
