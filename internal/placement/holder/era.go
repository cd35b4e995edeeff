package holder

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/leaserow"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// carryOver acquires the lease in the era of a store that has come back from a copy, for the
// holder of an earlier era. Others wait for as long as its last renewal may be valid before they
// acquire it, so that a holder whose lease is valid is the first.
func (h *Holder) carryOver(ctx context.Context, held lease.Holding) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.Renew)
	defer cancel()

	if err := h.acquireInEra(ctx, held); err != nil {
		h.cfg.Log.Info().Err(err).Uint64("token", held.Token).Msg("lease not carried over")
	}
}

func (h *Holder) acquireInEra(ctx context.Context, held lease.Holding) error {
	row := h.leaseRow(table.Era(h.cfg.Table))

	current, err := row.Read(ctx)
	if err != nil || !h.mayCarryOver(held, current) {
		return err
	}

	next := h.nextTerm(row, current)
	sent := clock.Now()
	next.Waits = h.waits(sent)

	version, err := row.Acquire(ctx, next, current)
	if err != nil {
		return err
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.lease.Token == held.Token {
		h.hold(lease.Holding{Record: next, Version: version, FenceVersion: version, RenewalSent: sent})
		h.ordersFromToken = next.Token
		h.cfg.Log.Info().Uint64("token", next.Token).Uint64("formerToken", held.Token).Stringer("row", version).Msg("lease carried over")
	}

	return nil
}

// mayCarryOver reports whether this process, which holds the lease of an earlier era, may acquire
// it in the present one. If its lease has expired, or was acquired in the era already, this holder
// follows that instead.
func (h *Holder) mayCarryOver(held lease.Holding, current leaserow.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	switch {
	case h.lease.Token != held.Token:
		return false
	case !h.lease.Valid(clock.Now(), h.cfg.Timing), current.InEra && !current.HeldBy(h.cfg.Process):
		h.dropLease(current.Version)

		return false
	case current.InEra:
		// An earlier call acquired it, and its answer was lost.
		h.hold(lease.Holding{Record: current.Record, Version: current.Version, FenceVersion: current.Version, RenewalSent: h.lease.RenewalSent})
		h.ordersFromToken = current.Record.Token

		return false
	}

	return true
}

// hold begins to hold the lease with another token. The caller holds the lock.
func (h *Holder) hold(next lease.Holding) {
	h.lease = next
	h.number, h.published = 0, false
}
