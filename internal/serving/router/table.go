// Package router keeps the routing table of an entry and chooses targets. A
// reader of the table takes no lock: the table is an immutable value behind
// an atomic pointer, and what changes all the time, a target's load, lies in
// atomics that all versions of the table share.
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

// TargetInfo is what a cell's holder publishes of a target.
type TargetInfo struct {
	ID         instance.ID
	DataCentre instance.DataCentre
	Address    netip.AddrPort
	Speed      float64
	Memory     int64
	// Held is the memory that the ledger counts.
	Held    int64
	Slots   int
	Running int
	Waiting int
	// Lines is how many entries at most have requests in line for one of the
	// target's models; zero means unknown.
	Lines int
	// ReportAge is how old the report was when it was published.
	ReportAge time.Duration
	// Count tells the counts of Running apart; zero means that each publication
	// has a new one.
	Count   uint64
	Leaving bool
	// Down says that the holder cannot reach the target.
	Down bool
	// Incarnation is the engine's when it was last seen.
	Incarnation string
}

// Replica is a model that is ready on a target.
type Replica struct {
	Target instance.ID
	Model  string
}

// Wait says for what the requests of a model wait.
type Wait struct {
	Model string
	// Ready is how long until a replica is expected. Zero means unknown.
	Ready time.Duration
	// Reason is set when no replica can be had; RetryAfter then says when to
	// ask again.
	Reason     string
	RetryAfter time.Duration
	// Waiting is how many requests wait over all entries.
	Waiting int
}

// Snapshot is all that a cell's holder publishes.
type Snapshot struct {
	Cell   int
	Holder instance.ID
	// Token is the fencing token of the holder's lease.
	Token uint64
	// Number grows by one with each snapshot under one token.
	Number uint64
	// Base is the number that a delta builds on. Zero means a whole snapshot.
	Base uint64
	// Targets are all targets that changed since Base.
	Targets []TargetInfo
	// Gone are targets that the cell no longer has.
	Gone []instance.ID
	// Added and Removed are the changes to the ready replicas since Base.
	Added, Removed []Replica
	// Waits are the models for which requests wait, always whole.
	Waits []Wait
}

// Target is one target as this entry sees it.
type Target struct {
	ID         instance.ID
	DataCentre instance.DataCentre
	Address    netip.AddrPort
	Cell       int

	// info is replaced whole with each report.
	info atomic.Pointer[TargetInfo]
	// reportedAt is when info was measured, in nanoseconds since 1970.
	reportedAt atomic.Int64
	// inFlightAtReport is this entry's share of the load when info was measured.
	inFlightAtReport atomic.Int64
	// remainderDraw is the bits of a number from zero to one that is drawn with each
	// report.
	remainderDraw atomic.Uint64
	// inFlight is how many of this entry's requests are on the target now.
	inFlight atomic.Int64
	// suspects is how many of them are suspected of crashing targets.
	suspects atomic.Int64
	// leaving is set at the first sign. Only a newer process of the target
	// clears it.
	leaving atomic.Bool
	// ejectedUntil is the end of an ejection, in nanoseconds since 1970.
	ejectedUntil atomic.Int64
	failures     atomic.Int64
	dead         atomic.Pointer[deathRecord]
	// firstTokenNs is the learnt time to first token without queueing, in
	// nanoseconds; zero means unknown.
	firstTokenNs atomic.Int64
}

// Info returns what was last published of the target.
func (t *Target) Info() TargetInfo {
	if info := t.info.Load(); info != nil {
		return *info
	}

	return TargetInfo{ID: t.ID}
}

// Leave marks the target as leaving. It reports whether that is news.
func (t *Target) Leave() bool { return t.leaving.CompareAndSwap(false, true) }

// Leaving reports whether the target takes no new work.
func (t *Target) Leaving() bool { return t.leaving.Load() }

// Own returns how many of this entry's requests are on the target.
func (t *Target) Own() int { return int(t.inFlight.Load()) }

