package node

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
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

	n.callEach(told, func(c *news.Client) error {
		blocked, err := c.Block(n.workCtx, fp)
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
	n.callEach(told, func(c *news.Client) error { return c.Unblock(n.workCtx, fp) })
}

// callEach calls peers at once and waits for all.
func (n *Node) callEach(to []membership.Member, call func(*news.Client) error) {
	var wg sync.WaitGroup

	for _, m := range to {
		wg.Go(func() {
			q := n.peers.connection(m.ID)
			if q == nil {
				return
			}

			if err := call(q.client); err != nil {
				n.cfg.Log.Debug().Err(err).Str("peer", string(m.ID)).Msg("peer not told of a block")
			}
		})
	}

	wg.Wait()
}
