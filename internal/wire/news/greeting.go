package news

import (
	"net/netip"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
)

// GreetingMessage is a Greeting on the wire.
type GreetingMessage struct {
	_ struct{} `cbor:",toarray"`

	From   MemberMessage
	Set    uint64
	Beats  []uint64
	Pulses []PulseMessage
	Want   []uint64
	Known  []MemberMessage
}

// PulseMessage is a membership.ProcessHeartbeat on the wire.
type PulseMessage struct {
	_ struct{} `cbor:",toarray"`

	Process, Beat uint64
}

// MemberMessage is a membership.Member on the wire.
type MemberMessage struct {
	_ struct{} `cbor:",toarray"`

	ID, Address, Process string
	BornMs               int64
	Strength             float32
	Beat                 uint64
	Leaving              bool
}

// bornMs and born convert a start time. An unknown one stays zero.
func bornMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}

	return t.UnixMilli()
}

func born(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}

	return time.UnixMilli(ms)
}

func fromMember(m membership.Member) MemberMessage {
	return MemberMessage{
		ID: string(m.ID), Address: m.Address.String(), Process: m.Process, BornMs: bornMs(m.Started), Strength: float32(m.Strength), Beat: m.Heartbeat, Leaving: m.Leaving,
	}
}

func toMember(m MemberMessage) (membership.Member, error) {
	address, err := netip.ParseAddrPort(m.Address)

	return membership.Member{
		ID: instance.ID(m.ID), Address: address, Process: m.Process, Started: born(m.BornMs), Strength: float64(m.Strength), Heartbeat: m.Beat, Leaving: m.Leaving,
	}, err
}

func fromGreeting(g Greeting) GreetingMessage {
	out := GreetingMessage{From: fromMember(g.From), Set: g.Digest.MembersHash, Beats: g.Digest.Heartbeats, Want: g.Want}
	for _, p := range g.Pulses {
		out.Pulses = append(out.Pulses, PulseMessage{Process: p.Process, Beat: p.Heartbeat})
	}

	for _, m := range g.Known {
		out.Known = append(out.Known, fromMember(m))
	}

	return out
}

func toGreeting(in GreetingMessage) (Greeting, error) {
	from, err := toMember(in.From)
	if err != nil {
		return Greeting{}, err
	}

	out := Greeting{From: from, Digest: membership.Digest{MembersHash: in.Set, Heartbeats: in.Beats}, Want: in.Want}
	for _, p := range in.Pulses {
		out.Pulses = append(out.Pulses, membership.ProcessHeartbeat{Process: p.Process, Heartbeat: p.Beat})
	}

	for _, known := range in.Known {
		m, err := toMember(known)
		if err != nil {
			return Greeting{}, err
		}

		out.Known = append(out.Known, m)
	}

	return out, nil
}
