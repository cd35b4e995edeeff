package news

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
)

// ResumedMessage is a demand.Resumed on the wire.
type ResumedMessage struct {
	Model    string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint,omitempty"`
}

// Resume is the remote call.
func (s service) Resume(in []ResumedMessage, _ *Empty) error {
	resumed := make([]demand.Resumed, len(in))
	for i, m := range in {
		resumed[i] = demand.Resumed{Model: m.Model, Software: instance.Software(m.Software)}
	}

	return s.h.Resume(resumed)
}

// Resume tells the lease holder which models resumed streams wait for.
func (c *Client) Resume(ctx context.Context, resumed []demand.Resumed) error {
	in := make([]ResumedMessage, len(resumed))
	for i, r := range resumed {
		in[i] = ResumedMessage{Model: r.Model, Software: string(r.Software)}
	}

	return c.Call(ctx, serviceName+".Resume", in, &Empty{})
}
