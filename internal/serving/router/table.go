// Package router keeps an entry's routing table and chooses targets. Readers of
// the table take no lock: the table is an immutable value behind an atomic
// pointer. A target's load, which changes with each request, is kept in atomics
// that all versions of the table share.
package router

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// TargetInfo is what a cell's lease holder publishes about a target.
type TargetInfo struct {
	ID         instance.ID
	DataCentre instance.DataCentre
	Address    netip.AddrPort
	Speed      float64
	Memory     int64
	// ReservedMemory is the memory that the ledger has reserved on the target.
	ReservedMemory int64
	Slots          int
	Running        int
	Waiting        int
	// WaitingEntries is an upper bound on the number of entries with queued
	// requests for one of the target's models. Zero means unknown.
	WaitingEntries int
	// ReportAge is the age of the report when it was published.
	ReportAge time.Duration
	// CountID identifies the count that Running comes from, so that one count
	// published twice is recognised. Zero means that each publication has a new
	// count.
	CountID uint64
	Leaving bool
	// RestUntil is the end of a rest that the target asked this entry for. Zero means
	// none.
	RestUntil time.Time
	// Down says that the lease holder cannot reach the target.
	Down bool
	// Incarnation is the engine's incarnation in the report.
	Incarnation string
	// Software is the version of the target's program.
	Software instance.Software
	// Tokens is the memory for prompts and answers that the requests of all entries may
	// take, in tokens, and TokenLimit what the target has. Zero for TokenLimit means
	// unknown.
	Tokens, TokenLimit int
	// SmallBatch says that requests are balanced by work, speed and memory (see
	// route.Engine.SmallBatch).
	SmallBatch bool
	// Uncounted says that no holder counts the requests of all entries.
	Uncounted bool
}

// Replica is a model that is ready on a target.
type Replica struct {
	Target instance.ID
	Model  string
}

// Wait says why requests for a model are queued and when a replica is predicted.
type Wait struct {
	Model string
	// Ready is the predicted time until a replica is ready. Zero means unknown.
	Ready time.Duration
	// Reason is set if no replica can be loaded. RetryAfter then says when a
	// client may retry.
	Reason     string
	RetryAfter time.Duration
	// Waiting is the number of queued requests on all entries, and StartsPerSecond the
	// rate at which they start; zero means unknown.
	Waiting         int
	StartsPerSecond float64
	// BacklogAt is when this entry received Waiting and StartsPerSecond.
	BacklogAt time.Time
}

// MaxBacklogAge is the age from which Wait.Waiting and Wait.StartsPerSecond say nothing
// about the present.
const MaxBacklogAge = 2 * time.Second

// Snapshot is the routing state that a cell's lease holder publishes, either
// complete or as a delta.
type Snapshot struct {
	Cell   int
	Holder instance.ID
	// Token is the fencing token of the lease.
	Token uint64
	// Number increases by one with each snapshot under one token.
	Number uint64
	// Base is the number of the snapshot that a delta is based on. Zero means a
	// complete snapshot.
	Base uint64
	// Targets lists the targets that changed since Base.
	Targets []TargetInfo
	// RemovedTargets lists the targets that the cell has lost since Base.
	RemovedTargets []instance.ID
	// Added and Removed are the changes to the ready replicas since Base.
	Added, Removed []Replica
	// Waits lists all models with queued requests, also in a delta.
	Waits []Wait
}

// Target is this entry's state of one target.
type Target struct {
	ID         instance.ID
	DataCentre instance.DataCentre
	Address    netip.AddrPort
	Cell       int

	// info is the last published TargetInfo. It is replaced, never changed.
	info atomic.Pointer[TargetInfo]
	// reportedAt is when info was measured, in nanoseconds since 1970.
	reportedAt atomic.Int64
	// inFlightAtCount is the value of inFlight when the last new count of
	// running requests was applied.
	inFlightAtCount atomic.Int64
	// remainderDraw holds the bits of a random float64 in [0, 1) that is drawn
	// with each new count of running requests.
	remainderDraw atomic.Uint64
	// inFlight is the number of this entry's requests on the target.
	inFlight atomic.Int64
	// suspects is the number of those that are suspected of crashing targets.
	suspects atomic.Int64
	// leaving is set by the first message that the target is leaving. Only a new
	// incarnation of the target clears it.
	leaving atomic.Bool
	// rest is the rest that the target asked this entry for.
	rest    rest
	brittle brittle
	// ejectedUntil is the end of an ejection, in nanoseconds since 1970.
	ejectedUntil atomic.Int64
	// pausedUntil is the time, in nanoseconds since 1970, before which this entry
	// sends no request to the target because of the target's rate limit. pauseNs
	// is the length of that pause.
	pausedUntil, pauseNs atomic.Int64
	// failures is the number of consecutive failures.
	failures atomic.Int64
	// dead is the death that was recorded last, or nil.
	dead atomic.Pointer[deathRecord]
	// firstTokenNs is the smoothed time to first token without queueing, in
	// nanoseconds. Zero means unknown.
	firstTokenNs atomic.Int64
	connections
	work
}

