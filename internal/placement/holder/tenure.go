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
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// look reads the lease and takes it if it is free.
func (h *Holder) look(ctx context.Context) {
	times := 1 + h.group()
	pause := lookEvery * time.Duration(times*times)

	h.mu.Lock()
	h.retry = clock.Now().Add(pause)
	h.mu.Unlock()

	key := record.LeaseKey(cell)

	rows, err := h.cfg.Table.Read(ctx, key)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease not read")

		return
	}

	current, err := h.row().Decode(rows[0])
	if err != nil {
		h.cfg.Log.Error().Err(err).Msg("lease row cannot be read")

		return
	}

	now := clock.Now()

	h.mu.Lock()
	h.watch.Observe(rows[0].Version, current, now)
	free := h.watch.Free(now, h.cfg.Terms, h.cfg.Self, h.rank()) && now.Sub(h.started) >= settled
	h.mu.Unlock()

	if free || current.Holder == h.cfg.Self && current.Process != h.cfg.Process {
		h.take(ctx, current, rows[0].Version)
	}
}

// Candidate is an entry that may hold the lease.
type Candidate struct {
	ID instance.ID
	// Strength is the share of a processor that it has; zero means unknown.
	Strength float64
}

// ranked returns the candidates, best first: the strong before the weak, for
// the holder speaks with all entries and decides for all engines.
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

// rank returns this entry's place among the candidates.
func (h *Holder) rank() int {
	rivals := h.cfg.Rivals
	if rivals == nil {
		rivals = h.cfg.Peers
	}

	all := append(rivals(), Candidate{ID: h.cfg.Self, Strength: h.cfg.Strength})

	return max(0, slices.Index(ranked(all), h.cfg.Self))
}

// group returns how many groups of watchers look at the lease before this
// entry.
//
// The looks of each group are so much further apart than those of the first
// that all together look hardly twice as often, however many join: while the
// store is away nobody can take the lease, and every call is one too many.
func (h *Holder) group() int { return h.rank() / watchers }

func (h *Holder) take(ctx context.Context, old lease.Record, version uint64) {
	next := lease.Record{
		Cell: cell, Holder: h.cfg.Self, Process: h.cfg.Process, Token: old.Token + 1, WriteID: uuid.NewString(),
	}
	sent := clock.Now()

	ctx, cancel := context.WithTimeout(ctx, h.cfg.Terms.Duration/2)
	defer cancel()

	version, err := h.row().Write(ctx, next, version)
	if err != nil {
		h.cfg.Log.Info().Err(err).Msg("lease not taken")

		return
	}

	h.mu.Lock()
	h.held = lease.Holding{Record: next, Version: version, FenceVersion: version, RenewalSent: sent}
	h.mayOrder = h.firstOrder(old, sent)
	h.stockBy = clock.Later(h.mayOrder, sent.Add(takeStock))
	h.number, h.published = 0, false
	h.adopt()
	mayOrder := h.mayOrder
	h.mu.Unlock()

	h.cfg.Log.Info().Uint64("token", next.Token).Str("former", string(old.Holder)).Bool("released", old.Released).
		Dur("ordersIn", mayOrder.Sub(sent)).Msg("lease taken")
}

// firstOrder returns from when on this holder may send orders. A former holder
// that released the lease has none in hand; of any other the last may have
// been sent right before its lease lapsed. A process that has just started may
// follow one on the same instance that ordered a moment ago, with another
// holder since; but where that one held the lease until now nobody else can have
// ordered, and the instance's orders count as one holder's.
func (h *Holder) firstOrder(old lease.Record, now time.Time) time.Time {
	if old.Token != 0 && old.Holder == h.cfg.Self {
		return now
	}

	first := h.started.Add(h.cfg.TurnPause)
	if old.Token == 0 || old.Released {
		return first
	}

	return clock.Later(first, now.Add(h.cfg.TurnPause-h.cfg.Terms.Duration+clockSlack))
}

// clockSlack covers what the clocks of two instances and the way of an order
// may differ by.
const clockSlack = 400 * time.Millisecond

// row is the row of the lease.
func (h *Holder) row() leaserow.Row {
	return leaserow.Row{Table: h.cfg.Table, Cell: cell, Process: h.cfg.Process}
}

// renewIfDue writes the lease again in the background of the decisions.
func (h *Holder) renewIfDue(ctx context.Context, held lease.Holding) {
	now := clock.Now()
	if now.Before(held.RenewalSent.Add(h.cfg.Terms.Renew)) {
		return
	}

	h.mu.Lock()
	again := now.Before(h.retry)

	if !again {
		h.retry = now.Add(h.cfg.Terms.Renew / 2) //nolint:mnd // Two tries in the time of one renewal.
	}
	h.mu.Unlock()

	if !again {
		go h.renew(ctx, held)
	}
}

func (h *Holder) renew(ctx context.Context, held lease.Holding) {
	next := held.Record
	next.WriteID = uuid.NewString()
	sent := clock.Now()

	ctx, cancel := context.WithTimeout(ctx, h.cfg.Terms.Renew)
	defer cancel()

	version, err := h.row().Write(ctx, next, held.Version)

	switch {
	case err == nil:
		h.renewed(next, version, sent)
	case table.IsConflict(err):
		h.conflict(ctx, held)
	default:
		h.cfg.Log.Warn().Err(err).Uint64("token", held.Token).Dur("leaseAge", clock.Now().Sub(held.RenewalSent)).Msg("lease not renewed")
	}
}

func (h *Holder) renewed(next lease.Record, version uint64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held.Token == next.Token && sent.After(h.held.RenewalSent) {
		h.held.Record, h.held.Version, h.held.RenewalSent = next, version, sent
	}
}

// conflict finds out whether the lease was lost, or whether an earlier renewal
// took effect after its answer was given up.
func (h *Holder) conflict(ctx context.Context, held lease.Holding) {
	version, own, err := h.row().CheckOwner(ctx, held.Token)
	if err != nil {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held.Token != held.Token {
		return
	}

	if own {
		h.held.Version = version

		return
	}

	h.cfg.Log.Warn().Uint64("token", held.Token).Uint64("row", version).Msg("lease lost")
	h.held = lease.Holding{}
	h.watch = lease.Watch{}
}

// Release gives the lease up to another entry, once no order is in hand.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	held := h.held
	h.mu.Unlock()

	if held.Token == 0 {
		return
	}

	// An order in hand must be settled before another entry sends its own.
	if clock.Wait(ctx, &h.orders) != nil {
		h.cfg.Log.Warn().Msg("lease not released, orders are in hand")

		return
	}

	peers := h.cfg.Peers()
	if len(peers) == 0 {
		return
	}

	next := held.Record
	next.Released, next.WriteID = true, uuid.NewString()
	next.Successor = ranked(peers)[0]

	h.mu.Lock()
	version := h.held.Version
	h.held = lease.Holding{}
	news := h.last
	h.mu.Unlock()

	version, err := h.row().Release(ctx, next, version)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease not released")

		return
	}

	h.cfg.Log.Info().Str("successor", string(next.Successor)).Msg("lease released")

	news.Number++
	news.Successor, news.LeaseVersion = next.Successor, version
	h.cfg.Publish(news)
}
