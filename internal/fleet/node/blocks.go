package node

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Block implements news.Handler.
func (n *Node) Block(fp request.Fingerprint) bool { return n.dispatcher.Block(fp) }

// Unblock implements news.Handler.
func (n *Node) Unblock(fp request.Fingerprint) { n.dispatcher.Unblock(fp) }

// broadcastNotice sends the fingerprint of a poison request to all peers that
// are alive.
func (n *Node) broadcastNotice(notice dispatch.Notice) {
	if notice.Poisoned == 0 {
		return
	}

	n.cfg.Log.Warn().Uint64("fingerprint", uint64(notice.Poisoned)).Msg("request crashes targets")

	go n.announceBlock(notice.Poisoned)
}

// announceBlock sends a block to all peers that are alive. If one of them has had the
// request answered whole lately, the block ends here and at those that were told.
func (n *Node) announceBlock(fp request.Fingerprint) {
	told := n.peers.alive()

	var unblocked atomic.Bool

	n.informAll(told, func(ctx context.Context, p *peer) error {
		blocked, err := p.client.Block(ctx, fp)
		if err == nil && !blocked && n.dispatcher.Unblock(fp) {
			unblocked.Store(true)
		}

		// A peer that misses it detects the poison request by itself.
		return err
	})

	if !unblocked.Load() {
		return
	}

	n.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Msg("request no longer blocked, another entry has had it answered")
	n.informAll(told, func(ctx context.Context, p *peer) error { return p.client.Unblock(ctx, fp) })
}

// informAll informs peers of a block or its end, all at once, and waits for them.
func (n *Node) informAll(peers []membership.Member, call func(context.Context, *peer) error) {
	var wg sync.WaitGroup

	for _, m := range peers {
		wg.Go(func() { n.informPeer(n.workCtx, m.ID, "block", call) })
	}

	wg.Wait()
}
