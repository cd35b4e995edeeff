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
const askEvery = 600 * time.Millisecond

// askEveryMany is the same where there are many entries, of which few look at
// the store themselves: what one of them finds reaches all within a second.
const askEveryMany = 150 * time.Millisecond

// needsPeers reports whether this entry learns from its peers, and how often it
// asks one.
func (n *Node) needsPeers() (bool, time.Duration) {
	s := n.standing()

	if s.entries > lookers && !s.holding && !s.led {
		return true, askEveryMany
	}

	return n.lostConfig.Load() || n.lostTargets.Load(), askEvery
}

// askPeers learns from the peers while the store turns this entry away, or
// while it leaves to others to look.
//
// It guards against a store that serves some entries and not others: the
// operators' change is acknowledged and in force at the others, while callers
// here would be routed by the old one, and to targets that left.
func (n *Node) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		needs, pause := n.needsPeers()
		_ = clock.Sleep(ctx, jitter(pause))

		if !needs {
			continue
		}

		n.askPeer(ctx, n.peers.draw(), n.versions())
	}
}

// askPeer takes in what the peer, if there is one, has that is newer than what is
// said to be had.
func (n *Node) askPeer(ctx context.Context, q *peer, have news.Versions) {
	if q == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerAnswers)
	defer cancel()

	v, err := q.client.View(ctx, have)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("peer not asked")

		return
	}

	n.takeConfig(v, q)

	if v.List > 0 {
		_ = n.takeView(v, q) // What it could not take in is asked for again.
	}
}

const (
	// peerAnswers bounds a question to a peer whose connection may have gone
	// silent.
	peerAnswers = 600 * time.Millisecond
	// passOnEvery is the time between two questions for a new configuration, and
	// passOnTries how many peers are asked before the holder: a configuration
	// that half of the entries have reaches nearly all within a few.
	passOnEvery = 60 * time.Millisecond
	passOnTries = 16
)

// catchUpConfig learns the configuration that the holder has in force from the
// peers, or from the holder. It reports false when the store must be asked.
//
// It answers the load of many entries: each of them would read the whole
// configuration from the store at each change, and the holder's link does not
// carry it to all of them at once. A few ask the holder, the others those that
// have it.
func (n *Node) catchUpConfig(ctx context.Context) bool {
	tries := passOnTries
	if draw := rand.IntN(n.standing().entries); draw < lookers { //nolint:gosec // No secret.
		tries = 0
	}

	for range tries {
		_ = clock.Sleep(ctx, jitter(passOnEvery)) // The next call looks at ctx.

		n.askPeer(ctx, n.peers.draw(), n.lacksConfig())

		if n.inForce() {
			return true
		}
	}

	n.askPeer(ctx, n.peers.of(n.holder.LastHolder()), n.lacksConfig())

	return n.inForce()
}

// toldPatience is for how long a configuration or a list that the holder has told
// of may be on its way by other means.
const toldPatience = 300 * time.Millisecond

// followConfig learns a configuration that the holder has told of while a call to
// the store hangs.
//
// It guards against a store that is silent for this entry alone: the call that
// waits for changes hangs for seconds, and a key that was withdrawn would open
// the routes here for as long. At all other times watchConfig follows, so that a
// large configuration is fetched once.
func (n *Node) followConfig(ctx context.Context) {
	follow(ctx, n.configTold, func() {
		if n.askingConfig.Load() && !n.inForce() {
			n.catchUpConfig(ctx)
		}
	})
}

// followList learns a list of targets that the holder has told of while a call to
// the store hangs.
//
// It guards against the same silence as followConfig: a target that left would
// get requests from here until the call has failed.
func (n *Node) followList(ctx context.Context) {
	follow(ctx, n.listTold, func() {
		if n.askingTargets.Load() && n.lateList() && !n.askHolder(ctx) {
			n.askPeer(ctx, n.peers.draw(), n.lacksList())
		}
	})
}

// follow calls learn a moment after each word that there is something newer,
// until ctx ends.
func follow(ctx context.Context, told <-chan struct{}, learn func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-told:
		}

		_ = clock.Sleep(ctx, toldPatience) // The loop looks at ctx.

		learn()
	}
}

// lateList reports whether the holder has told of a newer list than is known.
func (n *Node) lateList() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.list < n.news.ListVersion
}

// lacksConfig returns what to tell an entry that is asked for a newer
// configuration only.
func (n *Node) lacksConfig() news.Versions {
	have := n.versions()
	have.List = math.MaxUint64

	return have
}

// lacksList returns what to tell an entry that is asked for a newer list only:
// the configuration's text is larger, and the store's link wider.
func (n *Node) lacksList() news.Versions {
	have := n.versions()
	have.Config = math.MaxUint64

	return have
}

// inForce reports whether the configuration that the holder told of is in force
// here.
func (n *Node) inForce() bool {
	c := n.config()

	n.mu.Lock()
	defer n.mu.Unlock()

	return c != nil && c.Version >= n.news.ConfigVersion
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

// holderAnswers bounds the question for what the holder knows: an answer takes
// a few milliseconds, and the store is asked instead after this.
const holderAnswers = 300 * time.Millisecond

// askHolder learns from the holder how the list of targets has changed, and
// reports whether that could be had.
//
// It answers the load of many entries: while targets are replaced one after the
// other, each of them would look at the store at each change.
func (n *Node) askHolder(ctx context.Context) bool {
	v, q := n.holderView(ctx, n.lacksList())

	return q != nil && (v.List == 0 || n.takeView(v, q))
}

// holderView returns what the holder has that is newer than what is said to be
// had, and the way to it; nil means that it does not answer.
func (n *Node) holderView(ctx context.Context, have news.Versions) (news.View, *peer) {
	q := n.peers.of(n.holder.LastHolder())
	if q == nil {
		return news.View{}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, holderAnswers)
	defer cancel()

	v, err := q.client.View(ctx, have)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("holder not asked")

		return news.View{}, nil
	}

	return v, q
}

// takeConfig puts a peer's configuration in force, if it has a newer one.
func (n *Node) takeConfig(v news.View, q *peer) {
	if len(v.Config) == 0 {
		return
	}

	text, err := frame.Unpack(v.Config)

	var c *route.Config
	if err == nil {
		c, err = n.cfg.Source.Decode(text)
	}

	if err != nil {
		n.cfg.Log.Warn().Err(err).Str("peer", string(q.ID)).Msg("configuration of a peer cannot be read")

		return
	}

	n.putInForce(c)
}
