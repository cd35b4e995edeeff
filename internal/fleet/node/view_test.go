package node

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/roll"
)

// listing returns an entry that follows no store by itself.
func nodeWithoutStore(id instance.ID) *Node {
	return New(Config{Self: id, Entries: 1, Log: zerolog.Nop()})
}

func (n *Node) leaving() map[instance.ID]bool {
	out := make(map[instance.ID]bool)
	for id, t := range n.knownTargets() {
		out[id] = t.Leaving
	}

	return out
}

// TestViewsAgree: entries learn from a peer how the list of targets changed
// since what they know, and now and then read the store themselves. However
// often they ask, they must have what the peer has: a target that left and is
// still known gets requests for as long as that lasts.
func TestViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := nodeWithoutStore("a"), nodeWithoutStore("b")
		q := &peer{Member: roll.Member{ID: "a"}}

		var log []inventory.Change

		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := instance.ID(fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "target")))
			c := inventory.Change{ID: id, Target: inventory.Target{ID: id, Leaving: rapid.Bool().Draw(t, "leaving")}}

			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				c = inventory.Change{ID: id, Removed: true}
			case 1:
				c = inventory.Change{ID: id, Err: fmt.Errorf("a row of another writer")}
			}

			log = append(log, c)
			version := uint64(len(log))
			log[version-1].Target.Version = version

			if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
				first.applyTargets(currentRows(log), true, version)
			} else {
				first.applyTargets(log[first.listVersion:], first.listVersion == 0, version)
			}

			switch rapid.IntRange(0, 4).Draw(t, "look") {
			case 0:
				// The store tells all changes since what was known.
				second.applyTargets(log[second.listVersion:], second.listVersion == 0, version)
			case 1, 2:
				assert.Assert(t, second.applyView(first.View(second.versions()), q))
			default:
				continue
			}

			assert.DeepEqual(t, second.leaving(), first.leaving())
		}
	})
}

// latest returns what a whole reading of the list gives after these changes.
func currentRows(log []inventory.Change) []inventory.Change {
	rows := make(map[instance.ID]inventory.Change)
	for _, c := range log {
		if rows[c.ID] = c; c.Removed {
			delete(rows, c.ID)
		}
	}

	return slices.Collect(maps.Values(rows))
}

// An entry that was behind by one change got the whole list from each peer that
// had not seen the changes before.
func TestViewOfChanges(t *testing.T) {
	const targets = 100

	first, second, third := nodeWithoutStore("a"), nodeWithoutStore("b"), nodeWithoutStore("c")

	var rows []inventory.Change

	for i := range targets {
		id := instance.ID(fmt.Sprint("t", i))
		rows = append(rows, inventory.Change{ID: id, Target: inventory.Target{ID: id, Version: uint64(i + 1)}})
	}

	second.applyTargets(rows, true, targets)
	third.applyTargets(rows, true, targets)

	rows[7].Target.Version, rows[7].Target.Leaving = targets+1, true
	first.applyTargets(rows[:targets-1], true, targets+2)

	v := first.View(second.versions())
	assert.Equal(t, len(v.Targets), 1)
	assert.Equal(t, len(v.Listed), targets-1)
	assert.Assert(t, second.applyView(v, &peer{}))
	assert.DeepEqual(t, second.leaving(), first.leaving())

	// The last target goes.
	first.applyTargets(nil, true, targets+3)
	assert.Assert(t, third.applyView(first.View(third.versions()), &peer{}))
	assert.Equal(t, len(third.knownTargets()), 0)
}

// TestViewOfAKeptTarget: the store was away, and an entry keeps for a moment a
// target whose row has lapsed. A peer that asks meanwhile must not take it for
// one that is listed, or it keeps it for as long as the list does not change.
func TestViewOfAKeptTarget(t *testing.T) {
	first, second := nodeWithoutStore("a"), nodeWithoutStore("b")
	both := []inventory.Change{{ID: "t1", Target: inventory.Target{ID: "t1"}}, {ID: "t2", Target: inventory.Target{ID: "t2"}}}

	first.applyTargets(both, true, 1)
	second.applyTargets(both, true, 1)

	first.registry.Failed(time.Now().Add(-2 * time.Second))
	first.applyTargets([]inventory.Change{{ID: "t2", Removed: true}}, false, 2)
	assert.Equal(t, len(first.knownTargets()), 2, "the target is not kept")

	v := first.View(second.versions())
	assert.Equal(t, v.Base, uint64(1))
	assert.DeepEqual(t, v.Gone, []instance.ID{"t2"})
	assert.Assert(t, second.applyView(v, &peer{}))
	assert.DeepEqual(t, slices.Collect(maps.Keys(second.knownTargets())), []instance.ID{"t1"})

	// One that knows nothing gets the whole, without it.
	assert.Equal(t, len(first.View(nodeWithoutStore("c").versions()).Targets), 1)
}
