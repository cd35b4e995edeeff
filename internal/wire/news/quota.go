package news

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Lending is a delegation of shares of limits to the named owner.
type Lending struct {
	quota.Delegation

	// Home is the owner's process.
	Home string
	// Returns are the refunds for requests that did not run, by team.
	Returns map[string]float64
}

// Receipt is an owner's answer to a delegation.
type Receipt struct {
	// Process is the owner's process, and Stamp its clock.
	Process string
	Stamp   quota.Uptime
	// Held are the slots of the sender's share that are delegated to the owner.
	Held quota.SlotSet
	// Released says that the owner is stopping and uses no delegations.
	Released bool
}

// Drawing asks an owner whether a request may run.
type Drawing struct {
	Team string
	Cost float64
}

// Drawn is an owner's answer to a Drawing.
type Drawn struct {
	quota.Decision

	// Process is the owner's process.
	Process string
	// Stranger says that the owner does not know the team yet.
	Stranger bool
	// Released says that the owner is stopping.
	Released bool
}

// LendingMessage is a Lending on the wire.
type LendingMessage struct {
	_ struct{} `cbor:",toarray"`

	Entry   string
	Slots   uint16
	UntilMs int64
	Home    string
	Returns map[string]float64
}

// ReceiptMessage is a Receipt on the wire.
type ReceiptMessage struct {
	_ struct{} `cbor:",toarray"`

	Process  string
	StampMs  int64
	Held     uint16
	Released bool
}

// DrawingMessage is a Drawing on the wire.
type DrawingMessage struct {
	_ struct{} `cbor:",toarray"`

	Team string
	Cost float64
}

// DrawnMessage is a Drawn on the wire.
type DrawnMessage struct {
	_ struct{} `cbor:",toarray"`

	Granted  bool
	WaitMs   int64
	Part     float64
	Settling bool
	Process  string
	Stranger bool
	Released bool
}

// Lend is the remote call.
func (s service) Lend(in LendingMessage, out *ReceiptMessage) error {
	r := s.h.Lend(Lending{
		Delegation: quota.Delegation{
			Entry: instance.ID(in.Entry), Slots: quota.SlotSet(in.Slots), Until: quota.Uptime(time.Duration(in.UntilMs) * time.Millisecond),
		},
		Home: in.Home, Returns: in.Returns,
	})
	*out = ReceiptMessage{Process: r.Process, StampMs: time.Duration(r.Stamp).Milliseconds(), Held: uint16(r.Held), Released: r.Released}

	return nil
}

// Draw is the remote call.
func (s service) Draw(in DrawingMessage, out *DrawnMessage) error {
	d := s.h.Draw(Drawing{Team: in.Team, Cost: in.Cost})
	*out = DrawnMessage{
		Granted: d.Granted, WaitMs: d.Wait.Milliseconds(), Part: d.Part, Settling: d.Filling, Process: d.Process, Stranger: d.Stranger, Released: d.Released,
	}

	return nil
}

// Lend delegates shares of limits to the peer.
func (c *Client) Lend(ctx context.Context, l Lending) (Receipt, error) {
	in := LendingMessage{
		Entry: string(l.Entry), Slots: uint16(l.Slots), UntilMs: time.Duration(l.Until).Milliseconds(), Home: l.Home, Returns: l.Returns,
	}

	var out ReceiptMessage
	if err := c.Call(ctx, serviceName+".Lend", in, &out); err != nil {
		return Receipt{}, err
	}

	return Receipt{
		Process: out.Process, Stamp: quota.Uptime(time.Duration(out.StampMs) * time.Millisecond), Held: quota.SlotSet(out.Held), Released: out.Released,
	}, nil
}

// Draw asks the peer whether a request may run.
func (c *Client) Draw(ctx context.Context, d Drawing) (Drawn, error) {
	var out DrawnMessage
	if err := c.Call(ctx, serviceName+".Draw", DrawingMessage{Team: d.Team, Cost: d.Cost}, &out); err != nil {
		return Drawn{}, err
	}

	return Drawn{
		Decision: quota.Decision{Granted: out.Granted, Wait: time.Duration(out.WaitMs) * time.Millisecond, Part: out.Part, Filling: out.Settling},
		Process:  out.Process, Stranger: out.Stranger, Released: out.Released,
	}, nil
}
