package holder

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/leaserow"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// checkLease reads the lease and acquires it if it is free.
func (h *Holder) checkLease(ctx context.Context) {
	times := 1 + h.watchGroup()
	pause := leaseCheckInterval * time.Duration(times*times)

	h.mu.Lock()
	h.nextLeaseCall = clock.Now().Add(pause)
	h.mu.Unlock()

	row := h.leaseRow(table.Era(h.cfg.Table))

	current, err := row.Read(ctx)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("cannot read lease")
		h.checkLeaseSoon(err)

		return
	}

	now := clock.Now()

	h.mu.Lock()
	h.watch.Observe(current.Version, current.Record, now)
	free := h.watch.Free(now, h.cfg.Timing, h.cfg.Self, h.rank()) && now.Sub(h.started) >= acquireDelay
	h.mu.Unlock()

	if free || current.Record.Holder == h.cfg.Self && current.Record.Process != h.cfg.Process {
		h.acquire(ctx, row, current)
	}
}

// checkLeaseSoon makes the next round read the lease again if the store turned out to be in
// another era.
func (h *Holder) checkLeaseSoon(err error) {
	if !table.IsEraChanged(err) {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.nextLeaseCall = clock.Now()
}

// Candidate is an entry that may hold the lease.
type Candidate struct {
	ID instance.ID
	// Strength is the share of a processor that it has; zero means unknown.
	Strength float64
}

// ranked returns the candidates, best first. Strong instances come first,
// because the holder exchanges messages with all entries and decides for all
// engines.
func ranked(all []Candidate) []instance.ID {
	strength := make(map[instance.ID]float64, len(all))
	ids := make([]instance.ID, len(all))

	for i, c := range all {
		strength[c.ID], ids[i] = c.Strength, c.ID
	}

	ids = instance.Rank("holder", ids)
	slices.SortStableFunc(ids, func(a, b instance.ID) int { return cmp.Compare(strength[b], strength[a]) })

	return ids
}

// rank returns this entry's rank among the candidates, counted from zero.
func (h *Holder) rank() int {
	others := h.cfg.Candidates
	if others == nil {
		others = h.cfg.Peers
	}

	all := append(others(), Candidate{ID: h.cfg.Self, Strength: h.cfg.Strength})

	return max(0, slices.Index(ranked(all), h.cfg.Self))
}

// watchGroup returns the number of groups that check the lease before this
// entry's group does.
//
// The interval between checks grows with the square of the group's number, so
// that all groups together check less than twice as often as the first alone,
// however many entries there are. While the store is unavailable no entry can
// acquire the lease, and each check only adds load.
func (h *Holder) watchGroup() int { return h.rank() / groupSize }

func (h *Holder) acquire(ctx context.Context, row leaserow.Row, current leaserow.State) {
	former := current.Record
	next := h.nextTerm(row, current)
	sent := clock.Now()

	h.mu.Lock()
	h.formerHolders.record(former.Holder, sent)
	ordersFrom := h.earliestOrder(former, sent)
	h.mu.Unlock()

	next.Waits = ordersFrom.After(sent)

	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.Duration/2)
	defer cancel()

	version, err := row.Acquire(ctx, next, current)
	if err != nil {
		h.cfg.Log.Info().Err(err).Msg("cannot acquire lease")

		return
	}

	h.mu.Lock()
	h.hold(lease.Holding{Record: next, Version: version, FenceVersion: version, RenewalSent: sent})
	h.ordersFrom, h.ordersFromToken = ordersFrom, next.Token
	h.inventoryBy = clock.Later(h.ordersFrom, sent.Add(inventoryWait))
	h.termBegan, h.formerTerm = sent, former.Token != 0
	h.adoptSnapshot()
	h.mu.Unlock()

	h.cfg.Log.Info().Uint64("token", next.Token).Str("former", string(former.Holder)).Bool("released", former.Released).
		Dur("ordersIn", ordersFrom.Sub(sent)).Msg("lease taken")
}

// nextTerm returns the record with which this entry acquires the lease.
func (h *Holder) nextTerm(row leaserow.Row, current leaserow.State) lease.Record {
	h.mu.Lock()
	defer h.mu.Unlock()

	return lease.Record{
		Cell: cell, Holder: h.cfg.Self, Process: h.cfg.Process, WriteID: uuid.NewString(),
		Token: lease.NextToken(current.Record.Token, max(h.lease.Token, h.snapshot.Token), row.Era),
	}
}

// leaseRow returns the row of the lease in an era of the store.
func (h *Holder) leaseRow(era uint64) leaserow.Row {
	return leaserow.Row{Table: h.cfg.Table, Cell: cell, Process: h.cfg.Process, Era: era}
}

