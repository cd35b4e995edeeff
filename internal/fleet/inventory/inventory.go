// Package inventory records what one process has read of the targets in the
// platform's list. It distinguishes a target that is gone from one whose row is
// missing only because the store was unavailable. It does no I/O and reads no clock.
package inventory

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Target is a back end as it describes itself.
type Target struct {
	ID         instance.ID
	Service    string
	Address    netip.AddrPort
	DataCentre instance.DataCentre
	Slots      int
	// Leaving says that the target accepts no new work.
	Leaving bool
	// StartedMs is when the target's process started, in milliseconds since 1970 by the
	// target's clock. Zero means unknown.
	StartedMs int64
	// Sequence is the number in the target's row. It may count heartbeats, so the
	// state of orders is taken from the engine's own report instead.
	Sequence uint64
	Resident []ResidentModel
	// InMemory and OnDisk are the models whose weights are cached in memory and on
	// disk.
	InMemory, OnDisk []string
	// Version is the version of the list's row.
	Version uint64
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
	Target  Target
	// Err says why the row names no usable target.
	Err error
}

// RowError says that a row of the list names no usable target.
type RowError struct {
	ID     instance.ID
	Reason string
}

func (e *RowError) Error() string { return fmt.Sprintf("list: row %s: %s", e.ID, e.Reason) }

// HistoryGoneError says that changes are no longer available and that the whole
// list must be read.
type HistoryGoneError struct{ After uint64 }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("list: changes after %d are gone", e.After)
}

const (
	// recoveryGrace is how long after the store's recovery a row may be missing
	// although its target is alive. The store's operators state about two seconds; a
	// target that left must be dropped within two seconds, so the grace is shorter.
	recoveryGrace = 1700 * time.Millisecond
	// minOutage is how long the store must have failed for rows to have expired. Rows
	// expire after three missed heartbeats of 1.2 s, but a process that reads the
	// store seldom notices the failure up to three seconds late.
	minOutage = 500 * time.Millisecond
)

// Registry is the record of the known targets. The zero value is empty. It is not safe
// for concurrent use.
type Registry struct {
	targets map[instance.ID]Target
	// missing maps targets whose rows vanished around an outage to the time until
	// which they are retained.
	missing map[instance.ID]time.Time
	// failedSince is when the store first failed after its last answer; zero means
	// that it has not.
	failedSince time.Time
	// recoveredAt is when the store last recovered from an outage.
	recoveredAt time.Time
}

// StoreAnswered records that the store answered at now.
func (b *Registry) StoreAnswered(now time.Time) {
	if !b.failedSince.IsZero() && now.Sub(b.failedSince) > minOutage {
		b.recoveredAt = now
	}

	b.failedSince = time.Time{}
}

// StoreFailed records that the store did not answer at now.
func (b *Registry) StoreFailed(now time.Time) {
	if b.failedSince.IsZero() {
		b.failedSince = now
	}
}

// Apply applies changed rows.
func (b *Registry) Apply(changes []Change, now time.Time) {
	if b.targets == nil {
		b.targets = make(map[instance.ID]Target)
		b.missing = make(map[instance.ID]time.Time)
	}

	for _, c := range changes {
		switch {
		case c.Removed:
			b.remove(c.ID, now)
		case c.Err != nil:
			delete(b.targets, c.ID)
		default:
			delete(b.missing, c.ID)
			b.targets[c.ID] = c.Target
		}
	}
}

// Replace applies the whole list.
func (b *Registry) Replace(all []Change, now time.Time) {
	listed := make(map[instance.ID]bool, len(all))
	for _, c := range all {
		listed[c.ID] = true
	}

	for id := range b.targets {
		if !listed[id] {
			b.remove(id, now)
		}
	}

	b.Apply(all, now)
}

// remove drops a target, at once unless its row may have expired during an outage
// of the store.
//
// After an outage all targets appear to be gone: their rows expired while no
// instance could write. Dropping them would refuse every request until they had
// written their rows again.
func (b *Registry) remove(id instance.ID, now time.Time) {
	t, ok := b.targets[id]
	if !ok {
		return
	}

	if t.Leaving || b.recoveredAt.IsZero() || now.Sub(b.recoveredAt) > recoveryGrace {
		delete(b.targets, id)

		return
	}

	if _, waits := b.missing[id]; !waits {
		b.missing[id] = b.recoveredAt.Add(recoveryGrace)
	}
}

// Expire drops the missing targets whose rows did not return in time. It reports
// whether there were any.
func (b *Registry) Expire(now time.Time) bool {
	dropped := false

	for id, until := range b.missing {
		if now.Before(until) {
			continue
		}

		delete(b.missing, id)
		delete(b.targets, id)

		dropped = true
	}

	return dropped
}

// Missing reports whether a target is retained although its row has vanished.
func (b *Registry) Missing(id instance.ID) bool {
	_, ok := b.missing[id]

	return ok
}

// Targets returns a copy of the known targets.
func (b *Registry) Targets() map[instance.ID]Target {
	out := make(map[instance.ID]Target, len(b.targets))
	for id, t := range b.targets {
		out[id] = t
	}

	return out
}
