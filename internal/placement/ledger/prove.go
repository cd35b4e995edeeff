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
	// Settled is since how long the process that wrote the row is proved to
	// have no order in hand: it is this process, it said so itself, or it is
	// gone. Zero means that it is not proved.
	Settled time.Duration
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
// only if the engine shows that it holds nothing and no order for the row can
// take effect any more:
//
//   - orders of former holders: whoever wrote the row has no order in hand, and
//     either the engine checks tokens and has seen this holder's, or the time
//     that an order lives has passed since. The token alone is not enough: an
//     engine that is restarted forgets it, and would carry out an order that a
//     paused holder has kept in hand, until this holder raises the token again;
//   - this holder's own orders: each was answered, or the last one without an
//     answer was sent longer ago than an order lives, or this incarnation of
//     the engine has answered one of them. All orders to load a row have the
//     same id, whoever sends them, so the engine carries out only the first.
func (r *Row) Removable(e Evidence) bool {
	if e.TargetGone {
		return true
	}

	if e.Inventory == nil || r.heldBy(e.Inventory) {
		return false
	}

	if !r.State.Own && !e.formerDone() {
		return false
	}

	known := r.State.Acked && r.State.Incarnation == e.Inventory.Incarnation

	return known || r.State.Doubt.IsZero() || e.Now.Sub(r.State.Doubt) > OrderLifetime
}

// formerDone reports whether no order of a former holder can take effect.
func (e *Evidence) formerDone() bool {
	if e.ChecksTokens && e.Inventory.Token >= e.Token {
		return e.Settled > 0
	}

	return e.Settled > OrderLifetime
}

func (r *Row) heldBy(inv *target.Inventory) bool {
	return slices.ContainsFunc(inv.Held, func(h target.Held) bool { return h.Model == r.Model })
}

// Unloadable reports whether the replica may be unloaded now.
func (r *Row) Unloadable() bool {
	return r.State.Retiring && r.State.Running == 0 && r.Version != 0
}
