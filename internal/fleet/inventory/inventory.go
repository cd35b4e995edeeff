// Package inventory keeps what one process knows of the targets from the
// platform's list, and tells a target that has gone from one whose entry is
// missing only because the store was away. It does no I/O and reads no clock.
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
	// Leaving says that the target takes no new work.
	Leaving bool
	// Born is when the target's process started, in milliseconds since 1970
	// by the target's clock. Zero means that it did not say.
	Born int64
	// Sequence is the number in the target's entry. It may count heartbeats, so
	// orders go by the engine's own report.
	Sequence uint64
	Held     []Held
	// InMemory and OnDisk are the models whose weights are at hand.
	InMemory, OnDisk []string
	// Version is that of the list's row.
	Version uint64
}

// Held is a model on a target.
type Held struct {
	Model    string
	Version  int
	Adapters []string
}

// Change is one row of the list that changed.
type Change struct {
	ID      instance.ID
	Removed bool
	Target  Target
	// Err says why the row names no target.
	Err error
}

// RowError says that a row of the list names no target that can be used.
type RowError struct {
	ID     instance.ID
	Reason string
}

func (e *RowError) Error() string { return fmt.Sprintf("list: row %s: %s", e.ID, e.Reason) }

// HistoryGoneError says that changes are no longer at hand and that the whole
// must be read.
type HistoryGoneError struct{ After uint64 }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("list: changes after %d are gone", e.After)
}

const (
	// returnGrace is how long after the store's return an entry may be
	// missing although its target lives. The store's operators say about two
	// seconds; a target that left must be dropped within two, so this stays
	// below.
	returnGrace = 1700 * time.Millisecond
	// outage is from how long the store must have failed for entries to have
	// lapsed. Targets lapse after three heartbeats of 1.2 s; an entry that looks
	// seldom notices the failure up to three seconds late.
	outage = 500 * time.Millisecond
)

// Book is what is known of the targets. The zero value is empty. It is not
// safe for concurrent use.
type Book struct {
	targets map[instance.ID]Target
	// missing are targets whose entries vanished around an outage, and until
	// when they are kept.
	missing map[instance.ID]time.Time
	// lost is when the store first failed since it last answered; zero means
	// that it has not.
	lost time.Time
	// back is when the store last returned from an outage.
	back time.Time
}

// Heard records that the store answered at now.
func (b *Book) Heard(now time.Time) {
	if !b.lost.IsZero() && now.Sub(b.lost) > outage {
		b.back = now
	}

	b.lost = time.Time{}
}

// Failed records that the store did not answer at now.
func (b *Book) Failed(now time.Time) {
	if b.lost.IsZero() {
		b.lost = now
	}
}

// Apply takes in changes and returns what they changed.
func (b *Book) Apply(changes []Change, now time.Time) {
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

// Replace takes in the whole list.
func (b *Book) Replace(all []Change, now time.Time) {
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

// remove drops a target, at once unless its entry may have lapsed while the
// store was away.
//
// It guards against an outage that makes all targets look gone: their entries
// lapse while nobody can write, and dropping them would refuse every request
// for as long as they take to come back.
func (b *Book) remove(id instance.ID, now time.Time) {
	t, ok := b.targets[id]
	if !ok {
		return
	}

	if t.Leaving || b.back.IsZero() || now.Sub(b.back) > returnGrace {
		delete(b.targets, id)

		return
	}

	if _, waits := b.missing[id]; !waits {
		b.missing[id] = b.back.Add(returnGrace)
	}
}

// Expire drops the targets that did not come back in time. It reports whether
// there were any.
func (b *Book) Expire(now time.Time) bool {
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

// Missing reports whether a target is kept although its entry has vanished.
func (b *Book) Missing(id instance.ID) bool {
	_, ok := b.missing[id]

	return ok
}

// Targets returns a copy of what is known.
func (b *Book) Targets() map[instance.ID]Target {
	out := make(map[instance.ID]Target, len(b.targets))
	for id, t := range b.targets {
		out[id] = t
	}

	return out
}
