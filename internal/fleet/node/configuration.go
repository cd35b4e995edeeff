package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/freshness"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// maxKnowledgeAge is the age of what an entry knows of the configuration from which it
	// no longer says that a route or a key does not exist. A change must be in force 2 s
	// after its acknowledgement.
	maxKnowledgeAge = 1500 * time.Millisecond
	// maxOutdated is how long an entry serves by a configuration of which it knows that a
	// newer one exists.
	maxOutdated = 1600 * time.Millisecond
	// partTimeout bounds a query for a part of a configuration. It leaves time for
	// another part, from another peer, before a change must be in force.
	partTimeout = 900 * time.Millisecond
	// configFetchInterval is the time between two queries that bring nothing, and
	// configFetchTries how many peers are queried before the holder: a configuration that
	// half of the entries have reaches nearly all within a few queries.
	configFetchInterval = 60 * time.Millisecond
	configFetchTries    = 16
	// storeReadDelay is how long an announced configuration may bring no part from
	// others until the store is read for it.
	storeReadDelay = time.Second
)

// activateConfig puts a configuration in force, unless it is not newer than the current
// one: answers arrive out of order, and the version must never decrease within a process.
func (n *Node) activateConfig(c *route.Config) {
	routes := route.NewTable(c)

	n.mu.Lock()

	newer := n.knowledge.Activate(c.Version)
	if newer {
		n.routes.Store(routes)
	}
	n.mu.Unlock()

	if !newer {
		return
	}

	n.cfg.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Int("teams", c.Teams.Len()).Msg("configuration in force")

	for _, err := range c.Teams.CheckBursts() {
		n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("limit below one request")
	}

	signal(n.routingChanged)
	signal(n.quotas.roundSoon)
	n.holder.Announce()
}

// hearConfig applies evidence of the newest configuration. from is the entry that gave it,
// empty for the store.
func (n *Node) hearConfig(e freshness.Evidence, from instance.ID) {
	n.mu.Lock()
	newer := n.knowledge.Hear(e, time.Now())
	outdated := n.knowledge.Outdated()
	n.mu.Unlock()

	if newer {
		n.cfg.Log.Info().Uint64("version", e.Version).Str("from", string(from)).Msg("newer configuration heard of")
	}

	if !outdated {
		return
	}

	signal(n.configAnnounced)

	// A holder that publishes its own snapshot must not ask whether it holds the lease.
	if from != "" && from != n.cfg.Self {
		n.configRead.cancelSlow(n.holder.Holding())
	}
}

// hearPeer applies what a peer knows of the configuration.
func (n *Node) hearPeer(p news.ConfigPart, from instance.ID) {
	n.hearConfig(p.Known, from)

	n.mu.Lock()
	defer n.mu.Unlock()

	// The next read of the store then asks only for later changes.
	if !p.Known.AsOf.IsZero() && p.Known.Version == n.knowledge.InForce() && p.StoreVersion > n.configReadVersion {
		n.configReadVersion, n.storedConfig = p.StoreVersion, p.Known.Version
	}
}

// configKnown reports whether the configuration in force was the newest one not longer
// than maxKnowledgeAge ago.
func (n *Node) configKnown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.knowledge.CurrentSince(time.Now().Add(-maxKnowledgeAge))
}

// configOutdated reports whether a newer configuration than the one in force is known.
func (n *Node) configOutdated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.knowledge.Outdated()
}

// configTooOld reports whether a newer configuration has been known for so long that this
// entry must not serve by the one in force.
func (n *Node) configTooOld() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.knowledge.OutdatedFor(time.Now()) > maxOutdated
}

// fetchAnnouncedConfig fetches each configuration that this entry has heard of and does
// not have.
func (n *Node) fetchAnnouncedConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configAnnounced:
			n.obtainConfig(ctx)
		}
	}
}

