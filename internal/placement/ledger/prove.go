package ledger

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// OrderLifetime bounds how long after it was sent an order may still be carried
// out by an engine. It is an assumption about the platform's network and
// engines: an order that has not begun by then is lost.
const OrderLifetime = 15 * time.Second

// Evidence is the input to the decision whether a row may be removed.
type Evidence struct {
	Now time.Time
	// Inventory was read from the engine after the row's last order was
	// answered. Nil means that there is no such inventory.
	Inventory *target.Inventory
	// ChecksTokens says that the engine refuses orders with old fencing tokens.
	ChecksTokens bool
	// Token is the current holder's fencing token.
	Token uint64
	// Resolved is for how long the process that wrote the row has been proved
	// to have no order in flight: it is this process, it reported so, or it is
	// gone. Zero means that it is not proved.
	Resolved time.Duration
	// TargetGone says that the target has been missing from the instance list
	// for longer than the list lags.
	TargetGone bool
}

// Removable reports whether the row may be removed, so that its memory can be
// reserved again and its replica no longer counts.
//
// A row that is removed too early leaves a replica uncounted: an order that
// arrives late, from a holder that was paused past its lease or through a slow
// network, would load it, and the next load would overcommit the target's
// memory. A row may therefore be removed only if the engine's inventory does
// not show its model and no order for the row can take effect any more:
//
//   - Orders of former holders: the process that wrote the row has no order in
//     flight, and either the engine checks tokens and has received this
//     holder's, or OrderLifetime has passed since. The token alone is not
//     enough: an engine forgets it when it restarts, and would carry out the
//     delayed order of a paused holder until this holder raises the token
//     again.
//   - This holder's own orders: all were answered, or the last one without an
//     answer was sent more than OrderLifetime ago, or this incarnation of the
//     engine has answered one of them. All orders to load a row have the same
//     id, in every lease term, so the engine carries out only the first.
func (r *Row) Removable(e Evidence) bool {
	if e.TargetGone {
		return true
	}

	if e.Inventory == nil || r.residentIn(e.Inventory) {
		return false
	}

	if !r.State.OwnTerm && !e.formerResolved() {
		return false
	}

	acknowledged := r.State.Acknowledged && r.State.Incarnation == e.Inventory.Incarnation

	return acknowledged || r.State.InDoubtSince.IsZero() || e.Now.Sub(r.State.InDoubtSince) > OrderLifetime
}

// formerResolved reports whether no order of a former holder can take effect
// any more.
func (e *Evidence) formerResolved() bool {
	if e.ChecksTokens && e.Inventory.Token >= e.Token {
		return e.Resolved > 0
	}

	return e.Resolved > OrderLifetime
}

func (r *Row) residentIn(inv *target.Inventory) bool {
	return slices.ContainsFunc(inv.Resident, func(h target.ResidentModel) bool { return h.Model == r.Model })
}

// Unloadable reports whether the replica is to be unloaded, runs no request and
// has a confirmed row.
func (r *Row) Unloadable() bool {
	return r.State.Retiring && r.State.Running == 0 && r.Version != 0
}
