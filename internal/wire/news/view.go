package news

import (
	"net/netip"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Versions are the versions that an entry has.
type Versions struct {
	// Config is the configuration's version, and List the state of the store at which
	// the list of targets was last read.
	Config uint64
	List   revision.Number
}

// VersionsMessage is Versions on the wire.
type VersionsMessage struct {
	_ struct{} `cbor:",toarray"`

	Config uint64
	List   RevisionMessage
}

// View contains what an entry has read from the store, for a peer that the store
// rejects.
type View struct {
	// Config is the configuration's compressed text, if it is newer than the
	// peer's.
	Config []byte
	// List is the version of Targets. Zero means that the peer's list is as
	// new.
	List revision.Number
	// Base is the version of the peer's list if Targets and Gone are the changes
	// since. Zero means that Targets is the complete list.
	Base    revision.Number
	Targets []inventory.Target
	Gone    []instance.ID
	// Listed are hashes of the ids of all listed targets if it is not known which
	// were removed since Base, and nil otherwise.
	Listed []uint64
}

// ViewMessage is a View on the wire.
type ViewMessage struct {
	_ struct{} `cbor:",toarray"`

	Config     []byte
	List, Base RevisionMessage
	Targets    []TargetMessage
	Gone       []string
	Listed     []uint64
}

// TargetMessage is an inventory.Target on the wire.
type TargetMessage struct {
	_ struct{} `cbor:",toarray"`

	ID, Service, Address, DataCentre string
	Software                         string
	Slots                            int
	Leaving                          bool
	Born                             int64
	Sequence                         uint64
	Version                          RevisionMessage
	Held                             []HeldOnList
	InMemory, OnDisk                 []string
}

// HeldOnList is an inventory.ResidentModel on the wire.
type HeldOnList struct {
	_ struct{} `cbor:",toarray"`

	Model    string
	Version  int
	Adapters []string
}

func fromView(v View) ViewMessage {
	out := ViewMessage{Config: v.Config, List: fromRevision(v.List), Base: fromRevision(v.Base), Listed: v.Listed}
	for _, id := range v.Gone {
		out.Gone = append(out.Gone, string(id))
	}

	for _, t := range v.Targets {
		m := TargetMessage{
			ID: string(t.ID), Service: t.Service, Address: t.Address.String(), DataCentre: string(t.DataCentre), Software: string(t.Software), Slots: t.Slots,
			Leaving: t.Leaving, Born: t.StartedMs, Sequence: t.Sequence, Version: fromRevision(t.Version), InMemory: t.InMemory, OnDisk: t.OnDisk,
		}
		for _, h := range t.Resident {
			m.Held = append(m.Held, HeldOnList{Model: h.Model, Version: h.Version, Adapters: h.Adapters})
		}

		out.Targets = append(out.Targets, m)
	}

	return out
}

func toView(m ViewMessage) (View, error) {
	out := View{Config: m.Config, List: toRevision(m.List), Base: toRevision(m.Base), Listed: m.Listed}
	for _, id := range m.Gone {
		out.Gone = append(out.Gone, instance.ID(id))
	}

	for _, t := range m.Targets {
		address, err := netip.ParseAddrPort(t.Address)
		if err != nil {
			return View{}, err
		}

		in := inventory.Target{
			ID: instance.ID(t.ID), Service: t.Service, Address: address, DataCentre: instance.DataCentre(t.DataCentre), Software: instance.Software(t.Software), Slots: t.Slots,
			Leaving: t.Leaving, StartedMs: t.Born, Sequence: t.Sequence, Version: toRevision(t.Version), InMemory: t.InMemory, OnDisk: t.OnDisk,
		}
		for _, h := range t.Held {
			in.Resident = append(in.Resident, inventory.ResidentModel{Model: h.Model, Version: h.Version, Adapters: h.Adapters})
		}

		out.Targets = append(out.Targets, in)
	}

	return out, nil
}
