package node

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// applyView applies a peer's list of targets if it is newer. It reports whether
// this entry's list is now at least as new as the peer's.
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

	known := n.listVersion

	newer := v.List > known
	if !newer || v.Base != 0 && v.Base != known {
		n.mu.Unlock()

		if v.List < known {
			n.cfg.Log.Info().Stringer("list", v.List).Stringer("known", known).Str("peer", string(from.ID)).Msg("list refused as old")
		}

		return !newer
	}

	if v.Listed != nil {
		changes = append(changes, n.unlisted(v)...)
	}

	n.usableVersion = v.List
	n.apply(changes, v.Base == 0, v.List, now)
	n.mu.Unlock()

	n.listApplied.Store(true)
	n.cfg.Log.Info().Str("peer", string(from.ID)).Stringer("list", v.List).Stringer("base", v.Base).Int("targets", len(v.Targets)).Msg("targets learnt from a peer")
	n.logChanges(changes, v.List, string(from.ID), time.Time{})
	signal(n.routingChanged)
	n.holder.Wake()

	return true
}

// apply applies changes that lead to a version of the list. Changes to a list of an earlier era
// are all its rows and the removals of the others. The caller holds the lock.
func (n *Node) apply(changes []inventory.Change, whole bool, version revision.Number, now time.Time) {
	before := n.listVersion
	n.listVersion = version

	switch {
	case version.Era() > before.Era() && n.listApplied.Load():
		n.registry.Return(changes, version, now)
	case whole:
		n.registry.Replace(changes, now)
	default:
		n.registry.Apply(changes, now)
	}

	n.updateTargets()
	n.removals.record(changes, whole, version)
}

// unlisted returns removals for the targets that are missing from a peer's
// list, also for those that are off this one's while their rows are doubted. The caller holds
// the lock.
func (n *Node) unlisted(v news.View) []inventory.Change {
	listed := make(map[uint64]bool, len(v.Listed))
	for _, hash := range v.Listed {
		listed[hash] = true
	}

	var out []inventory.Change

	for _, id := range slices.AppendSeq(n.registry.Doubted(), maps.Keys(n.targetsByID)) {
		if !listed[idHash(id)] {
			out = append(out, inventory.Change{ID: id, Removed: true})
		}
	}

	return out
}

// idHash returns the hash that stands for a target's id in View.Listed, which
// contains all listed targets.
func idHash(id instance.ID) uint64 { return xxhash.Sum64String(string(id)) }

// removals records which targets were removed from the list at which versions,
// so that peers can be sent only what changed. The zero value has no records.
type removals struct {
	// base is the version after which all removals are recorded.
	base      revision.Number
	removedAt map[instance.ID]revision.Number
}

// maxRemovals is the number of recorded removals above which they are
// discarded: twice the 3,300 targets of the largest planned site.
const maxRemovals = 6600

func (r *removals) record(changed []inventory.Change, whole bool, version revision.Number) {
	if whole || r.removedAt == nil || len(r.removedAt) > maxRemovals {
		r.base, r.removedAt = version, make(map[instance.ID]revision.Number)
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
		t, err := n.packedConfigs.newest(c)
		if err != nil {
			n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("cannot compress configuration")
		}

		out.Config = t.data
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if n.listVersion > have.List {
		n.addListChanges(have.List, &out)
	}

	return out
}

// addListChanges adds to a view what changed on the list since a version; zero
// means that the peer has no list. The caller holds the lock.
//
// Sending only changes limits the load when hundreds of entries start or
// receive nothing from a holder: each polls others several times a second, and
// the whole list of thousands of targets occupies a link for a third of a
// second.
func (n *Node) addListChanges(version revision.Number, out *news.View) {
	out.List, out.Base = n.listVersion, version

	withHashes := version != 0 && version < n.removals.base
	if withHashes {
		out.Listed = make([]uint64, 0, len(n.targetsByID))
	}

	for id, t := range n.targetsByID {
		// A target that is retained for a while has no row in the list. The
		// peer must decide by itself whether to retain it, or it would keep the
		// target forever.
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

	if withHashes {
		// Others may have seen a row written that is still doubted here.
		for _, id := range n.registry.Doubted() {
			out.Listed = append(out.Listed, idHash(id))
		}
	}

	if version != 0 && !withHashes {
		out.Gone = n.removedSince(version)
	}
}

// removedSince returns the targets that were removed from the list since a
// version, including those that this entry still retains for a while. The
// caller holds the lock.
func (n *Node) removedSince(version revision.Number) []instance.ID {
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
