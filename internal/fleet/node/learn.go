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

// askEvery is the time between two questions to peers while the store does not
// answer: a third of the time in which a leaving target must be known.
const peerPollInterval = 600 * time.Millisecond

// askEveryMany is the same where there are many entries, of which few look at
// the store themselves: what one of them finds reaches all within a second.
const peerPollIntervalMany = 150 * time.Millisecond

// needsPeers reports whether this entry learns from its peers, and how often it
// asks one.
func (n *Node) pollsPeers() (bool, time.Duration) {
	s := n.pollState()

	if s.entries > fullRateEntries && !s.holding && !s.led {
		return true, peerPollIntervalMany
	}

	return n.configReadsFail.Load() || n.targetReadsFail.Load(), peerPollInterval
}

// askPeers learns from the peers while the store turns this entry away, or
// while it leaves to others to look.
//
// It guards against a store that serves some entries and not others: the
// operators' change is acknowledged and in force at the others, while callers
// here would be routed by the old one, and to targets that left.
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

// askPeer takes in what the peer, if there is one, has that is newer than what is
// said to be had.
func (n *Node) fetchFromPeer(ctx context.Context, q *peer, have news.Versions) {
	if q == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	v, err := q.client.View(ctx, have)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("peer not asked")

		return
	}

	n.applyPeerConfig(v, q)

	if v.List > 0 {
		_ = n.applyView(v, q) // What it could not take in is asked for again.
	}
}

const (
	// peerAnswers bounds a question to a peer whose connection may have gone
	// silent.
	peerTimeout = 600 * time.Millisecond
	// passOnEvery is the time between two questions for a new configuration, and
	// passOnTries how many peers are asked before the holder: a configuration
	// that half of the entries have reaches nearly all within a few.
	configFetchInterval = 60 * time.Millisecond
	configFetchTries = 16
)

// catchUpConfig learns the configuration that the holder has in force from the
// peers, or from the holder. It reports false when the store must be asked.
//
// It answers the load of many entries: each of them would read the whole
// configuration from the store at each change, and the holder's link does not
// carry it to all of them at once. A few ask the holder, the others those that
// have it.
func (n *Node) fetchConfig(ctx context.Context) bool {
	tries := configFetchTries
	if rank := rand.IntN(n.pollState().entries); rank < fullRateEntries { //nolint:gosec // No secret.
		tries = 0
	}

	for range tries {
		_ = clock.Sleep(ctx, jitter(configFetchInterval)) // The next call looks at ctx.

		n.fetchFromPeer(ctx, n.peers.random(), n.configOnly())

		if n.configCurrent() {
			return true
		}
	}

	n.fetchFromPeer(ctx, n.peers.connection(n.holder.Known()), n.configOnly())

	return n.configCurrent()
}

// toldPatience is for how long a configuration or a list that the holder has told
// of may be on its way by other means.
const announcementDelay = 300 * time.Millisecond

// followConfig learns a configuration that the holder has told of while a call to
// the store hangs.
//
// It guards against a store that is silent for this entry alone: the call that
// waits for changes hangs for seconds, and a key that was withdrawn would open
// the routes here for as long. At all other times watchConfig follows, so that a
// large configuration is fetched once.
func (n *Node) fetchAnnouncedConfig(ctx context.Context) {
	onAnnouncement(ctx, n.configAnnounced, func() {
		if n.readingConfig.Load() && !n.configCurrent() {
			n.fetchConfig(ctx)
		}
	})
}

// followList learns a list of targets that the holder has told of while a call to
// the store hangs.
//
// It guards against the same silence as followConfig: a target that left would
// get requests from here until the call has failed.
func (n *Node) fetchAnnouncedList(ctx context.Context) {
	onAnnouncement(ctx, n.listAnnounced, func() {
		if n.readingTargets.Load() && n.listOutdated() && !n.fetchListFromHolder(ctx) {
			n.fetchFromPeer(ctx, n.peers.random(), n.listOnly())
		}
	})
}

// follow calls learn a moment after each word that there is something newer,
// until ctx ends.
func onAnnouncement(ctx context.Context, announced <-chan struct{}, fetch func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-announced:
		}

		_ = clock.Sleep(ctx, announcementDelay) // The loop looks at ctx.

		fetch()
	}
}

// lateList reports whether the holder has told of a newer list than is known.
func (n *Node) listOutdated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.listVersion < n.holderState.List
}

// lacksConfig returns what to tell an entry that is asked for a newer
// configuration only.
func (n *Node) configOnly() news.Versions {
	have := n.versions()
	have.List = math.MaxUint64

	return have
}

// lacksList returns what to tell an entry that is asked for a newer list only:
// the configuration's text is larger, and the store's link wider.
func (n *Node) listOnly() news.Versions {
	have := n.versions()
	have.Config = math.MaxUint64

	return have
}

// inForce reports whether the configuration that the holder told of is in force
// here.
func (n *Node) configCurrent() bool {
	c := n.config()

	n.mu.Lock()
	defer n.mu.Unlock()

	return c != nil && c.Version >= n.holderState.Config
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

// holderAnswers bounds the question for what the holder knows: an answer takes
// a few milliseconds, and the store is asked instead after this.
const holderTimeout = 300 * time.Millisecond

// askHolder learns from the holder how the list of targets has changed, and
// reports whether that could be had.
//
// It answers the load of many entries: while targets are replaced one after the
// other, each of them would look at the store at each change.
func (n *Node) fetchListFromHolder(ctx context.Context) bool {
	v, q := n.fetchFromHolder(ctx, n.listOnly())

	return q != nil && (v.List == 0 || n.applyView(v, q))
}

// holderView returns what the holder has that is newer than what is said to be
// had, and the way to it; nil means that it does not answer.
func (n *Node) fetchFromHolder(ctx context.Context, have news.Versions) (news.View, *peer) {
	q := n.peers.connection(n.holder.Known())
	if q == nil {
		return news.View{}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()

	v, err := q.client.View(ctx, have)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("holder not asked")

		return news.View{}, nil
	}

	return v, q
}

// takeConfig puts a peer's configuration in force, if it has a newer one.
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
		n.cfg.Log.Warn().Err(err).Str("peer", string(from.ID)).Msg("configuration of a peer cannot be read")

		return
	}

	n.activateConfig(c)
}