// Info returns the last published TargetInfo of the target.
func (t *Target) Info() TargetInfo {
	if info := t.info.Load(); info != nil {
		return *info
	}

	return TargetInfo{ID: t.ID}
}

// MarkLeaving marks the target as leaving. It returns false if the target was
// marked already.
func (t *Target) MarkLeaving() bool { return t.leaving.CompareAndSwap(false, true) }

// Leaving reports whether the target is leaving and accepts no new requests.
func (t *Target) Leaving() bool { return t.leaving.Load() }

// InFlight returns the number of this entry's requests in flight on the target.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Table is the routing table. The zero value is empty.
type Table struct {
	// Self is this entry. If it is set before use, the entry prefers targets of its own,
	// see newConnections.
	Self instance.ID

	first firstTokens

	// mu serialises writers. Readers take no lock.
	mu      sync.Mutex
	current atomic.Pointer[version]
}

// version is one version of the table.
type version struct {
	models  *immutable.Map[string, []*Target]
	targets *immutable.Map[instance.ID, *Target]
	waits   map[string]Wait
	cells   map[int]cellState
}

// cellState is what the table keeps of a cell's last snapshot.
type cellState struct {
	Position

	waits map[string]Wait
	// targets is the set of the cell's targets. The next complete snapshot removes
	// those that it does not list.
	targets map[instance.ID]bool
}

func (t *Table) latest() *version {
	if v := t.current.Load(); v != nil {
		return v
	}

	return &version{
		models:  immutable.NewMap[string, []*Target](nil),
		targets: immutable.NewMap[instance.ID, *Target](nil),
	}
}

// Targets returns the targets on which the model is ready. The caller must
// not change the slice.
func (t *Table) Targets(model string) []*Target {
	all, _ := t.latest().models.Get(model)

	return all
}

// Target returns the target with this id, or nil.
func (t *Table) Target(id instance.ID) *Target {
	found, _ := t.latest().targets.Get(id)

	return found
}

// All returns every target.
func (t *Table) All() []*Target {
	v := t.latest()
	out := make([]*Target, 0, v.targets.Len())

	for it := v.targets.Iterator(); !it.Done(); {
		_, target, _ := it.Next()
		out = append(out, target)
	}

	return out
}

// Models calls f for every model that is ready on at least one target.
func (t *Table) Models(f func(model string, targets []*Target)) {
	for it := t.latest().models.Iterator(); !it.Done(); {
		model, targets, _ := it.Next()
		f(model, targets)
	}
}

// Wait returns the published Wait of a model.
func (t *Table) Wait(model string) (Wait, bool) {
	w, ok := t.latest().waits[model]

	return w, ok
}

// Waits calls f for every published Wait.
func (t *Table) Waits(f func(Wait)) {
	for _, w := range t.latest().waits {
		f(w)
	}
}

// Position identifies the last snapshot of a cell that a table has applied.
type Position struct {
	Token, Number uint64
	Holder        instance.ID
	// At is when the last snapshot arrived.
	At time.Time
}

// Position identifies the last snapshot of the cell that was applied.
func (t *Table) Position(cell int) Position { return t.latest().cells[cell].Position }

// Apply applies a snapshot that arrived at now. It returns false if the snapshot
// is a delta based on another snapshot than the last one applied; the sender must
// then send a complete snapshot. A snapshot with an older token, or with the same
// token and no higher number, is dropped and Apply returns true: it comes from a
// former lease holder or arrived late, and would route requests to replicas that
// no longer exist.
func (t *Table) Apply(s *Snapshot, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	old := t.latest()
	state := old.cells[s.Cell]

	if s.Token < state.Token || s.Token == state.Token && s.Number <= state.Number {
		return true
	}

	if s.Base != 0 && (s.Token != state.Token || s.Base != state.Number) {
		return false
	}

	t.current.Store(old.apply(s, state, t, now))

	return true
}

