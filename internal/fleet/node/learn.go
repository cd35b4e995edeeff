package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// peerPollInterval is the time between two queries to peers while the store
// does not answer: a third of the time within which a leaving target must be
// noticed.
const peerPollInterval = 600 * time.Millisecond

// peerPollIntervalMany is the same for many entries, of which few read the
// store: a change that one of them reads reaches all within a second.
const peerPollIntervalMany = 150 * time.Millisecond

// pollsPeers reports whether this entry polls its peers for changes, and how
// often.
func (n *Node) pollsPeers() (bool, time.Duration) {
	state := n.pollState()

	if state.entries > fullRateEntries && !state.holding && !state.led {
		return true, peerPollIntervalMany
	}

	return n.configReadsFail.Load() || n.targetReadsFail.Load(), peerPollInterval
}

// pollPeers fetches changes from the peers while the store does not answer this
// entry, or while other entries read the store on behalf of all.
//
// It guards against a store that serves only some entries: a change would be
// acknowledged to the operators and in force at the other entries, while this
// one would still route by the old configuration and to targets that left.
func (n *Node) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		needs, pause := n.pollsPeers()
		_ = clock.Sleep(ctx, jitter(pause))

		if !needs {
			continue
		}

		n.fetchFromPeer(ctx, n.peers.random(), n.versions())
	}
}

// fetchFromPeer fetches and applies what the peer has that is newer than the
// given versions. It does nothing if the peer is nil.
func (n *Node) fetchFromPeer(ctx context.Context, q *peer, have news.Versions) {
	if q == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	v, err := q.client.View(ctx, have)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("cannot query peer")

		return
	}

	n.applyPeerConfig(v, q)

	if v.List > 0 {
		_ = n.applyView(v, q) // A view that does not fit is fetched again.
	}
}

const (
	// peerTimeout bounds a query to a peer whose connection may have stalled.
	peerTimeout = 600 * time.Millisecond
	// configFetchInterval is the time between two queries for a new
	// configuration, and configFetchTries how many peers are queried before the
	// holder: a configuration that half of the entries have reaches nearly all
	// within a few queries.
	configFetchInterval = 60 * time.Millisecond
	configFetchTries    = 16
)

// fetchConfig fetches the configuration that the holder has in force, from
// peers or from the holder. It reports false when the store must be read
// instead.
//
// This limits the load of many entries: otherwise each would read the whole
// configuration from the store at each change, and the holder's link cannot
// carry it to all of them at once. A few ask the holder, the others the peers
// that already have it.
func (n *Node) fetchConfig(ctx context.Context) bool {
	tries := configFetchTries
	if rank := rand.IntN(n.pollState().entries); rank < fullRateEntries { //nolint:gosec // No secret.
		tries = 0
	}

	for range tries {
		_ = clock.Sleep(ctx, jitter(configFetchInterval)) // The next call checks ctx.

		n.fetchFromPeer(ctx, n.peers.random(), n.configOnly())

		if n.configCurrent() {
			return true
		}
	}

	n.fetchFromPeer(ctx, n.peers.connection(n.holder.LastHolder()), n.configOnly())

	return n.configCurrent()
}

// announcementDelay is how long a configuration or list that the holder has
// announced may take to arrive by other means.
const announcementDelay = 300 * time.Millisecond

// fetchAnnouncedConfig fetches a configuration that the holder has announced
// while a call to the store hangs.
//
// It guards against a store that does not answer this entry alone: the call
// that waits for changes hangs for seconds, and a withdrawn key would stay
// valid here for as long. At all other times watchConfig fetches the
// configuration, so that a large one is transferred once.
func (n *Node) fetchAnnouncedConfig(ctx context.Context) {
	onAnnouncement(ctx, n.configAnnounced, func() {
		if n.readingConfig.Load() && !n.configCurrent() {
			n.fetchConfig(ctx)
		}
	})
}

// fetchAnnouncedList fetches a list of targets that the holder has announced
// while a call to the store hangs.
//
// It guards against the same fault as fetchAnnouncedConfig: this entry would
// send requests to a target that left until the call has failed.
func (n *Node) fetchAnnouncedList(ctx context.Context) {
	onAnnouncement(ctx, n.listAnnounced, func() {
		if n.readingTargets.Load() && n.listOutdated() && !n.fetchListFromHolder(ctx) {
			n.fetchFromPeer(ctx, n.peers.random(), n.listOnly())
		}
	})
}

// onAnnouncement calls fetch announcementDelay after each announcement until
// ctx ends.
func onAnnouncement(ctx context.Context, announced <-chan struct{}, fetch func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-announced:
		}

		_ = clock.Sleep(ctx, announcementDelay) // The loop checks ctx.

		fetch()
	}
}

// listOutdated reports whether the holder has announced a newer list than this
// entry has.
func (n *Node) listOutdated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.listVersion < n.holderState.ListVersion
}

// configOnly returns the versions to send in a query for a newer configuration
// only.
func (n *Node) configOnly() news.Versions {
	have := n.versions()
	have.List = math.MaxUint64

	return have
}

// listOnly returns the versions to send in a query for a newer list only: the
// configuration's text is larger, and the store has more bandwidth than an
// entry.
func (n *Node) listOnly() news.Versions {
	have := n.versions()
	have.Config = math.MaxUint64

	return have
}

// configCurrent reports whether this entry's configuration is at least as new
// as the one that the holder announced.
func (n *Node) configCurrent() bool {
	c := n.config()

	n.mu.Lock()
	defer n.mu.Unlock()

	return c != nil && c.Version >= n.holderState.ConfigVersion
}

func (n *Node) versions() news.Versions {
	var v news.Versions
	if c := n.config(); c != nil {
		v.Config = c.Version
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	v.List = n.listVersion

	return v
}

// holderTimeout bounds a query to the holder: an answer takes a few
// milliseconds, and the store is read instead after this.
const holderTimeout = 300 * time.Millisecond

// fetchListFromHolder fetches changes of the list of targets from the holder
// and applies them. It reports whether the list is now as new as the holder's.
//
// This limits the load of many entries: while targets are replaced one after
// the other, each entry would otherwise read the store at each change.
func (n *Node) fetchListFromHolder(ctx context.Context) bool {
	v, q := n.fetchFromHolder(ctx, n.listOnly())

	return q != nil && (v.List == 0 || n.applyView(v, q))
}

// fetchFromHolder returns what the holder has that is newer than the given
// versions, and the connection to it, which is nil if the holder does not
// answer.
func (n *Node) fetchFromHolder(ctx context.Context, have news.Versions) (news.View, *peer) {
	q := n.peers.connection(n.holder.LastHolder())
	if q == nil {
		return news.View{}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()

	v, err := q.client.View(ctx, have)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("cannot query holder")

		return news.View{}, nil
	}

	return v, q
}

// applyPeerConfig activates a peer's configuration, if the view contains one.
func (n *Node) applyPeerConfig(v news.View, from *peer) {
	if len(v.Config) == 0 {
		return
	}

	text, err := frame.Unpack(v.Config)

	var c *route.Config
	if err == nil {
		c, err = n.cfg.Source.Decode(text)
	}

	if err != nil {
		n.cfg.Log.Warn().Err(err).Str("peer", string(from.ID)).Msg("cannot decode configuration of peer")

		return
	}

	n.activateConfig(c)
}
