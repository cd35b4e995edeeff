package ledger

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// OrderLifetime is the longest time after an order was sent at which an engine
// may still begin to carry it out. It is an assumption about the platform's
// network and engines: an order that was not begun by then is never carried out.
const OrderLifetime = 15 * time.Second

// Evidence is the input to the decision whether a row may be removed.
type Evidence struct {
	Now time.Time
	// Inventory is the engine's current inventory. It is set only while no order
	// of this holder to the engine is in flight, and it shows the effects of all
	// its orders that the engine has answered. Nil means that there is no such
	// inventory.
	Inventory *target.Inventory
	// ChecksTokens says that the engine refuses orders with old fencing tokens.
	ChecksTokens bool
	// Token is the current holder's fencing token.
	Token uint64
	// WriterIdle is the time that has passed since the process that wrote the
	// row was proved to have no order in flight: because the process ran on this
	// instance, has reported so, or is gone. An order whose call was cancelled
	// or timed out may still arrive. Zero means that it is not proved.
	WriterIdle time.Duration
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
// memory. If the target is gone, the row may be removed at once. Otherwise it may
// be removed only if the engine's inventory does not show its model and no order
// for the row can take effect any more:
//
//   - Orders of former holders: the process that wrote the row is proved to have
//     no order in flight, and either the engine checks tokens and has received
//     this holder's token, or OrderLifetime has passed since that proof. The
//     token alone is not enough: an engine loses its token when it restarts, and
//     would carry out the delayed order of a paused holder until this holder
//     raises the token again.
//   - This holder's own orders: all were answered, or the latest unanswered one
//     was sent more than OrderLifetime ago, or this incarnation of the
//     engine has answered one of them. All orders to load a row have the same
//     id, in every lease term, so the engine carries out only the first.
func (r *Row) Removable(e Evidence) bool {
	if e.TargetGone {
		return true
	}

	if e.Inventory == nil || r.residentIn(e.Inventory) {
		return false
	}

	if !r.State.OwnTerm && !e.formerOrdersOver() {
		return false
	}

	acknowledged := r.State.Acknowledged && r.State.Incarnation == e.Inventory.Incarnation

	return acknowledged || r.State.InDoubtSince.IsZero() || e.Now.Sub(r.State.InDoubtSince) > OrderLifetime
}

// formerOrdersOver reports whether no order of a former holder can take effect
// any more.
func (e *Evidence) formerOrdersOver() bool {
	if e.ChecksTokens && e.Inventory.Token >= e.Token {
		return e.WriterIdle > 0
	}

	return e.WriterIdle > OrderLifetime
}

func (r *Row) residentIn(inv *target.Inventory) bool {
	return slices.ContainsFunc(inv.Resident, func(h target.ResidentModel) bool { return h.Model == r.Model })
}

// Unloadable reports whether the replica is to be unloaded, runs no request and
// has a confirmed row.
func (r *Row) Unloadable() bool {
	return r.State.Retiring && r.State.Running == 0 && r.Version != 0
}
