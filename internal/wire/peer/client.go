package peer

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Client calls one peer.
type Client struct{ frame.Caller }

// Heartbeat exchanges statuses.
func (c *Client) Heartbeat(ctx context.Context, s peer.Status) (peer.Status, error) {
	var out Status

	if err := c.Call(ctx, serviceName+".Heartbeat", FromStatus(s), &out); err != nil {
		return peer.Status{}, err
	}

	return ToStatus(out), nil
}

// Report sends an entry's demand.
func (c *Client) Report(ctx context.Context, r demand.Report) error {
	return c.Call(ctx, serviceName+".Report", FromReport(r, time.Now()), &Empty{})
}

// Snapshot sends routing.
func (c *Client) Snapshot(ctx context.Context, s *router.Snapshot) (bool, error) {
	var applied bool

	if err := c.Call(ctx, serviceName+".Snapshot", FromSnapshot(s), &applied); err != nil {
		return false, err
	}

	return applied, nil
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

	return c.Call(ctx, serviceName+".Notify", in, &Empty{})
}

// Nudge says that a lease was released to the peer.
func (c *Client) Nudge(ctx context.Context, cell int) error {
	return c.Call(ctx, serviceName+".Nudge", cell, &Empty{})
}

// Ask asks for a grant.
func (c *Client) Ask(ctx context.Context, a limit.Request) (limit.Grant, error) {
	var out Grant

	if err := c.Call(ctx, serviceName+".Ask", FromAsk(a), &out); err != nil {
		return limit.Grant{}, err
	}

	return ToGrant(out), nil
}

// GrantShare asks for a cell's part of the loads.
func (c *Client) GrantShare(ctx context.Context, a share.Request) (share.Loads, error) {
	var out ShareGrant

	err := c.Call(ctx, serviceName+".GrantShare", ShareAsk{
		Cell: a.Cell, WantModels: a.Wanted.Models, WantAdapters: a.Wanted.Adapters,
		UsingModels: a.InFlight.Models, UsingAdapters: a.InFlight.Adapters,
		HeldModels: a.LastGrant.Models, HeldAdapters: a.LastGrant.Adapters,
	}, &out)
	if err != nil {
		return share.Loads{}, err
	}

	return share.Loads{Models: out.Models, Adapters: out.Adapters}, nil
}

// Reserve asks for a target for one suspect.
func (c *Client) Reserve(ctx context.Context, id instance.ID, holder string, lasting time.Duration) (bool, error) {
	var ok bool

	in := Reservation{Target: string(id), Holder: holder, ForMs: lasting.Milliseconds()}
	if err := c.Call(ctx, serviceName+".Reserve", in, &ok); err != nil {
		return false, err
	}

	return ok, nil
}

// Unreserve ends a reservation.
func (c *Client) Unreserve(ctx context.Context, id instance.ID, holder string) error {
	return c.Call(ctx, serviceName+".Unreserve", Reservation{Target: string(id), Holder: holder}, &Empty{})
}

// Edits sends edits of the lists and returns the version in force there.
func (c *Client) Edits(ctx context.Context, edits []plan.Edit) (uint64, error) {
	in := make([]record.Edit, len(edits))
	for i, e := range edits {
		in[i] = record.FromEdit(e)
	}

	var version uint64

	if err := c.Call(ctx, serviceName+".Edits", in, &version); err != nil {
		return 0, err
	}

	return version, nil
}

// EditsAfter fetches the edits after a version.
func (c *Client) EditsAfter(ctx context.Context, version uint64) ([]plan.Edit, bool, error) {
	var out EditsReply
	if err := c.Call(ctx, serviceName+".EditsAfter", version, &out); err != nil {
		return nil, false, err
	}

	edits, err := toEdits(out.Edits)

	return edits, out.Complete, err
}

// Lists fetches the whole lists.
func (c *Client) Lists(ctx context.Context) (plan.State, error) {
	var out ListsReply
	if err := c.Call(ctx, serviceName+".Lists", Empty{}, &out); err != nil {
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
	if err := c.Call(ctx, serviceName+".Events", in, &out); err != nil {
		return nil, err
	}

	return ToEvents(out), nil
}

// KeepEvents sends copies of events.
func (c *Client) KeepEvents(ctx context.Context, events []timeline.Event) error {
	return c.Call(ctx, serviceName+".KeepEvents", FromEvents(events), &Empty{})
}

// Board sends a published board.
func (c *Client) Board(ctx context.Context, number uint64, data []byte) error {
	return c.Call(ctx, serviceName+".Board", BoardMessage{Number: number, Data: data}, &Empty{})
}
