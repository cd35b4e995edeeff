package news

import "context"

// ReachReply is the answer to the question whether an entry reaches the engines.
type ReachReply struct {
	Reaches bool `cbor:"1,keyasint,omitempty"`
}

// Reaches is the remote call.
func (s service) Reaches(_ Empty, out *ReachReply) error {
	out.Reaches = s.h.Reaches()

	return nil
}

// Reaches reports whether the peer reaches the engines.
func (c *Client) Reaches(ctx context.Context) (bool, error) {
	var out ReachReply

	err := c.Call(ctx, serviceName+".Reaches", Empty{}, &out)

	return out.Reaches, err
}
