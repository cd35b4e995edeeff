package news

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// OriginAnswer is what an entry knows of the software that began a stream.
type OriginAnswer struct {
	// Stream is what it knows of the stream itself. Alone is the software that alone can have
	// begun any stream of the service, as far as it knows. Neither is ever "not begun".
	Stream, Alone origin.Origin
}

// OriginRecordMessage is an origin.Record on the wire. It states the time that is left, so
// that no clocks are compared.
type OriginRecordMessage struct {
	_ struct{} `cbor:",toarray"`

	Key      uint64
	Software string
	LeftMs   int64
}

// OriginQueryMessage asks for a stream of a service.
type OriginQueryMessage struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Key     uint64
}

// OriginMessage is an origin.Origin on the wire.
type OriginMessage struct {
	_ struct{} `cbor:",toarray"`

	Known    bool
	Software string
}

// OriginAnswerMessage is an OriginAnswer on the wire.
type OriginAnswerMessage struct {
	_ struct{} `cbor:",toarray"`

	Stream, Alone OriginMessage
}

func fromOrigin(o origin.Origin) OriginMessage {
	s, known := o.Known()

	return OriginMessage{Known: known, Software: string(s)}
}

func toOrigin(m OriginMessage) origin.Origin {
	if !m.Known {
		return origin.Unknown()
	}

	return origin.Of(instance.Software(m.Software))
}

// RecordOrigins is the remote call.
func (s service) RecordOrigins(in []OriginRecordMessage, _ *Empty) error {
	now := time.Now()
	records := make([]origin.Record, len(in))

	for i, m := range in {
		records[i] = origin.Record{Key: origin.Key(m.Key), Software: instance.Software(m.Software), Until: now.Add(time.Duration(m.LeftMs) * time.Millisecond)}
	}

	s.h.RecordOrigins(records)

	return nil
}

// FindOrigin is the remote call.
func (s service) FindOrigin(in OriginQueryMessage, out *OriginAnswerMessage) error {
	a := s.h.FindOrigin(in.Service, origin.Key(in.Key))
	*out = OriginAnswerMessage{Stream: fromOrigin(a.Stream), Alone: fromOrigin(a.Alone)}

	return nil
}

// RecordOrigins tells the peer which software began streams.
func (c *Client) RecordOrigins(ctx context.Context, records []origin.Record) error {
	now := time.Now()
	in := make([]OriginRecordMessage, len(records))

	for i, r := range records {
		in[i] = OriginRecordMessage{Key: uint64(r.Key), Software: string(r.Software), LeftMs: leftMs(r.Until, now)}
	}

	return c.Call(ctx, serviceName+".RecordOrigins", in, &Empty{})
}

// FindOrigin asks the peer what it knows of the software that began a stream.
func (c *Client) FindOrigin(ctx context.Context, service string, k origin.Key) (OriginAnswer, error) {
	var out OriginAnswerMessage
	if err := c.Call(ctx, serviceName+".FindOrigin", OriginQueryMessage{Service: service, Key: uint64(k)}, &out); err != nil {
		return OriginAnswer{}, err
	}

	return OriginAnswer{Stream: toOrigin(out.Stream), Alone: toOrigin(out.Alone)}, nil
}
