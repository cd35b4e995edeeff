package news

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/freshness"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// ConfigQuery asks for the next part of a configuration's compressed text.
type ConfigQuery struct {
	// Have is the version in force on the entry that asks.
	Have uint64
	// Version and Digest identify the text of which Offset bytes have arrived there. Zero
	// for Offset asks for the newest text.
	Version, Digest uint64
	Offset          int
	// Size is the largest part to send.
	Size int
}

// ConfigPart is a part of a configuration's compressed text, and what its sender knows.
type ConfigPart struct {
	// Known is the newest version that the sender knows of.
	Known freshness.Evidence
	// StoreVersion is, if Known is dated, a version of the store at which Known.Version was
	// the newest. Zero means that none is known.
	StoreVersion revision.Number
	// Version and Digest identify the text, and Total is its length. Data is the part at
	// Offset. It is empty if the sender has no newer text than the entry that asks.
	Version, Digest uint64
	Total, Offset   int
	Data            []byte
}

// EvidenceMessage is a freshness.Evidence on the wire. It states the age, so that no
// clocks are compared, and none if the time is unknown.
type EvidenceMessage struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	AgeMs   int64  `cbor:"2,keyasint,omitempty"`
	Dated   bool   `cbor:"3,keyasint,omitempty"`
}

// ConfigQueryMessage is a ConfigQuery on the wire.
type ConfigQueryMessage struct {
	Have    uint64 `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Digest  uint64 `cbor:"3,keyasint,omitempty"`
	Offset  int    `cbor:"4,keyasint,omitempty"`
	Size    int    `cbor:"5,keyasint,omitempty"`
}

// ConfigPartMessage is a ConfigPart on the wire.
type ConfigPartMessage struct {
	Known   EvidenceMessage `cbor:"1,keyasint"`
	Version uint64          `cbor:"2,keyasint,omitempty"`
	Digest  uint64          `cbor:"3,keyasint,omitempty"`
	Total   int             `cbor:"4,keyasint,omitempty"`
	Offset  int             `cbor:"5,keyasint,omitempty"`
	Data    []byte          `cbor:"6,keyasint,omitempty"`
	// StoreVersion and Era are the state of the store. Programs that know no eras state
	// none.
	StoreVersion uint64 `cbor:"7,keyasint,omitempty"`
	Era          uint64 `cbor:"8,keyasint,omitempty"`
}

// ReportReply is the answer to an entry's report. Older entries answer with an empty one.
type ReportReply struct {
	// Config is what the lease holder knows of the configuration, and StoreAgeMs, if
	// Config is dated, the age of what it knows of the store.
	Config     EvidenceMessage `cbor:"1,keyasint"`
	StoreAgeMs int64           `cbor:"2,keyasint,omitempty"`
	// List and Era are the state of the store at which the usable targets last changed.
	// Programs that know no eras state none.
	List uint64 `cbor:"3,keyasint,omitempty"`
	Era  uint64 `cbor:"4,keyasint,omitempty"`
}

// HolderKnowledge is what the lease holder knows of the store.
type HolderKnowledge struct {
	Config freshness.Evidence
	// StoreAsOf is a time since which the holder has missed no change of the
	// configuration and of the list of targets. Zero means that it is unknown.
	StoreAsOf time.Time
	// List is the version of the list of targets at which the set of usable ones last
	// changed.
	List revision.Number
}

func fromEvidence(e freshness.Evidence, now time.Time) EvidenceMessage {
	out := EvidenceMessage{Version: e.Version, Dated: !e.AsOf.IsZero()}
	if out.Dated {
		out.AgeMs = ageMs(e.AsOf, now)
	}

	return out
}

// ageMs rounds an age up, since evidence must not seem newer than it is.
func ageMs(t, now time.Time) int64 { return now.Sub(t).Milliseconds() + 1 }

// toEvidence dates evidence back from the time at which it was requested: how long the
// answer took does not make it newer.
func toEvidence(m EvidenceMessage, requested time.Time) freshness.Evidence {
	e := freshness.Evidence{Version: m.Version}
	if m.Dated {
		e.AsOf = requested.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	}

	return e
}

// ConfigPart is the remote call.
func (s service) ConfigPart(in ConfigQueryMessage, out *ConfigPartMessage) error {
	p := s.h.ConfigPart(ConfigQuery(in))
	*out = ConfigPartMessage{
		Known: fromEvidence(p.Known, time.Now()), Version: p.Version, Digest: p.Digest, Total: p.Total, Offset: p.Offset, Data: p.Data,
		StoreVersion: p.StoreVersion.Version(), Era: p.StoreVersion.Era(),
	}

	return nil
}

// ConfigPart fetches a part of a newer configuration's text, and what the peer knows.
func (c *Client) ConfigPart(ctx context.Context, q ConfigQuery) (ConfigPart, error) {
	var out ConfigPartMessage

	requested := time.Now()

	if err := c.Call(ctx, serviceName+".ConfigPart", ConfigQueryMessage(q), &out); err != nil {
		return ConfigPart{}, err
	}

	return ConfigPart{
		Known: toEvidence(out.Known, requested), Version: out.Version, Digest: out.Digest, Total: out.Total, Offset: out.Offset, Data: out.Data,
		StoreVersion: toRevision(RevisionMessage{Era: out.Era, Version: out.StoreVersion}),
	}, nil
}

func fromKnowledge(k HolderKnowledge, now time.Time) ReportReply {
	out := ReportReply{Config: fromEvidence(k.Config, now), List: k.List.Version(), Era: k.List.Era()}
	if !k.StoreAsOf.IsZero() {
		out.StoreAgeMs = ageMs(k.StoreAsOf, now)
	}

	return out
}

func toKnowledge(m ReportReply, requested time.Time) HolderKnowledge {
	out := HolderKnowledge{Config: toEvidence(m.Config, requested), List: toRevision(RevisionMessage{Era: m.Era, Version: m.List})}
	if m.StoreAgeMs > 0 {
		out.StoreAsOf = requested.Add(-time.Duration(m.StoreAgeMs) * time.Millisecond)
	}

	return out
}
