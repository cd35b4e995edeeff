package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
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
	Ask(a limit.Ask) limit.Grant
	// GrantShare grants a cell a part of the loads.
	GrantShare(a share.Ask) share.Amount
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
}

// ShareGrant is a share.Amount on the wire.
type ShareGrant struct {
	_ struct{} `cbor:",toarray"`

	Models, Adapters int
}

// GrantShare is the remote call.
func (s service) GrantShare(in ShareAsk, out *ShareGrant) error {
	got := s.h.GrantShare(share.Ask{
		Cell:  in.Cell,
		Want:  share.Amount{Models: in.WantModels, Adapters: in.WantAdapters},
		Using: share.Amount{Models: in.UsingModels, Adapters: in.UsingAdapters},
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
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, service{h}); err != nil {
		return err
	}

	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}

		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })

		go func() {
			server.ServeCodec(serverCodec{newFrames(conn)})
			stop()
		}()
	}
}

// Times of the client.
const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
)

// Client calls one peer over one connection, which it dials when needed and
// dials again after any call without an answer in time: a connection may have
// gone silent for good while new ones work.
type Client struct {
	Address netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config

	mu     sync.Mutex
	client *rpc.Client
}

// TimeoutError says that the peer did not answer in time.
type TimeoutError struct{ Method string }

func (e *TimeoutError) Error() string { return "peer: " + e.Method + ": no answer in time" }

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.client != nil {
		return c.client, nil
	}

	conn, err := c.dial()
	if err != nil {
		return nil, err
	}

	c.client = rpc.NewClientWithCodec(clientCodec{newFrames(conn)})

	return c.client, nil
}

func (c *Client) dial() (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if c.TLS == nil {
		return d.Dial("tcp", c.Address.String())
	}

	return tls.DialWithDialer(d, "tcp", c.Address.String(), c.TLS)
}

// drop closes the connection, so that the next call dials anew.
func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.client == client {
		c.client = nil
	}

	_ = client.Close()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.mu.Unlock()

	if client != nil {
		c.drop(client)
	}
}

func (c *Client) call(ctx context.Context, method string, in, out any) error {
	client, err := c.connect()
	if err != nil {
		return err
	}

	t := time.NewTimer(callTimeout)
	defer t.Stop()

	call := client.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		c.drop(client)

		return &TimeoutError{Method: method}
	case <-call.Done:
	}

	var answered rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &answered) {
		c.drop(client)
	}

	return call.Error
}

// Heartbeat exchanges statuses.
func (c *Client) Heartbeat(ctx context.Context, s peer.Status) (peer.Status, error) {
	var out Status

	err := c.call(ctx, "Heartbeat", FromStatus(s), &out)

	return ToStatus(out), err
}

// Report sends an entry's demand.
func (c *Client) Report(ctx context.Context, r demand.Report) error {
	return c.call(ctx, "Report", FromReport(r, time.Now()), &Empty{})
}

// Snapshot sends routing.
func (c *Client) Snapshot(ctx context.Context, s *router.Snapshot) (bool, error) {
	var applied bool

	err := c.call(ctx, "Snapshot", FromSnapshot(s), &applied)

	return applied, err
}

// Notify sends a notice.
func (c *Client) Notify(ctx context.Context, n Notice) error {
	in := NoticeMessage{Leaving: fromIDs(n.Leaving)}
	for _, fp := range n.Poisoned {
		in.Poisoned = append(in.Poisoned, uint64(fp))
	}

	for _, d := range n.Dead {
		in.Dead = append(in.Dead, [2]string{string(d.Target), d.Incarnation})
	}

	return c.call(ctx, "Notify", in, &Empty{})
}

// Nudge says that a lease was released to the peer.
func (c *Client) Nudge(ctx context.Context, cell int) error {
	return c.call(ctx, "Nudge", cell, &Empty{})
}

// Ask asks for a grant.
func (c *Client) Ask(ctx context.Context, a limit.Ask) (limit.Grant, error) {
	var out Grant

	err := c.call(ctx, "Ask", FromAsk(a), &out)

	return ToGrant(out), err
}

// GrantShare asks for a cell's part of the loads.
func (c *Client) GrantShare(ctx context.Context, a share.Ask) (share.Amount, error) {
	var out ShareGrant

	err := c.call(ctx, "GrantShare", ShareAsk{
		Cell: a.Cell, WantModels: a.Want.Models, WantAdapters: a.Want.Adapters,
		UsingModels: a.Using.Models, UsingAdapters: a.Using.Adapters,
	}, &out)

	return share.Amount{Models: out.Models, Adapters: out.Adapters}, err
}

// Reserve asks for a target for one suspect.
func (c *Client) Reserve(ctx context.Context, id instance.ID, holder string, lasting time.Duration) (bool, error) {
	var ok bool

	in := Reservation{Target: string(id), Holder: holder, ForMs: lasting.Milliseconds()}
	err := c.call(ctx, "Reserve", in, &ok)

	return ok, err
}

// Unreserve ends a reservation.
func (c *Client) Unreserve(ctx context.Context, id instance.ID, holder string) error {
	return c.call(ctx, "Unreserve", Reservation{Target: string(id), Holder: holder}, &Empty{})
}

// Edits sends edits of the lists and returns the version in force there.
func (c *Client) Edits(ctx context.Context, edits []plan.Edit) (uint64, error) {
	in := make([]record.Edit, len(edits))
	for i, e := range edits {
		in[i] = record.FromEdit(e)
	}

	var version uint64

	err := c.call(ctx, "Edits", in, &version)

	return version, err
}

// EditsAfter fetches the edits after a version.
func (c *Client) EditsAfter(ctx context.Context, version uint64) ([]plan.Edit, bool, error) {
	var out EditsReply
	if err := c.call(ctx, "EditsAfter", version, &out); err != nil {
		return nil, false, err
	}

	edits, err := toEdits(out.Edits)

	return edits, out.Complete, err
}

// Lists fetches the whole lists.
func (c *Client) Lists(ctx context.Context) (plan.State, error) {
	var out ListsReply
	if err := c.call(ctx, "Lists", Empty{}, &out); err != nil {
		return plan.State{}, err
	}

	plans := make([]plan.Plan, len(out.Plans))

	for i, p := range out.Plans {
		var err error
		if plans[i], err = record.ToPlan(p); err != nil {
			return plan.State{}, err
		}
	}

	allowances := make([]plan.Allowance, len(out.Allowances))
	for i, a := range out.Allowances {
		allowances[i] = record.ToAllowance(a)
	}

	return plan.Restore(out.Version, plans, allowances), nil
}

// Events fetches the selected events.
func (c *Client) Events(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
	var out []Event

	in := Filter{Request: f.Request, Model: f.Model, Since: uint64(f.Since)}
	err := c.call(ctx, "Events", in, &out)

	return ToEvents(out), err
}

// KeepEvents sends copies of events.
func (c *Client) KeepEvents(ctx context.Context, events []timeline.Event) error {
	return c.call(ctx, "KeepEvents", FromEvents(events), &Empty{})
}

// Board sends a published board.
func (c *Client) Board(ctx context.Context, number uint64, data []byte) error {
	return c.call(ctx, "Board", BoardMessage{Number: number, Data: data}, &Empty{})
}
