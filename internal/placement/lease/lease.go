// Package lease decides who controls a cell. A lease is one row of the table
// service; a second row, the fence, changes only when the lease changes
// hands, so that the ledger can demand an unchanged fence without clashing
// with renewals. The package does no I/O and reads no clock.
package lease

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Record is the content of a lease row.
type Record struct {
	Cell   int
	Holder instance.ID
	// Process tells apart the processes that ran on one instance.
	Process string
	// Token is the fencing token. It grows by one with each change of hands
	// and never decreases.
	Token uint64
	// Released is set by a holder that gave the lease up.
	Released bool
	// Successor is whom a holder that released asks to take over.
	Successor instance.ID
	// WriteID is unique to the write of this record.
	WriteID string
}

// Terms are the times that all instances must agree on.
type Terms struct {
	// Duration is how long a lease lasts after a renewal was sent.
	Duration time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Poll is the time between two looks at a lease held by another.
	Poll time.Duration
	// Stagger is how much longer each further candidate waits.
	Stagger time.Duration
}

// DefaultTerms bound a take-over after a death to about four seconds.
func DefaultTerms() Terms {
	return Terms{
		Duration: 3 * time.Second,
		Renew:    time.Second,
		Poll:     500 * time.Millisecond,
		Stagger:  300 * time.Millisecond,
	}
}

// clockRate is how much faster one machine's clock may run than another's.
// The holder counts its lease shorter and the others longer by this share.
const clockRate = 0.02

// Held is the holder's view of its lease. The zero value is not held.
type Held struct {
	Record

	// Version is the lease row's version, the condition of the next renewal.
	Version uint64
	// Fence is the fence row's version, a condition of all ledger writes.
	Fence uint64
	// Sent is when the last renewal that took effect was sent, on the
	// monotonic clock.
	Sent time.Time
}

// LapsedError says that the holder can no longer count on its lease.
type LapsedError struct {
	Cell  int
	Token uint64
}

func (e *LapsedError) Error() string {
	return fmt.Sprintf("lease: cell %d: token %d has lapsed", e.Cell, e.Token)
}

// Until returns when the holder must stop counting on the lease. It counts
// from when the renewal was sent, not from when its answer came, because the
// others may count from the moment the write took effect.
func (h *Held) Until(t Terms) time.Time {
	return h.Sent.Add(time.Duration(float64(t.Duration) * (1 - clockRate)))
}

// Valid reports whether the lease is held at now.
//
// The failure guarded against is a holder that was paused and still believes
// it holds its lease: it would decide and order against its successor. It is
// asked right before each order, on the monotonic clock.
func (h *Held) Valid(now time.Time, t Terms) bool {
	return h.Token != 0 && !h.Released && now.Before(h.Until(t))
}

// Watch is another instance's view of a lease. The zero value has seen
// nothing.
type Watch struct {
	version uint64
	since   time.Time
	seen    bool
	record  Record
}

// Observe takes in the lease row as read at now. A zero version means that
// the row is absent.
func (w *Watch) Observe(version uint64, r Record, now time.Time) {
	if w.seen && version == w.version {
		return
	}

	w.seen, w.version, w.since, w.record = true, version, now, r
}

// Version returns the version last observed.
func (w *Watch) Version() uint64 { return w.version }

// Record returns the record last observed.
func (w *Watch) Record() Record { return w.record }

// Free reports whether the lease may be taken at now by the candidate with
// this rank in the cell's rendezvous order, from zero. The row must not have
// changed for the whole duration on this instance's own clock, so no clocks
// are compared. Candidates after the first wait longer, so that they seldom
// race; if they do, the row's version lets one win.
func (w *Watch) Free(now time.Time, t Terms, self instance.ID, rank int) bool {
	if !w.seen {
		return false
	}

	wait := time.Duration(rank) * t.Stagger

	switch {
	case w.version == 0:
	case w.record.Released && w.record.Successor == self:
		return true
	case w.record.Released:
		// The successor that was named looks at least this often.
		wait += 2*t.Poll + t.Stagger
	default:
		wait += time.Duration(float64(t.Duration) * (1 + clockRate))
	}

	return now.Sub(w.since) >= wait
}