// obtainConfig fetches parts of a newer configuration from the holder and from peers until
// this entry has it. If they give none for storeReadDelay, it has the store read.
//
// This limits the load of many entries: otherwise each would read the whole configuration
// from the store at each change, and the holder's link cannot carry it to all of them at
// once. A few ask the holder first, the others the peers that already have it.
func (n *Node) obtainConfig(ctx context.Context) {
	tries := configFetchTries
	if rank := rand.IntN(n.pollState().entries); rank < fullRateEntries { //nolint:gosec // No secret.
		tries = 0
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	progress := make(chan struct{}, 1)
	go n.readStoreWithout(ctx, progress)

	for i := 0; ctx.Err() == nil && n.configOutdated(); i++ {
		q := n.configSource(i, tries)
		for q != nil && n.configOutdated() && n.fetchConfigPart(ctx, q) {
			signal(progress)
		}

		_ = clock.Sleep(ctx, jitter(configFetchInterval)) // The loop checks ctx.
	}
}

// readStoreWithout has the store read whenever there was no progress for storeReadDelay, until
// ctx ends. It waits for no peer: each of those that are silent would take partTimeout.
func (n *Node) readStoreWithout(ctx context.Context, progress <-chan struct{}) {
	t := time.NewTicker(storeReadDelay)
	defer t.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-progress:
			t.Reset(storeReadDelay)
		case <-t.C:
			signal(n.refreshConfig)
		}
	}
}

// configSource returns the peer to query at the i-th query: a random one for the first
// tries, then the holder and a random one by turns.
func (n *Node) configSource(i, tries int) *peer {
	if i >= tries && (i-tries)%2 == 0 {
		return n.peers.connection(n.holder.LastHolder())
	}

	return n.peers.random()
}

// fetchConfigPart fetches the next part of a newer configuration from a peer, and what the
// peer knows. It reports whether a part arrived. With the last one, the configuration is
// put in force.
func (n *Node) fetchConfigPart(ctx context.Context, q *peer) bool {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()

	n.mu.Lock()
	query := n.transfer.query(n.knowledge.InForce())
	n.mu.Unlock()

	p, err := q.client.ConfigPart(ctx, query)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Int("offset", query.Offset).Int("size", query.Size).Msg("no part of a configuration")
		n.mu.Lock()
		n.transfer.fail()
		n.mu.Unlock()

		return false
	}

	n.hearPeer(p, q.ID)

	n.mu.Lock()
	added, complete := n.transfer.add(p)
	data := n.transfer.data
	n.mu.Unlock()

	if complete {
		n.cfg.Log.Info().Uint64("version", p.Version).Str("from", string(q.ID)).Int("bytes", len(data)).Msg("configuration arrived")
		n.applyPeerConfig(data, q)
		// Its evidence counts only once the version is in force.
		n.hearPeer(p, q.ID)
	}

	return added
}

// applyPeerConfig activates a configuration that came from a peer.
func (n *Node) applyPeerConfig(data []byte, from *peer) {
	text, err := frame.Unpack(data)

	var c *route.Config
	if err == nil {
		c, err = n.cfg.Source.Decode(text)
	}

	n.mu.Lock()
	n.transfer = transfer{}
	n.mu.Unlock()

	if err != nil {
		n.cfg.Log.Warn().Err(err).Str("peer", string(from.ID)).Msg("cannot decode configuration of peer")

		return
	}

	n.activateConfig(c)
}

// ConfigPart implements news.Handler.
func (n *Node) ConfigPart(q news.ConfigQuery) news.ConfigPart {
	out := news.ConfigPart{}

	n.mu.Lock()
	out.Known = n.knowledge.Evidence()

	if n.storedConfig == out.Known.Version {
		out.StoreVersion = n.configReadVersion
	}
	n.mu.Unlock()

	text, offset := n.configText(q)
	if offset < 0 || offset >= len(text.data) {
		return out
	}

	size := min(max(q.Size, minPartSize), maxPartSize, len(text.data)-offset)
	out.Version, out.Digest, out.Total, out.Offset = text.version, text.digest, len(text.data), offset
	out.Data = text.data[offset : offset+size]

	return out
}

// configText returns the text to send a part of, and the offset of the part. The text is
// empty if this entry has none for the query.
func (n *Node) configText(q news.ConfigQuery) (packedText, int) {
	c := n.config()
	if c == nil || c.Version <= q.Have {
		return packedText{}, 0
	}

	if t, ok := n.packedConfigs.find(q.Version, q.Digest); ok && q.Offset > 0 {
		return t, q.Offset
	}

	t, err := n.packedConfigs.newest(c)
	if err != nil {
		n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("cannot compress configuration")

		return packedText{}, 0
	}

	return t, 0
}
