package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
)

// Event is a timeline.Event on the wire.
type Event struct {
	_ struct{} `cbor:",toarray"`

	At       uint64
	Instance string
	Process  string
	Number   uint64
	Kind     string
	Request  string
	Model    string
	Target   string
	Customer string
	Detail   string
}

// FromEvents maps events to the wire.
func FromEvents(events []timeline.Event) []Event {
	out := make([]Event, len(events))
	for i, e := range events {
		out[i] = Event{
			At:       uint64(e.At),
			Instance: string(e.Instance),
			Process:  e.Process,
			Number:   e.Number,
			Kind:     string(e.Kind),
			Request:  e.Request,
			Model:    e.Model,
			Target:   string(e.Target),
			Customer: e.Customer,
			Detail:   e.Detail,
		}
	}

	return out
}

// ToEvents maps events from the wire.
func ToEvents(events []Event) []timeline.Event {
	out := make([]timeline.Event, len(events))
	for i, e := range events {
		out[i] = timeline.Event{
			At:       timeline.Stamp(e.At),
			Instance: instance.ID(e.Instance),
			Process:  e.Process,
			Number:   e.Number,
			Kind:     timeline.Kind(e.Kind),
			Request:  e.Request,
			Model:    e.Model,
			Target:   instance.ID(e.Target),
			Customer: e.Customer,
			Detail:   e.Detail,
		}
	}

	return out
}

// Filter is a timeline.Filter on the wire.
type Filter struct {
	_ struct{} `cbor:",toarray"`

	Request string
	Model   string
	Since   uint64
}

// EncodeEvents maps a batch of events to bytes for the object store.
func EncodeEvents(events []timeline.Event) ([]byte, error) { return cbor.Marshal(FromEvents(events)) }

// DecodeEvents reads a batch from the object store.
func DecodeEvents(data []byte) ([]timeline.Event, error) {
	var events []Event

	err := cbor.Unmarshal(data, &events)

	return ToEvents(events), err
}
