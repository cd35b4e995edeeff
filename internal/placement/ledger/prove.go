package ledger

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// OrderLifetime bounds how long after its sending an order may still be
// carried out by an engine. It is an assumption on the platform's network and
// engines: what was not begun by then was lost.
const OrderLifetime = 15 * time.Second

// Evidence is what is known about one row when its removal is weighed.
type Evidence struct {
	Now time.Time
	// Inventory was read from the engine after the row's last order was
	// answered. Nil means that the engine could not be asked.
	Inventory *target.Inventory
	// ChecksTokens says that the engine refuses old tokens.
	ChecksTokens bool
	// Token is the current holder's fencing token.
	Token uint64
	// WriterSettled says that the process that wrote the row is proved to
	// have no order in hand: it is this process, it said so itself, or it is
	// gone.
	WriterSettled bool
	// TargetGone says that the target has left the instance list for longer
	// than the list lags.
	TargetGone bool
}

// Removable reports whether the row may be removed, so that its memory and
// its place among the decided replicas can be used again.
//
// The failure guarded against is an order that comes late: sent by a holder
// that was paused past its lease, or stuck in the network. If the row were
// removed first, the order would load a replica that nobody counts, and the
// target's memory would be overcommitted by the next load. A row is removed
// only if the engine shows that it holds nothing and no order can come any
// more:
//
//   - an engine that checks tokens has seen this holder's token, so it refuses
//     all orders of former holders;
//   - on any other engine, whoever wrote the row has no order in hand;
//   - each order that was sent was answered, so that none is on its way; or it
//     was answered by this incarnation of the engine, which carries out an
//     order once even if it comes again; or the last one without an answer was
//     sent longer ago than an order lives.
func (r *Row) Removable(e Evidence) bool {
	if e.TargetGone {
		return true
	}

	if e.Inventory == nil || r.heldBy(e.Inventory) {
		return false
	}

	fenced := e.ChecksTokens && e.Inventory.Token >= e.Token
	if !fenced && !e.WriterSettled {
		return false
	}

	known := r.State.Acked && r.State.Incarnation == e.Inventory.Incarnation

	return known || r.State.Doubt.IsZero() || e.Now.Sub(r.State.Doubt) > OrderLifetime
}

func (r *Row) heldBy(inv *target.Inventory) bool {
	return slices.ContainsFunc(inv.Held, func(h target.Held) bool { return h.Model == r.Model })
}

// Unloadable reports whether the replica may be unloaded now.
func (r *Row) Unloadable() bool {
	return r.State.Retiring && r.State.Running == 0 && r.Version != 0
}
