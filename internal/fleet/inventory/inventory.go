// Package inventory records the targets that one process has read from the
// platform's list, whose rows are in the store. It distinguishes a target that is
// gone from one whose row is missing only because the store was unavailable. It does
// no I/O and reads no clock.
package inventory

import (
	"fmt"
	"maps"
	"net/netip"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Target is a back end as it describes itself.
type Target struct {
	ID         instance.ID
	Service    string
	Address    netip.AddrPort
	DataCentre instance.DataCentre
	Slots      int
	// Software is the version of the target's program.
	Software instance.Software
	// Leaving says that the target accepts no new work.
	Leaving bool
	// StartedMs is when the target's process started, in milliseconds since 1970 by the
	// target's clock. Zero means unknown.
	StartedMs int64
	// ReplacedAt is when this process was first listed in place of another one of the target
	// here. Zero means that no other one was listed before.
	ReplacedAt time.Time
	// Sequence is the sequence number in the target's row. It may grow with each
	// heartbeat, so it does not show whether an order was carried out; the engine's own
	// report does.
	Sequence uint64
	Resident []ResidentModel
	// InMemory and OnDisk are the models whose weights are cached in memory and on
	// disk.
	InMemory, OnDisk []string
	// Version is the version of the target's row.
	Version revision.Number
}

// ResidentModel is a model that is resident on a target.
type ResidentModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Change is one row of the list that changed.
type Change struct {
	ID      instance.ID
	Removed bool
	// Target is what the row says. It has no ID if the row was removed, or if it names no target.
	Target Target
	// Err says why the row names no usable target.
	Err error
	// formerMs is when the process started that the row named before, among the changes that
	// were read with it. Zero means that it named no other one.
	formerMs int64
}

// RowError says that a row of the list names no usable target.
type RowError struct {
	ID     instance.ID
	Reason string
}

func (e *RowError) Error() string { return fmt.Sprintf("list: row %s: %s", e.ID, e.Reason) }

// HistoryGoneError says that changes are no longer available and that the whole
// list must be read.
type HistoryGoneError struct {
	After revision.Number
	// Era is the era that the store is in, which has risen if After is of an earlier one.
	Era uint64
}

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("list: changes after %s are no longer available in era %d", e.After, e.Era)
}

const (
	// recoveryGrace is how long after the store's recovery a target whose row is missing
	// is retained. The store's operators say that rows of living targets may be missing
	// for about two seconds. The grace is shorter, because a target that left must be
	// dropped within two seconds.
	recoveryGrace = 1700 * time.Millisecond
	// minOutage is how long this process must have seen the store fail for missing rows
	// to count as expired by the outage. Rows expire after three missed heartbeats of
	// 1.2 s, that is after 3.6 s. A process that seldom reads the store may notice the
	// failure up to three seconds late, and then has seen only 0.6 s of it by that time.
	minOutage = 500 * time.Millisecond
)

// Registry is the record of the known targets. The zero value is empty. It is not safe
// for concurrent use.
type Registry struct {
	targets map[instance.ID]Target
	// missing maps targets whose rows disappeared during or just after an outage of the
	// store to the time until which they are retained.
	missing map[instance.ID]time.Time
	// failedSince is when the store first failed after its last answer; zero means
	// that it has not.
	failedSince time.Time
	// retainUntil is until when targets whose rows are missing are retained, since the store
	// has recovered from an outage or come back from a copy.
	retainUntil time.Time
	// copied is the version of the list as it was first read in the store's era. Rows up to it
	// may be those of the copy from which the store came back. Zero means that it has not.
	copied revision.Number
	// withdrawn are the processes that have left the list, or say there that they leave.
	withdrawn map[instance.ID]withdrawal
	// doubted are rows that may be those of a copy of the store, of targets that were off the
	// list, unless the store still has them after doubtUntil. They are not among targets.
	doubted    map[instance.ID]Target
	doubtUntil time.Time
	// processes are the last processes of the targets, also of those that are off the list.
	processes map[instance.ID]process
}

// process is a process of a target.
type process struct {
	startedMs int64
	// formers are the processes before it, by when they started, and when each was replaced.
	formers    map[int64]time.Time
	replacedAt time.Time
	listedAt   time.Time
}

// replace records that another process has replaced the one that started at formerMs.
func (p *process) replace(formerMs int64, now time.Time) {
	p.replacedAt = now

	formers := map[int64]time.Time{formerMs: now}

	for startedMs, at := range p.formers {
		if startedMs != p.startedMs && now.Sub(at) <= processMemory {
			formers[startedMs] = at
		}
	}

	p.formers = formers
}

// processMemory is how long a target's last process is remembered. Orders to it may be
// carried out by the next one for a shorter time.
const processMemory = time.Minute

// StoreAnswered records that the store answered at now.
func (r *Registry) StoreAnswered(now time.Time) {
	if !r.failedSince.IsZero() && now.Sub(r.failedSince) > minOutage {
		r.retainUntil = now.Add(recoveryGrace)
	}

	r.failedSince = time.Time{}
}

