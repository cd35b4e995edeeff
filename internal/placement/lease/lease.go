// Package lease decides which instance holds a cell's lease. A lease is one
// row of the store. A second row, the fence, changes only when the lease
// is acquired: ledger writes require an unchanged fence, and so do not conflict
// with renewals. The package does no I/O and reads no clock.
package lease

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Record is the content of a lease row.
type Record struct {
	Cell   int
	Holder instance.ID
	// Process distinguishes the processes that ran on one instance.
	Process string
	// Token is the fencing token. It grows each time the lease is acquired, is never given
	// out twice and never decreases.
	Token uint64
	// Released says that the holder has released the lease.
	Released bool
	// Successor is the instance that the releasing holder chose to take over.
	Successor instance.ID
	// Waits says that the holder must not send orders yet: another instance may have sent
	// orders since this one sent its own last ones.
	Waits bool
	// WriteID is unique to the write of this record.
	WriteID string
}

// tokensPerEra is the number of tokens that an era has.
const tokensPerEra = 1 << 32

// NextToken returns the token for the next acquisition in an era of the store: above the former
// one, above all that were heard of, and above all of earlier eras, which a copy of the store
// may not have.
func NextToken(former, heard, era uint64) uint64 {
	return max(former, heard, era*tokensPerEra) + 1
}

// Timing holds the intervals of a lease. All instances must use the same values.
type Timing struct {
	// Duration is how long a lease is valid after a renewal was sent.
	Duration time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Poll is the interval at which a candidate reads a lease that another
	// instance holds.
	Poll time.Duration
	// Stagger is how much longer a candidate waits than the one ranked before
	// it.
	Stagger time.Duration
}

// DefaultTiming returns a timing that bounds a failover, from the holder's death
// until its successor has acquired the lease, to about four seconds.
func DefaultTiming() Timing {
	return Timing{
		Duration: 3 * time.Second,
		Renew:    time.Second,
		Poll:     500 * time.Millisecond,
		Stagger:  300 * time.Millisecond,
	}
}

// maxClockDrift is the fraction by which a machine's clock may run faster or
// slower than real time. The holder shortens the lease by it, and the candidates
// lengthen it.
const maxClockDrift = 0.02

// Lengthened returns the duration that a process must wait by its own clock so that d has passed
// by any other.
func Lengthened(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// Holding is the holder's own state of its lease. The zero value is not held.
type Holding struct {
	Record

	// Version is the lease row's version, a condition of the next renewal.
	Version revision.Number
	// FenceVersion is the fence row's version, a condition of all ledger writes.
	FenceVersion revision.Number
	// RenewalSent is when the last successful renewal was sent, on the monotonic
	// clock.
	RenewalSent time.Time
}

// ExpiredError says that an order was not sent, because the holder's own lease has
// expired or because the order's ledger row or target has been removed.
type ExpiredError struct {
	Cell  int
	Token uint64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("lease: cell %d: order with token %d not sent: the lease has expired, or the ledger row or target has been removed", e.Cell, e.Token)
}

// Expiry returns when the lease expires for its holder. It counts from when the
// renewal was sent, not from when the answer came, because other instances may
// count from the moment the write took effect.
func (h *Holding) Expiry(t Timing) time.Time {
	return h.RenewalSent.Add(time.Duration(float64(t.Duration) * (1 - maxClockDrift)))
}

// Valid reports whether the lease is held at now.
//
// It is checked right before each order, on the monotonic clock: a holder that
// was paused past its lease would otherwise send orders that conflict with its
// successor's.
func (h *Holding) Valid(now time.Time, t Timing) bool {
	return h.Token != 0 && !h.Released && now.Before(h.Expiry(t))
}

// Watch is a lease as a candidate observes it. The zero value has observed
// nothing.
type Watch struct {
	version revision.Number
	since   time.Time
	seen    bool
	record  Record
}

// Observe records the lease row as read at now. A zero version means that the
// row is absent.
func (w *Watch) Observe(version revision.Number, r Record, now time.Time) {
	if w.seen && version == w.version {
		return
	}

	w.seen, w.version, w.since, w.record = true, version, now, r
}

// Version returns the version last observed.
func (w *Watch) Version() revision.Number { return w.version }

// Record returns the record last observed.
func (w *Watch) Record() Record { return w.record }

// Free reports whether the candidate self may acquire the lease at now. Rank
// is its position, from zero, in the cell's rendezvous order.
//
// A lease that was never held is free at once for the first candidate. A released
// lease is free at once for the named successor, and for the others once that
// successor has had time to read the row.
//
// A lease that was not released becomes free once its row has not changed for
// the duration, lengthened by maxClockDrift, on this instance's own clock, so
// the clocks of different machines are not compared. In all three cases each
// candidate, the named successor excepted, waits longer than the one ranked before
// it, so that they rarely race; if they do, the condition on the row's version
// lets only one succeed.
func (w *Watch) Free(now time.Time, t Timing, self instance.ID, rank int) bool {
	if !w.seen {
		return false
	}

	wait := time.Duration(rank) * t.Stagger

	switch {
	case w.version == 0:
	case w.record.Released && w.record.Successor == self:
		return true
	case w.record.Released:
		// The named successor reads the row within this time.
		wait += 2*t.Poll + t.Stagger
	default:
		wait += time.Duration(float64(t.Duration) * (1 + maxClockDrift))
	}

	return now.Sub(w.since) >= wait
}
