package news

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// BlockReply is the answer to a block. Entries that know no such answer send none of its
// fields.
type BlockReply struct {
	// Answered says that the request was answered whole there lately and is not blocked.
	Answered bool `cbor:"1,keyasint,omitempty"`
}

// Block is the remote call.
func (s service) Block(in uint64, out *BlockReply) error {
	out.Answered = !s.h.Block(request.Fingerprint(in))

	return nil
}

// Unblock is the remote call.
func (s service) Unblock(in uint64, _ *Empty) error {
	s.h.Unblock(request.Fingerprint(in))

	return nil
}

// Block sends the fingerprint of a request that crashes targets. It reports false if the
// peer does not block it, because the request was answered whole there lately.
func (c *Client) Block(ctx context.Context, fp request.Fingerprint) (bool, error) {
	var out BlockReply

	err := c.Call(ctx, serviceName+".Block", uint64(fp), &out)

	return !out.Answered, err
}

// Unblock ends the block of a request that some entry has had answered whole.
func (c *Client) Unblock(ctx context.Context, fp request.Fingerprint) error {
	return c.Call(ctx, serviceName+".Unblock", uint64(fp), &Empty{})
}
