package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
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

		if q := n.peers.draw(); q != nil {
			n.askPeer(ctx, q, n.versions())
		}
	}
}

// askPeer takes in what the peer has that is newer than what is said to be
// had.
func (n *Node) askPeer(ctx context.Context, q *peer, have news.Versions) {
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

		n.askConfig(ctx, n.peers.draw())

		if n.inForce() {
			return true
		}
	}

	n.askConfig(ctx, n.peers.of(n.holder.Known()))

	return n.inForce()
}

// toldPatience is for how long a configuration that the holder has told of may be
// on its way by other means.
const toldPatience = 300 * time.Millisecond

// followConfig learns a configuration that the holder has told of while a call to
// the store hangs.
//
// It guards against a store that is silent for this entry alone: the call that
// waits for changes hangs for seconds, and a key that was withdrawn would open
// the routes here for as long. At all other times watchConfig follows, so that a
// large configuration is fetched once.
func (n *Node) followConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configTold:
		}

		_ = clock.Sleep(ctx, toldPatience) // The loop looks at ctx.

		if n.askingConfig.Load() && !n.inForce() {
			n.catchUpConfig(ctx)
		}
	}
}

// askConfig asks a peer, if there is one, for a newer configuration.
func (n *Node) askConfig(ctx context.Context, q *peer) {
	if q == nil {
		return
	}

	have := n.versions()
	have.List = math.MaxUint64
	n.askPeer(ctx, q, have)
}

// inForce reports whether the configuration that the holder told of is in force
// here.
func (n *Node) inForce() bool {
	c := n.config()

	n.mu.Lock()
	defer n.mu.Unlock()

	return c != nil && c.Version >= n.news.Config
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
	have := n.versions()
	have.Config = math.MaxUint64 // Its text is larger, and the store's link wider.

	v, q := n.holderView(ctx, have)

	return q != nil && (v.List == 0 || n.takeView(v, q))
}

// holderView returns what the holder has that is newer than what is said to be
// had, and the way to it; nil means that it does not answer.
func (n *Node) holderView(ctx context.Context, have news.Versions) (news.View, *peer) {
	q := n.peers.of(n.holder.Known())
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

	text, err := unpack(v.Config)

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

// takeView takes in a peer's list of targets, if it is newer. It reports
// whether this entry's list is as new now.
func (n *Node) takeView(v news.View, q *peer) bool {
	now := time.Now()
	changes := make([]inventory.Change, 0, len(v.Targets)+len(v.Gone))

	for _, t := range v.Targets {
		changes = append(changes, inventory.Change{ID: t.ID, Target: t})
	}

	for _, id := range v.Gone {
		changes = append(changes, inventory.Change{ID: id, Removed: true})
	}

	n.mu.Lock()

	newer := v.List > n.list
	if !newer || v.Base != 0 && v.Base != n.list {
		n.mu.Unlock()

		return !newer
	}

	if v.Listed != nil {
		changes = append(changes, n.unlisted(v)...)
	}

	n.list, n.usable = v.List, v.List
	n.apply(changes, v.Base == 0, now)
	n.mu.Unlock()

	n.listed.Store(true)
	n.cfg.Log.Info().Str("peer", string(q.ID)).Uint64("list", v.List).Uint64("base", v.Base).Int("targets", len(v.Targets)).Msg("targets learnt from a peer")
	poke(n.changed)
	n.holder.Wake()

	return true
}

// apply takes changes of the list into the book, as of the version that was
// noted. The caller holds the lock.
func (n *Node) apply(changes []inventory.Change, whole bool, now time.Time) {
	if whole {
		n.book.Replace(changes, now)
	} else {
		n.book.Apply(changes, now)
	}

	n.known = n.book.Targets()
	n.removals.note(changes, whole, n.list)
}

// unlisted returns the removals of the targets that are not on a peer's list.
// The caller holds the lock.
func (n *Node) unlisted(v news.View) []inventory.Change {
	listed := make(map[uint64]bool, len(v.Listed))
	for _, sum := range v.Listed {
		listed[sum] = true
	}

	var out []inventory.Change

	for id := range n.known {
		if !listed[listSum(id)] {
			out = append(out, inventory.Change{ID: id, Removed: true})
		}
	}

	return out
}

// listSum stands for a target's id where a whole list of them is told.
func listSum(id instance.ID) uint64 { return xxhash.Sum64String(string(id)) }

// removals are the targets that went from the list and the versions at which
// they did, so that peers can be told only what is new to them. The zero value
// knows nothing.
type removals struct {
	// base is the version from which on every removal is known.
	base uint64
	at   map[instance.ID]uint64
}

// removalsKept bounds the removals that are kept: twice the 3,300 targets of the
// size to design for.
const removalsKept = 6600

func (r *removals) note(changed []inventory.Change, whole bool, version uint64) {
	if whole || r.at == nil || len(r.at) > removalsKept {
		r.base, r.at = version, make(map[instance.ID]uint64)
	}

	for _, c := range changed {
		if c.Removed || c.Err != nil {
			r.at[c.ID] = version
		} else {
			delete(r.at, c.ID)
		}
	}
}

// View implements news.Handler.
func (n *Node) View(have news.Versions) news.View {
	var out news.View

	if c := n.config(); c != nil && c.Version > have.Config {
		data, err := n.packed.of(c.Version, c.Text)
		if err != nil {
			n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("configuration cannot be packed")
		}

		out.Config = data
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if n.list > have.List {
		n.listSince(have.List, &out)
	}

	return out
}

// listSince puts into a view what changed on the list since a version; zero
// stands for a peer without a list. The caller holds the lock.
//
// It answers the load of hundreds of entries that start or hear no holder: each
// asks others several times a second, and the whole list of thousands of targets
// takes a link a third of a second.
func (n *Node) listSince(version uint64, out *news.View) {
	out.List, out.Base = n.list, version

	sums := version != 0 && version < n.removals.base
	if sums {
		out.Listed = make([]uint64, 0, len(n.known))
	}

	for id, t := range n.known {
		// One that is kept for a while has no entry: its peer must judge itself,
		// or it would keep it for good.
		if n.book.Missing(id) {
			continue
		}

		if version == 0 || t.Version > version {
			out.Targets = append(out.Targets, t)
		}

		if sums {
			out.Listed = append(out.Listed, listSum(id))
		}
	}

	if version != 0 && !sums {
		out.Gone = n.goneSince(version)
	}
}

// goneSince returns the targets that went from the list since a version, and
// those that are kept for a while though they did. The caller holds the lock.
func (n *Node) goneSince(version uint64) []instance.ID {
	var out []instance.ID

	for id, at := range n.removals.at {
		if at > version {
			out = append(out, id)
		}
	}

	for id := range n.known {
		if n.book.Missing(id) && n.removals.at[id] == 0 {
			out = append(out, id)
		}
	}

	return out
}
