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
