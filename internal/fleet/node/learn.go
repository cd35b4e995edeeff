package node

import (
	"context"
	"math"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
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

	if n.configRead.slow() {
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

		if q := n.peers.random(); q != nil {
			n.fetchConfigPart(ctx, q)
			n.fetchListFromPeer(ctx, q)
		}
	}
}

// fetchListFromPeer fetches and applies the peer's list if it is newer than
// this entry's. It does nothing if the peer is nil.
func (n *Node) fetchListFromPeer(ctx context.Context, q *peer) {
	if q == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	v, err := q.client.View(ctx, n.listOnly())
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("cannot query peer")

		return
	}

	if v.List > 0 {
		_ = n.applyView(v, q) // A view that does not fit is fetched again.
	}
}

// peerTimeout bounds a query to a peer whose connection may have stalled.
const peerTimeout = 600 * time.Millisecond

// announcementDelay is how long a list that the holder has announced may take to arrive by
// other means.
const announcementDelay = 300 * time.Millisecond

// fetchAnnouncedList fetches a list of targets that the holder has announced
// while a call to the store hangs.
//
// It guards against a store that does not answer this entry alone: this entry would
// send requests to a target that left until the call has failed.
func (n *Node) fetchAnnouncedList(ctx context.Context) {
	onAnnouncement(ctx, n.listAnnounced, func() {
		if n.readingTargets.Load() && n.listOutdated() && !n.fetchListFromHolder(ctx) {
			n.fetchListFromPeer(ctx, n.peers.random())
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

// listOnly returns the versions to send in a query for a newer list only: the
// configuration's text is larger, and the store has more bandwidth than an
// entry.
func (n *Node) listOnly() news.Versions {
	have := n.versions()
	have.Config = math.MaxUint64

	return have
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
	q := n.peers.connection(n.holder.LastHolder())
	if q == nil {
		return false
	}

	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()

	v, err := q.client.View(ctx, n.listOnly())
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("cannot query holder")

		return false
	}

	return v.List == 0 || n.applyView(v, q)
}