// StoreFailed records that the store did not answer at now.
func (r *Registry) StoreFailed(now time.Time) {
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// Apply applies changed rows, which may have changed more than once. They may begin before the
// rows that are known, but not end before them.
func (r *Registry) Apply(changes []Change, now time.Time) {
	if r.targets == nil {
		r.targets = make(map[instance.ID]Target)
		r.missing = make(map[instance.ID]time.Time)
	}

	for _, c := range lastChanges(changes) {
		switch {
		case c.Removed:
			r.remove(c, now)
		case c.Err != nil:
			delete(r.targets, c.ID)
		case r.replaced(c.Target):
			// The row is a copy's: that of the present process is missing.
			r.remove(Change{ID: c.ID, Removed: true}, now)
		default:
			r.list(c, now)
		}
	}
}

// lastChanges returns the last change of each row. A removal names the row that it removed, if
// that was read with it.
func lastChanges(changes []Change) []Change {
	out := make([]Change, 0, len(changes))
	index := make(map[instance.ID]int, len(changes))

	for _, c := range changes {
		i, repeated := index[c.ID]
		if !repeated {
			index[c.ID] = len(out)
			out = append(out, c)

			continue
		}

		out[i] = c.after(out[i])
	}

	return out
}

// after returns the change with what is known from the one before it.
func (c Change) after(before Change) Change {
	switch {
	case c.Removed:
		c.Target, c.formerMs = before.Target, before.formerMs
	case before.Target.StartedMs != c.Target.StartedMs:
		c.formerMs = before.Target.StartedMs
	default:
		c.formerMs = before.formerMs
	}

	return c
}

// list lists a target, unless its row may be that of a copy of the store.
func (r *Registry) list(c Change, now time.Time) {
	if t, current := r.heedWithdrawal(c.Target, now); current {
		delete(r.missing, t.ID)
		r.targets[t.ID] = r.follow(t, c.formerMs, now)
	}
}

// follow returns the target with the time at which its process replaced another one. formerMs
// is when that started, if it was read together with this one and zero otherwise.
func (r *Registry) follow(t Target, formerMs int64, now time.Time) Target {
	if r.processes == nil {
		r.processes = make(map[instance.ID]process)
	}

	next, known := r.processes[t.ID]
	lastMs := next.startedMs
	next.startedMs, next.listedAt = t.StartedMs, now

	switch {
	case !known && formerMs != 0:
		next.replace(formerMs, now)
	case known && lastMs != t.StartedMs:
		next.replace(lastMs, now)
	}

	r.processes[t.ID] = next
	t.ReplacedAt = next.replacedAt

	return t
}

// Replace applies the whole list.
func (r *Registry) Replace(all []Change, now time.Time) {
	listed := make(map[instance.ID]bool, len(all))
	for _, c := range all {
		listed[c.ID] = true
	}

	for id := range r.targets {
		if !listed[id] {
			r.remove(Change{ID: id, Removed: true}, now)
		}
	}

	maps.DeleteFunc(r.doubted, func(id instance.ID, _ Target) bool { return !listed[id] })

	if now.Before(r.doubtUntil) {
		r.doubt(all)
	}

	r.Apply(all, now)
}

// remove drops a target, at once if it is leaving or if its row cannot have expired
// during an outage of the store, otherwise when the grace has passed.
//
// After an outage all targets appear to be gone: their rows expired while no
// instance could write. Dropping them would refuse every request until they had
// written their rows again.
func (r *Registry) remove(c Change, now time.Time) {
	delete(r.doubted, c.ID)

	if _, known := r.targets[c.ID]; !known {
		r.recordUnlisted(c, now)

		return
	}

	retained := r.Missing(c.ID)
	if c.Target.ID != "" && (!retained || c.Target.Leaving) {
		r.list(c, now)
	}

	t := r.targets[c.ID]
	if t.Leaving || now.After(r.retainUntil) {
		r.withdraw(t, now)
		delete(r.targets, c.ID)

		return
	}

	if !retained {
		r.missing[c.ID] = r.retainUntil
	}
}

// recordUnlisted records what is read of a target that came and went between two reads.
func (r *Registry) recordUnlisted(c Change, now time.Time) {
	if c.Target.ID == "" {
		return
	}

	r.follow(c.Target, c.formerMs, now)
	r.withdraw(c.Target, now)
}

// Expire drops the missing targets whose rows did not return in time. It reports whether
// there were any.
func (r *Registry) Expire(now time.Time) bool {
	r.forgetWithdrawals(now)

	for id, last := range r.processes {
		if _, listed := r.targets[id]; !listed && now.Sub(last.listedAt) > processMemory {
			delete(r.processes, id)
		}
	}

	dropped := false

	for id, until := range r.missing {
		if now.Before(until) {
			continue
		}

		r.withdraw(r.targets[id], now)
		delete(r.missing, id)
		delete(r.targets, id)

		dropped = true
	}

	return dropped
}

// Missing reports whether a target is retained although its row has vanished.
func (r *Registry) Missing(id instance.ID) bool {
	_, ok := r.missing[id]

	return ok
}

// Targets returns a copy of the known targets.
func (r *Registry) Targets() map[instance.ID]Target {
	out := make(map[instance.ID]Target, len(r.targets))
	for id, t := range r.targets {
		out[id] = t
	}

	return out
}
