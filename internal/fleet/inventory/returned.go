package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

const (
	// returnGrace is how long after this process has heard that the store came back from a
	// copy a target whose row is missing is retained. Rows are written again within about
	// two seconds, and a row is read within half a second.
	returnGrace = 2500 * time.Millisecond
	// copyDoubt is how long the row of a target that was off the list may be the copy's: the
	// store removes rows that are not written again after three heartbeats of 1.2 s, and an
	// entry hears of that within two seconds.
	copyDoubt = 6 * time.Second
)

// withdrawal is what is known of a process that has left the list, or said there that it
// leaves.
type withdrawal struct {
	startedMs int64
	// era is the one in which it was withdrawn, and version that of the newest row that was
	// withdrawn.
	era     uint64
	version revision.Number
	at      time.Time
	// stated says that the process has said that it leaves. Only a new process takes that
	// back. Without it, the row may also have expired.
	stated bool
}

// Return applies the whole list at a version, as first read in a later era, in which the store
// has come back from a copy. What is known from before and is newer than the copy is kept:
// targets whose rows are missing for a while, targets that have left or said that they leave,
// and processes that have replaced those of the copy.
func (r *Registry) Return(all []Change, version revision.Number, now time.Time) {
	r.copied, r.retainUntil, r.doubtUntil = version, now.Add(returnGrace), now.Add(copyDoubt)
	r.doubted = make(map[instance.ID]Target)

	r.Replace(all, now)
}

// doubt withholds the rows of a whole list that may be the copy's, of processes that left the
// list without having said so.
func (r *Registry) doubt(all []Change) {
	for _, c := range all {
		if _, doubted := r.doubted[c.ID]; !doubted && !c.Removed && c.Err == nil && r.leftUnstated(c.Target) {
			r.doubted[c.ID] = c.Target
		}
	}
}

// replaced reports whether a row may be the copy's, of a process that another one has replaced.
func (r *Registry) replaced(t Target) bool {
	_, former := r.processes[t.ID].formers[t.StartedMs]

	return former && t.StartedMs != 0 && t.Version <= r.copied
}

// leftUnstated reports whether a row may be the copy's, of a process that left the list without
// having said so.
func (r *Registry) leftUnstated(t Target) bool {
	w, known := r.withdrawn[t.ID]

	return known && !w.stated && w.startedMs == t.StartedMs && t.Version <= r.copied
}

// heedWithdrawal returns a row that was read, as leaving if its process has said so and has not
// taken it back since, in the same era. It reports false if the row may still be the copy's.
func (r *Registry) heedWithdrawal(t Target, now time.Time) (Target, bool) {
	if d, doubted := r.doubted[t.ID]; doubted && d.Version == t.Version {
		return t, false
	}

	delete(r.doubted, t.ID)

	w, known := r.withdrawn[t.ID]

	switch {
	case t.Leaving:
		r.withdraw(t, now)
	case !known:
	case w.startedMs == t.StartedMs && w.stated && (w.era < r.copied.Era() || t.Version <= w.version):
		t.Leaving = true
		r.withdraw(t, now)
	default:
		delete(r.withdrawn, t.ID)
	}

	return t, true
}

// withdraw records that a target has left the list or says there that it leaves.
func (r *Registry) withdraw(t Target, now time.Time) {
	if r.withdrawn == nil {
		r.withdrawn = make(map[instance.ID]withdrawal)
	}

	w := withdrawal{startedMs: t.StartedMs, era: r.copied.Era(), version: t.Version, at: now, stated: t.Leaving}
	if before, known := r.withdrawn[t.ID]; known && before.stated && before.startedMs == t.StartedMs {
		w.era, w.stated = before.era, true
	}

	r.withdrawn[t.ID] = w
}

// forgetWithdrawals forgets old withdrawals of targets that are off the list.
func (r *Registry) forgetWithdrawals(now time.Time) {
	for id, w := range r.withdrawn {
		if _, listed := r.targets[id]; !listed && now.Sub(w.at) > processMemory {
			delete(r.withdrawn, id)
		}
	}
}

// Doubted returns the targets that are off the list while their rows may be a copy's.
func (r *Registry) Doubted() []instance.ID { return slices.Collect(maps.Keys(r.doubted)) }

// Settle lists the targets whose rows are still there, in the list as the store held it at asOf,
// when the copy's would have expired. It reports whether there were any.
func (r *Registry) Settle(asOf, now time.Time) bool {
	if asOf.Before(r.doubtUntil) || len(r.doubted) == 0 {
		return false
	}

	doubted := r.doubted
	r.doubted = nil

	for id, t := range doubted {
		r.Apply([]Change{{ID: id, Target: t}}, now)
	}

	return true
}
