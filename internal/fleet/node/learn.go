package node

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// askEvery is the time between two questions to peers while the store does not
// answer: a third of the time in which a leaving target must be known.
const askEvery = 600 * time.Millisecond

// askPeers learns from the peers while the store turns this entry away.
//
// It guards against a store that serves some entries and not others: the
// operators' change is acknowledged and in force at the others, while callers
// here would be routed by the old one, and to targets that left.
func (n *Node) askPeers(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		_ = clock.Sleep(ctx, jitter(askEvery))

		if !n.lostConfig.Load() && !n.lostTargets.Load() {
			continue
		}

		alive := n.peers.alive()
		if len(alive) == 0 {
			continue
		}

		turn++

		if q := n.peers.of(alive[turn%len(alive)].ID); q != nil {
			n.askPeer(ctx, q)
		}
	}
}

func (n *Node) askPeer(ctx context.Context, q *peer) {
	v, err := q.client.View(ctx, n.versions())
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("peer not asked")

		return
	}

	if len(v.Config) > 0 {
		c, err := n.cfg.Source.Decode(v.Config)
		if err != nil {
			n.cfg.Log.Warn().Err(err).Str("peer", string(q.ID)).Msg("configuration of a peer cannot be read")
		} else {
			n.putInForce(c)
		}
	}

	if v.List > 0 {
		n.takeView(v, q)
	}
}

func (n *Node) versions() news.Versions {
	var v news.Versions
	if c := n.config(); c != nil {
		v.Config = c.Version
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	v.List = n.list

	return v
}

// takeView takes in a peer's list of targets, if it is newer.
func (n *Node) takeView(v news.View, q *peer) {
	now := time.Now()
	changes := make([]inventory.Change, len(v.Targets))

	for i, t := range v.Targets {
		changes[i] = inventory.Change{ID: t.ID, Target: t}
	}

	n.mu.Lock()
	newer := v.List > n.list

	if newer {
		n.list, n.usable = v.List, v.List
		n.book.Replace(changes, now)
		n.known = n.book.Targets()
	}
	n.mu.Unlock()

	if !newer {
		return
	}

	n.listed.Store(true)
	n.cfg.Log.Info().Str("peer", string(q.ID)).Uint64("list", v.List).Int("targets", len(v.Targets)).Msg("targets learnt from a peer")
	poke(n.changed)
	n.holder.Wake()
}

// View implements news.Handler.
func (n *Node) View(have news.Versions) news.View {
	var out news.View
	if c := n.config(); c != nil && c.Version > have.Config {
		out.Config = c.Text
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if n.list <= have.List {
		return out
	}

	out.List = n.list
	for _, t := range n.known {
		out.Targets = append(out.Targets, t)
	}

	return out
}
