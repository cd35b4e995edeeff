package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
)

const (
	// maxOwners is how many entries own limits: the death of one affects only a
	// part of the teams.
	maxOwners = 3
	// maxFormerOwners is how many of the strongest entries are asked after a
	// start whether the previous process delegated shares to them. They include
	// every former owner, unless more than half of these entries were excluded
	// as owners.
	maxFormerOwners = 8
	// formerOwnersPeriod is how long after a start they are queried.
	formerOwnersPeriod = 2 * time.Second
)

// formerOwners returns the entries that may have been owners before this
// process started, or nil if the list of entries is not complete yet.
func (q *quotas) formerOwners() []instance.ID {
	if !q.node.peers.scanned.Load() {
		return nil
	}

	strong := strongest(q.node.peers.all(), maxFormerOwners)
	out := make([]instance.ID, len(strong))

	for i, m := range strong {
		out[i] = m.ID
	}

	return out
}

// presentMembers returns the members that are alive and, within
// formerOwnersPeriod after a start, when few heartbeats have arrived, also
// those without a heartbeat so far that have answered a query.
func (q *quotas) presentMembers() []membership.Member {
	out := q.node.peers.alive()

	if clock.Now().Sub(q.delegator.Started) > formerOwnersPeriod {
		return out
	}

	seen := make(map[instance.ID]bool, len(out))
	for _, m := range out {
		seen[m.ID] = true
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	for _, m := range q.node.peers.aliveOrNew() {
		if q.answered[m.ID] && !seen[m.ID] {
			out = append(out, m)
		}
	}

	return out
}

// chooseOwners returns the owners of all limits: a few of the strongest entries
// that are alive and answer. The parts of a group have different owners.
func (q *quotas) chooseOwners(alive []membership.Member) quota.Owners {
	now := clock.Now()

	q.mu.Lock()
	alive = slices.DeleteFunc(alive, func(m membership.Member) bool { return q.excluded(m.ID, now) })
	q.mu.Unlock()

	if !q.node.stopping.Load() {
		alive = append(alive, q.node.peers.self())
	}

	return assignOwners(strongest(alive, maxOwners))
}

// excluded reports whether an entry has failed too often to be an owner. The
// caller holds the lock.
func (q *quotas) excluded(id instance.ID, now time.Time) bool {
	return now.Before(q.failures[id].excludedUntil)
}

// strongest returns the n strongest members, in an order that is the same on
// all entries.
func strongest(members []membership.Member, n int) []membership.Member {
	slices.SortFunc(members, func(a, b membership.Member) int {
		// Peers receive each other's strength as a float32 only.
		return cmp.Or(cmp.Compare(float32(b.Strength), float32(a.Strength)), cmp.Compare(instance.Score("limits", b.ID), instance.Score("limits", a.ID)))
	})

	return members[:min(n, len(members))]
}

// assignOwners distributes the limits over the members.
func assignOwners(members []membership.Member) quota.Owners {
	var out quota.Owners

	ids, runs := make([]instance.ID, len(members)), make(map[instance.ID]string)
	for i, m := range members {
		ids[i], runs[m.ID] = m.ID, m.Process
	}

	for g := range quota.Groups {
		ranked := instance.Rank(fmt.Sprint("limits/", g), ids)

		for part := range quota.Parts {
			if len(ranked) > 0 {
				id := ranked[part%len(ranked)]
				out[quota.SlotOf(g, part)] = quota.Process{ID: id, Run: runs[id]}
			}
		}
	}

	return out
}
