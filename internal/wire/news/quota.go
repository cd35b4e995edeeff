package news

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Lending is a loan of shares of teams' limits to the home that is named.
type Lending struct {
	quota.Delegation

	// Home is the process that the loan is meant for.
	Home string
	// Returns are what was counted for requests that did not run, by team.
	Returns map[string]float64
}

// Receipt is a home's answer to a loan.
type Receipt struct {
	// Process is the home's, and Stamp its clock.
	Process string
	Stamp   quota.Uptime
	// Held is what the home holds of the sender's share.
	Held quota.SlotSet
	// Released says that the home stops and uses nothing that it was lent.
	Released bool
}

// Drawing is a request that wants to run.
type Drawing struct {
	Team string
	Cost float64
}

// Drawn is a home's answer to it.
type Drawn struct {
	quota.Decision

	// Process is the home's.
	Process string
	// Stranger says that the home does not know the team yet.
	Stranger bool
	// Released says that the home stops.
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

// Lend lends shares of limits to the peer.
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