// apply returns the next version. It shares everything with v that the snapshot
// does not change.
func (v *version) apply(s *Snapshot, state cellState, table *Table, now time.Time) *version {
	next := &version{models: v.models, targets: v.targets, cells: make(map[int]cellState, len(v.cells)+1)}
	maps.Copy(next.cells, v.cells)

	targets := make(map[instance.ID]bool, len(state.targets)+len(s.Targets))

	if s.Base == 0 {
		next.clearCell(s, state)
	} else {
		for id := range state.targets {
			targets[id] = true
		}
	}

	for _, info := range s.Targets {
		next.setTarget(info, s.Cell, table, now)

		targets[info.ID] = true
	}

	for _, r := range s.Removed {
		next.removeReplica(r)
	}

	for _, r := range s.Added {
		next.addReplica(r)
	}

	for _, id := range s.RemovedTargets {
		next.targets = next.targets.Delete(id)
		delete(targets, id)
	}

	waits := make(map[string]Wait, len(s.Waits))
	for _, w := range s.Waits {
		waits[w.Model] = w
	}

	next.cells[s.Cell] = cellState{
		Position: Position{Token: s.Token, Number: s.Number, Holder: s.Holder, At: now},
		waits:    waits,
		targets:  targets,
	}
	next.mergeWaits()

	return next
}

// clearCell removes all replicas of the cell. It also removes the cell's targets
// that the complete snapshot s does not list.
func (v *version) clearCell(s *Snapshot, state cellState) {
	listed := make(map[instance.ID]bool, len(s.Targets))
	for _, info := range s.Targets {
		listed[info.ID] = true
	}

	for id := range state.targets {
		if !listed[id] {
			v.targets = v.targets.Delete(id)
		}
	}

	for it := v.models.Iterator(); !it.Done(); {
		model, targets, _ := it.Next()
		for _, t := range targets {
			if t.Cell == s.Cell {
				v.removeReplica(Replica{Target: t.ID, Model: model})
			}
		}
	}
}

func (v *version) setTarget(info TargetInfo, cell int, table *Table, now time.Time) {
	t, ok := v.targets.Get(info.ID)
	if !ok || t.Address != info.Address {
		t = &Target{ID: info.ID, DataCentre: info.DataCentre, Address: info.Address, Cell: cell, connections: newConnections(table.Self, info.ID), work: work{first: &table.first}}
		v.targets = v.targets.Set(info.ID, t)
	}

	// A target may restart under the same id and address. The last message from
	// its former process may have said that it is leaving; this must not prevent
	// requests to the new process.
	old := t.info.Load()
	if old != nil && old.Incarnation != info.Incarnation {
		t.leaving.Store(false)
		t.rest.clear()
		t.brittle.state(false, 0)
	}

	if info.Leaving {
		t.leaving.Store(true)
	}

	if info.RestUntil.After(now) {
		t.Rest(info.RestUntil)
	}

	t.info.Store(&info)
	t.reportedAt.Store(now.Add(-info.ReportAge).UnixNano())

	// Requests sent since the last count are not included in it. If each
	// publication of the same count reset inFlightAtCount, entries could use the
	// target's free slots again each time. After a power loss a few targets would
	// then get all requests of a model until there is a new count.
	if old != nil && info.CountID != 0 && info.CountID == old.CountID {
		return
	}

	t.inFlightAtCount.Store(t.inFlight.Load())
	t.applyCount(now)
	t.remainderDraw.Store(math.Float64bits(rand.Float64())) //nolint:gosec // No secret.
}

func (v *version) addReplica(r Replica) {
	t, ok := v.targets.Get(r.Target)
	if !ok {
		return
	}

	old, _ := v.models.Get(r.Model)
	for _, o := range old {
		if o.ID == r.Target {
			return
		}
	}

	targets := make([]*Target, len(old), len(old)+1)
	copy(targets, old)
	v.models = v.models.Set(r.Model, append(targets, t))
}

func (v *version) removeReplica(r Replica) {
	old, _ := v.models.Get(r.Model)

	targets := make([]*Target, 0, len(old))
	for _, o := range old {
		if o.ID != r.Target {
			targets = append(targets, o)
		}
	}

	if len(targets) == 0 {
		v.models = v.models.Delete(r.Model)

		return
	}

	v.models = v.models.Set(r.Model, targets)
}

func (v *version) mergeWaits() {
	v.waits = make(map[string]Wait)

	for _, state := range v.cells {
		maps.Copy(v.waits, state.waits)
	}
}
