package news

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

// DepartureMessage is a statement.Departure on the wire. It states an age, so that no
// clocks are compared.
type DepartureMessage struct {
	_ struct{} `cbor:",toarray"`

	Target, Incarnation string
	AgeMs               int64
}

func fromDepartures(list []statement.Departure, now time.Time) []DepartureMessage {
	out := make([]DepartureMessage, len(list))
	for i, d := range list {
		out[i] = DepartureMessage{
			Target: string(d.Process.Target), Incarnation: d.Process.Incarnation, AgeMs: max(0, now.Sub(d.At).Milliseconds()),
		}
	}

	return out
}

func toDepartures(list []DepartureMessage, now time.Time) []statement.Departure {
	out := make([]statement.Departure, len(list))
	for i, m := range list {
		out[i] = statement.Departure{
			Process: statement.Process{Target: instance.ID(m.Target), Incarnation: m.Incarnation},
			At:      now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
		}
	}

	return out
}

// Departures is the remote call.
func (s service) Departures(in []DepartureMessage, out *[]DepartureMessage) error {
	*out = fromDepartures(s.h.Departures(toDepartures(in, clock.Now())), clock.Now())

	return nil
}

// Departures tells the peer which targets have said that they leave. It returns those
// that the peer knows of and that are not on the list of targets yet.
func (c *Client) Departures(ctx context.Context, known []statement.Departure) ([]statement.Departure, error) {
	var out []DepartureMessage
	if err := c.Call(ctx, serviceName+".Departures", fromDepartures(known, clock.Now()), &out); err != nil {
		return nil, err
	}

	return toDepartures(out, clock.Now()), nil
}