// Table is the routing table. The zero value is empty.
type Table struct {
	// mu orders writers. Readers take no lock.
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

// cellState is what is kept of each cell's last snapshot.
type cellState struct {
	Position

	waits map[string]Wait
	// targets are the targets of the cell, for the next whole snapshot.
	targets map[instance.ID]bool
}

func (t *Table) view() *version {
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
	all, _ := t.view().models.Get(model)

	return all
}

// Target returns the target with this id, or nil.
func (t *Table) Target(id instance.ID) *Target {
	found, _ := t.view().targets.Get(id)

	return found
}

// All returns every target.
func (t *Table) All() []*Target {
	v := t.view()
	out := make([]*Target, 0, v.targets.Len())

	for it := v.targets.Iterator(); !it.Done(); {
		_, target, _ := it.Next()
		out = append(out, target)
	}

	return out
}

// Models calls f for every model that is ready anywhere.
func (t *Table) Models(f func(model string, targets []*Target)) {
	for it := t.view().models.Iterator(); !it.Done(); {
		model, targets, _ := it.Next()
		f(model, targets)
	}
}

// Wait returns for what the model's requests wait.
func (t *Table) Wait(model string) (Wait, bool) {
	w, ok := t.view().waits[model]

	return w, ok
}

// Waits calls f for every model for which requests wait.
func (t *Table) Waits(f func(Wait)) {
	for _, w := range t.view().waits {
		f(w)
	}
}

// Position is how far an entry has applied a cell's snapshots.
type Position struct {
	Token, Number uint64
	Holder        instance.ID
	// At is when the last snapshot arrived.
	At time.Time
}

// Position returns how far the cell's snapshots have been applied.
func (t *Table) Position(cell int) Position { return t.view().cells[cell].Position }

// Apply takes in a snapshot that arrived at now. It reports false when the
// snapshot builds on one that this table does not have, so that the sender
// must send the whole. A snapshot with an older token or number is dropped:
// it comes from a former holder or came late, and applying it would route
// requests to replicas that are gone.
func (t *Table) Apply(s *Snapshot, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	old := t.view()
	p := old.cells[s.Cell]

	if s.Token < p.Token || s.Token == p.Token && s.Number <= p.Number {
		return true
	}

	if s.Base != 0 && (s.Token != p.Token || s.Base != p.Number) {
		return false
	}

	t.current.Store(old.apply(s, p, now))

	return true
}

// apply returns the next view. Only what the snapshot names is copied.
func (v *version) apply(s *Snapshot, p cellState, now time.Time) *version {
	next := &version{models: v.models, targets: v.targets, cells: make(map[int]cellState, len(v.cells)+1)}
	maps.Copy(next.cells, v.cells)

	seen := make(map[instance.ID]bool, len(p.targets)+len(s.Targets))

	if s.Base == 0 {
		next.clearCell(s, p)
	} else {
		for id := range p.targets {
			seen[id] = true
		}
	}

	for _, info := range s.Targets {
		next.setTarget(info, s.Cell, now)

		seen[info.ID] = true
	}

	for _, r := range s.Removed {
		next.removeReplica(r)
	}

	for _, r := range s.Added {
		next.addReplica(r)
	}

	for _, id := range s.Gone {
		next.targets = next.targets.Delete(id)
		delete(seen, id)
	}

	waits := make(map[string]Wait, len(s.Waits))
	for _, w := range s.Waits {
		waits[w.Model] = w
	}

	next.cells[s.Cell] = cellState{
		Position: Position{Token: s.Token, Number: s.Number, Holder: s.Holder, At: now},
		waits:    waits,
		targets:  seen,
	}
	next.mergeWaits()

	return next
}

// clearCell removes the cell's replicas, and its targets that the whole
// snapshot s no longer has.
func (v *version) clearCell(s *Snapshot, p cellState) {
	listed := make(map[instance.ID]bool, len(s.Targets))
	for _, info := range s.Targets {
		listed[info.ID] = true
	}

	for id := range p.targets {
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

func (v *version) setTarget(info TargetInfo, cell int, now time.Time) {
	t, ok := v.targets.Get(info.ID)
	if !ok || t.Address != info.Address {
		t = &Target{ID: info.ID, DataCentre: info.DataCentre, Address: info.Address, Cell: cell}
		v.targets = v.targets.Set(info.ID, t)
	}

	// A target may start again under its id and address. Its former process's
	// leaving, which may have been the last that was heard of that, must not
	// keep requests from the new one for good.
	old := t.info.Load()
	if old != nil && old.Incarnation != info.Incarnation {
		t.leaving.Store(false)
	}

	if info.Leaving {
		t.leaving.Store(true)
	}

	t.info.Store(&info)
	t.reportedAt.Store(now.Add(-info.ReportAge).UnixNano())

	// What was begun since the last count is not in it. Published anew with an old
	// count, a target would get its free places each time: after a loss of power a
	// few targets would get all requests of a model for as long as nobody counts.
	if old != nil && info.Count != 0 && info.Count == old.Count {
		return
	}

	t.inFlightAtReport.Store(t.inFlight.Load())
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

	for _, p := range v.cells {
		maps.Copy(v.waits, p.waits)
	}
}
