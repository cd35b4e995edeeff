package entry

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/placement/cell"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

// handler is what an entry does for its peers.
type handler struct{ e *Entry }

// Heartbeat implements wire.Handler.
func (h handler) Heartbeat(s peer.Status) peer.Status {
	h.e.hear(s)

	return h.e.status()
}

// Report implements wire.Handler.
func (h handler) Report(r demand.Report) error {
	if r.Cell < 0 || r.Cell >= len(h.e.cells) {
		return &cell.NotHolderError{Cell: r.Cell}
	}

	return h.e.cells[r.Cell].Report(r)
}

// Snapshot implements wire.Handler.
func (h handler) Snapshot(s *router.Snapshot) bool { return h.e.applySnapshot(s) }

// Notify implements wire.Handler.
func (h handler) Notify(n wire.Notice) { h.e.take(n) }

// Nudge implements wire.Handler.
func (h handler) Nudge(c int) {
	if c >= 0 && c < len(h.e.cells) {
		h.e.cells[c].Wake()
	}
}

// Ask implements wire.Handler.
func (h handler) Ask(a limit.Request) limit.Grant { return h.e.grant(a) }

// GrantShare implements wire.Handler.
func (h handler) GrantShare(a share.Request) share.Loads { return h.e.cells[0].GrantShare(a) }

// Reserve implements wire.Handler.
func (h handler) Reserve(id instance.ID, holder string, lasting time.Duration) bool {
	return h.e.kept.reserve(id, holder, time.Now().Add(lasting), time.Now())
}

// Unreserve implements wire.Handler.
func (h handler) Unreserve(id instance.ID, holder string) { h.e.kept.release(id, holder) }

// Edits implements wire.Handler.
func (h handler) Edits(edits []plan.Edit) uint64 {
	h.e.spread(h.e.applyEdits(edits))

	return h.e.lists.Current().Version()
}

// EditsAfter implements wire.Handler.
func (h handler) EditsAfter(version uint64) ([]plan.Edit, bool) { return h.e.lists.After(version) }

// Lists implements wire.Handler.
func (h handler) Lists() plan.State { return h.e.lists.Current() }

// Events implements wire.Handler.
func (h handler) Events(f timeline.Filter) []timeline.Event { return h.e.log.Query(f) }

// KeepEvents implements wire.Handler.
func (h handler) KeepEvents(events []timeline.Event) { h.e.log.Keep(events) }

// Board implements wire.Handler.
func (h handler) Board(number uint64, data []byte) { h.e.boards.take(number, data) }
