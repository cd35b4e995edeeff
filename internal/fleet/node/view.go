package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// takeView takes in a peer's list of targets, if it is newer. It reports
// whether this entry's list is as new now.
func (n *Node) applyView(v news.View, from *peer) bool {
	now := time.Now()
	changes := make([]inventory.Change, 0, len(v.Targets)+len(v.Gone))

	for _, t := range v.Targets {
		changes = append(changes, inventory.Change{ID: t.ID, Target: t})
	}

	for _, id := range v.Gone {
		changes = append(changes, inventory.Change{ID: id, Removed: true})
	}

	n.mu.Lock()

	newer := v.List > n.listVersion
	if !newer || v.Base != 0 && v.Base != n.listVersion {
		n.mu.Unlock()

		return !newer
	}

	if v.Listed != nil {
		changes = append(changes, n.unlisted(v)...)
	}

	n.listVersion, n.usableVersion = v.List, v.List
	n.apply(changes, v.Base == 0, now)
	n.mu.Unlock()

	n.listed.Store(true)
	n.cfg.Log.Info().Str("peer", string(from.ID)).Uint64("list", v.List).Uint64("base", v.Base).Int("targets", len(v.Targets)).Msg("targets learnt from a peer")
	signal(n.routingChanged)
	n.holder.Wake()

	return true
}

// apply takes changes of the list into the book, as of the version that was
// noted. The caller holds the lock.
func (n *Node) apply(changes []inventory.Change, whole bool, now time.Time) {
	if whole {
		n.registry.Replace(changes, now)
	} else {
		n.registry.Apply(changes, now)
	}

	n.targetsByID = n.registry.Targets()
	n.removals.record(changes, whole, n.listVersion)
}

// unlisted returns the removals of the targets that are not on a peer's list.
// The caller holds the lock.
func (n *Node) unlisted(v news.View) []inventory.Change {
	listed := make(map[uint64]bool, len(v.Listed))
	for _, hash := range v.Listed {
		listed[hash] = true
	}

	var out []inventory.Change

	for id := range n.targetsByID {
		if !listed[idHash(id)] {
			out = append(out, inventory.Change{ID: id, Removed: true})
		}
	}

	return out
}

// listSum stands for a target's id where a whole list of them is told.
func idHash(id instance.ID) uint64 { return xxhash.Sum64String(string(id)) }

// removals are the targets that went from the list and the versions at which
// they did, so that peers can be told only what is new to them. The zero value
// knows nothing.
type removals struct {
	// base is the version from which on every removal is known.
	base uint64
	removedAt   map[instance.ID]uint64
}

// removalsKept bounds the removals that are kept: twice the 3,300 targets of the
// size to design for.
const maxRemovals = 6600

func (r *removals) record(changed []inventory.Change, whole bool, version uint64) {
	if whole || r.removedAt == nil || len(r.removedAt) > maxRemovals {
		r.base, r.removedAt = version, make(map[instance.ID]uint64)
	}

	for _, c := range changed {
		if c.Removed || c.Err != nil {
			r.removedAt[c.ID] = version
		} else {
			delete(r.removedAt, c.ID)
		}
	}
}

// View implements news.Handler.
func (n *Node) View(have news.Versions) news.View {
	var out news.View

	if c := n.config(); c != nil && c.Version > have.Config {
		data, err := n.packedConfig.of(c.Version, c.Text)
		if err != nil {
			n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("configuration cannot be packed")
		}

		out.Config = data
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if n.listVersion > have.List {
		n.addListChanges(have.List, &out)
	}

	return out
}

// listSince puts into a view what changed on the list since a version; zero
// stands for a peer without a list. The caller holds the lock.
//
// It answers the load of hundreds of entries that start or hear no holder: each
// asks others several times a second, and the whole list of thousands of targets
// takes a link a third of a second.
func (n *Node) addListChanges(version uint64, out *news.View) {
	out.List, out.Base = n.listVersion, version

	withHashes := version != 0 && version < n.removals.base
	if withHashes {
		out.Listed = make([]uint64, 0, len(n.targetsByID))
	}

	for id, t := range n.targetsByID {
		// One that is kept for a while has no entry: its peer must judge itself,
		// or it would keep it for good.
		if n.registry.Missing(id) {
			continue
		}

		if version == 0 || t.Version > version {
			out.Targets = append(out.Targets, t)
		}

		if withHashes {
			out.Listed = append(out.Listed, idHash(id))
		}
	}

	if version != 0 && !withHashes {
		out.Gone = n.removedSince(version)
	}
}

// goneSince returns the targets that went from the list since a version, and
// those that are kept for a while though they did. The caller holds the lock.
func (n *Node) removedSince(version uint64) []instance.ID {
	var out []instance.ID

	for id, at := range n.removals.removedAt {
		if at > version {
			out = append(out, id)
		}
	}

	for id := range n.targetsByID {
		if n.registry.Missing(id) && n.removals.removedAt[id] == 0 {
			out = append(out, id)
		}
	}

	return out
}
