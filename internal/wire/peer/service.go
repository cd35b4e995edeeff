// Package peer is the protocol between entries: what they say to each other,
// over net/rpc in the frames of package frame.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Notice spreads what every entry must know within a second.
type Notice struct {
	Leaving  []instance.ID
	Poisoned []request.Fingerprint
	Dead     []crash.Death
}

// Handler is what a process does for its peers.
type Handler interface {
	// Heartbeat takes in a peer's status and returns this process's own.
	Heartbeat(s peer.Status) peer.Status
	// Report takes in a peer's demand for a cell that this process holds.
	Report(r demand.Report) error
	// Snapshot takes in routing. It reports false when it needs the whole.
	Snapshot(s *router.Snapshot) bool
	// Notify takes in a notice.
	Notify(n Notice)
	// Nudge says that a lease was released to this process.
	Nudge(cell int)
	// Ask grants part of a plan's limits.
	Ask(a limit.Request) limit.Grant
	// GrantShare grants a cell a part of the loads.
	GrantShare(a share.Request) share.Loads
	// Reserve keeps a target for one suspect for a time. It reports false
	// when another has it.
	Reserve(id instance.ID, holder string, lasting time.Duration) bool
	// Unreserve ends a reservation.
	Unreserve(id instance.ID, holder string)
	// Edits takes in edits of the lists and returns the version then in
	// force here.
	Edits(edits []plan.Edit) uint64
	// EditsAfter returns the edits after a version, or false when they are
	// not all at hand.
	EditsAfter(version uint64) ([]plan.Edit, bool)
	// Lists returns the whole lists in force.
	Lists() plan.State
	// Events returns the selected events.
	Events(f timeline.Filter) []timeline.Event
	// KeepEvents stores copies of a peer's events.
	KeepEvents(events []timeline.Event)
	// Board takes in a published board, encoded.
	Board(number uint64, data []byte)
}

// service is the net/rpc face of a Handler.
type service struct{ h Handler }

const serviceName = "Peer"

// Heartbeat is the remote call.
func (s service) Heartbeat(in Status, out *Status) error {
	*out = FromStatus(s.h.Heartbeat(ToStatus(in)))

	return nil
}

// Report is the remote call.
func (s service) Report(in Report, _ *Empty) error { return s.h.Report(ToReport(in, time.Now())) }

// Snapshot is the remote call.
func (s service) Snapshot(in Snapshot, applied *bool) error {
	snapshot, err := ToSnapshot(in)
	if err != nil {
		return err
	}

	*applied = s.h.Snapshot(snapshot)

	return nil
}

// NoticeMessage is a Notice on the wire.
type NoticeMessage struct {
	_ struct{} `cbor:",toarray"`

	Leaving  []string
	Poisoned []uint64
	// Dead holds pairs of a target and its incarnation.
	Dead [][2]string
}

// Notify is the remote call.
func (s service) Notify(in NoticeMessage, _ *Empty) error {
	n := Notice{Leaving: toIDs(in.Leaving)}
	for _, fp := range in.Poisoned {
		n.Poisoned = append(n.Poisoned, request.Fingerprint(fp))
	}

	for _, d := range in.Dead {
		n.Dead = append(n.Dead, crash.Death{Target: instance.ID(d[0]), Incarnation: d[1]})
	}

	s.h.Notify(n)

	return nil
}

// Nudge is the remote call.
func (s service) Nudge(cell int, _ *Empty) error {
	s.h.Nudge(cell)

	return nil
}

// Ask is the remote call.
func (s service) Ask(in Ask, out *Grant) error {
	*out = FromGrant(s.h.Ask(ToAsk(in)))

	return nil
}

// ShareAsk is a share.Ask on the wire.
type ShareAsk struct {
	_ struct{} `cbor:",toarray"`

	Cell                       int
	WantModels, WantAdapters   int
	UsingModels, UsingAdapters int
	HeldModels, HeldAdapters   int
}

// ShareGrant is a share.Amount on the wire.
type ShareGrant struct {
	_ struct{} `cbor:",toarray"`

	Models, Adapters int
}

// GrantShare is the remote call.
func (s service) GrantShare(in ShareAsk, out *ShareGrant) error {
	got := s.h.GrantShare(share.Request{
		Cell:      in.Cell,
		Wanted:    share.Loads{Models: in.WantModels, Adapters: in.WantAdapters},
		InFlight:  share.Loads{Models: in.UsingModels, Adapters: in.UsingAdapters},
		LastGrant: share.Loads{Models: in.HeldModels, Adapters: in.HeldAdapters},
	})
	out.Models, out.Adapters = got.Models, got.Adapters

	return nil
}

// Reservation asks for a target for one suspect.
type Reservation struct {
	_ struct{} `cbor:",toarray"`

	Target string
	Holder string
	ForMs  int64
}

// Reserve is the remote call.
func (s service) Reserve(in Reservation, ok *bool) error {
	*ok = s.h.Reserve(instance.ID(in.Target), in.Holder, milliseconds(in.ForMs))

	return nil
}

// Unreserve is the remote call.
func (s service) Unreserve(in Reservation, _ *Empty) error {
	s.h.Unreserve(instance.ID(in.Target), in.Holder)

	return nil
}

// Edits is the remote call.
func (s service) Edits(in []record.Edit, version *uint64) error {
	edits, err := toEdits(in)
	if err != nil {
		return err
	}

	*version = s.h.Edits(edits)

	return nil
}

// EditsReply answers EditsAfter.
type EditsReply struct {
	_ struct{} `cbor:",toarray"`

	Edits    []record.Edit
	Complete bool
}

// EditsAfter is the remote call.
func (s service) EditsAfter(version uint64, out *EditsReply) error {
	edits, ok := s.h.EditsAfter(version)
	out.Complete = ok

	for _, e := range edits {
		out.Edits = append(out.Edits, record.FromEdit(e))
	}

	return nil
}

// ListsReply carries the whole lists.
type ListsReply struct {
	_ struct{} `cbor:",toarray"`

	Version    uint64
	Plans      []record.Plan
	Allowances []record.Allowance
}

// Lists is the remote call.
func (s service) Lists(_ Empty, out *ListsReply) error {
	state := s.h.Lists()
	out.Version = state.Version()

	for _, p := range state.Plans() {
		out.Plans = append(out.Plans, record.FromPlan(p))
	}

	for _, a := range state.Allowances("") {
		out.Allowances = append(out.Allowances, record.FromAllowance(a))
	}

	return nil
}

// Events is the remote call.
func (s service) Events(f Filter, out *[]Event) error {
	filter := timeline.Filter{Request: f.Request, Model: f.Model, Since: timeline.Stamp(f.Since)}
	*out = FromEvents(s.h.Events(filter))

	return nil
}

// KeepEvents is the remote call.
func (s service) KeepEvents(in []Event, _ *Empty) error {
	s.h.KeepEvents(ToEvents(in))

	return nil
}

// BoardMessage is a board on the wire.
type BoardMessage struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	Data   []byte
}

// Board is the remote call.
func (s service) Board(in BoardMessage, _ *Empty) error {
	s.h.Board(in.Number, in.Data)

	return nil
}

func toEdits(in []record.Edit) ([]plan.Edit, error) {
	out := make([]plan.Edit, len(in))

	for i, e := range in {
		edit, err := record.ToEdit(e)
		if err != nil {
			return nil, err
		}

		out[i] = edit
	}

	return out, nil
}

// Serve answers peers on l until l is closed. Connections end with ctx.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	return frame.Serve(ctx, l, serviceName, service{h})
}