// renewIfDue renews the lease in the background, while decisions go on.
func (h *Holder) renewIfDue(ctx context.Context, held lease.Holding) {
	now := clock.Now()
	if now.Before(held.RenewalSent.Add(h.cfg.Timing.Renew)) && !h.eraRose(held) {
		return
	}

	h.mu.Lock()
	tooEarly := now.Before(h.nextLeaseCall)

	if !tooEarly {
		h.nextLeaseCall = now.Add(h.cfg.Timing.Renew / 2) //nolint:mnd // Two attempts per renewal interval.
	}
	h.mu.Unlock()

	if !tooEarly {
		go h.renew(ctx, held)
	}
}

// eraRose reports whether the store has come back from a copy since the lease was last written.
func (h *Holder) eraRose(held lease.Holding) bool {
	return table.Era(h.cfg.Table) > held.Version.Era()
}

func (h *Holder) renew(ctx context.Context, held lease.Holding) {
	if h.eraRose(held) {
		h.carryOver(ctx, held)

		return
	}

	next := held.Record
	next.WriteID = uuid.NewString()
	sent := clock.Now()
	next.Waits = h.waits(sent)

	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.Renew)
	defer cancel()

	version, err := h.leaseRow(held.Version.Era()).Write(ctx, next, held.Version)

	switch {
	case err == nil:
		h.recordRenewal(next, version, sent)
	case table.IsConflict(err):
		h.resolveConflict(ctx, held)
	default:
		h.cfg.Log.Warn().Err(err).Uint64("token", held.Token).Dur("leaseAge", clock.Now().Sub(held.RenewalSent)).Msg("lease not renewed")
	}
}

func (h *Holder) recordRenewal(next lease.Record, version revision.Number, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.lease.Token == next.Token && sent.After(h.lease.RenewalSent) {
		h.lease.Record, h.lease.Version, h.lease.RenewalSent = next, version, sent
	}
}

// resolveConflict determines whether the lease was lost, or whether an earlier
// renewal took effect after its call had timed out.
func (h *Holder) resolveConflict(ctx context.Context, held lease.Holding) {
	version, own, err := h.leaseRow(held.Version.Era()).CheckOwner(ctx, held.Token)
	if err != nil {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.lease.Token != held.Token {
		return
	}

	if own {
		h.lease.Version = version

		return
	}

	h.dropLease(version)
}

// dropLease ends this holder's term, because the lease's row has another version. The caller
// holds the lock.
func (h *Holder) dropLease(version revision.Number) {
	h.cfg.Log.Warn().Uint64("token", h.lease.Token).Stringer("row", version).Msg("lease lost")
	h.lease = lease.Holding{}
	h.watch = lease.Watch{}
}

// Release hands the lease over to another entry once no order is in flight. If
// ctx ends before that, or no other entry is alive, the lease is not released.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()

	peers := h.cfg.Peers()
	if len(peers) == 0 {
		return
	}

	h.mu.Lock()
	successor := h.formerHolders.successor(ranked(peers), clock.Now(), h.turnPause())
	h.mu.Unlock()

	h.release(ctx, successor)
}

// HandOver does the same to the successor, while this entry goes on: it may hold the lease
// again later.
func (h *Holder) HandOver(ctx context.Context, successor instance.ID) {
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()

		return
	}

	h.draining = true
	h.mu.Unlock()

	h.release(ctx, successor)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.draining = false
	// The successor needs a moment to acquire the lease.
	h.snapshotAt = clock.Now()
}

func (h *Holder) release(ctx context.Context, successor instance.ID) {
	h.mu.Lock()
	held := h.lease
	h.mu.Unlock()

	if held.Token == 0 {
		return
	}

	// Orders in flight must be resolved before another entry sends its own.
	if h.work.Acquire(ctx, allWork) != nil {
		h.cfg.Log.Warn().Msg("lease not released, orders are in flight")

		return
	}
	defer h.work.Release(allWork)

	next := held.Record
	next.Released, next.WriteID = true, uuid.NewString()
	next.Successor, next.Waits = successor, h.waits(clock.Now())

	h.mu.Lock()
	version := h.lease.Version
	h.lease = lease.Holding{}
	snapshot := h.snapshot
	h.mu.Unlock()

	version, err := h.leaseRow(version.Era()).Release(ctx, next, version)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease not released")

		return
	}

	h.cfg.Log.Info().Str("successor", string(next.Successor)).Msg("lease released")

	snapshot.Number++
	snapshot.Successor, snapshot.LeaseVersion = next.Successor, version
	h.cfg.Publish(snapshot)
}
