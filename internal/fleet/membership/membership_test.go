package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const round = 1500 * time.Millisecond

var now = time.Unix(1000, 0)

// gossipGroup is a number of entries that gossip in rounds, without a network.
type gossipGroup struct {
	t     *testing.T
	now   time.Time
	lists map[instance.ID]*List
	// exchanges counts all exchanges. differing counts the exchanges between entries
	// whose lists differ. sent counts the members that were sent in full.
	exchanges, differing, sent int
}

func newGroup(t *testing.T, n int) *gossipGroup {
	t.Helper()

	c := &gossipGroup{t: t, now: now, lists: make(map[instance.ID]*List)}
	for i := range n {
		c.start(i, "first")
	}

	return c
}

func (c *gossipGroup) start(i int, process string) {
	id := instance.ID(fmt.Sprintf("e%04d", i))
	l := &List{Self: Member{ID: id, Process: string(id) + process, Started: c.now, Address: netip.MustParseAddrPort("127.0.0.1:1")}}
	c.lists[id] = l

	// Each entry finds a neighbour through the store.
	for _, j := range []int{i - 1, i + 1} {
		if other := c.lists[instance.ID(fmt.Sprintf("e%04d", j))]; other != nil {
			l.Add(other.Self, c.now)
		}
	}
}

// exchange plays both ends of an exchange.
func (c *gossipGroup) exchange(from *List, to Member) {
	l := c.lists[to.ID]
	if l == nil || l.Self.Process != to.Process {
		return
	}

	c.exchanges++

	l.RecordContact(from.Self, c.now)
	same := l.ApplyDigest(from.Digest(), c.now)
	from.RecordContact(l.Self, c.now)

	if !from.ApplyDigest(l.Digest(), c.now) || !same {
		c.differing++

		for _, m := range l.ByHash(from.ApplyHeartbeats(l.Heartbeats(), c.now)) {
			c.sent++

			from.Add(m, c.now)
		}
	}
}

func (c *gossipGroup) rounds(n int) {
	for range n {
		c.now = c.now.Add(round)

		for _, l := range c.lists {
			for _, to := range l.BeginRound(c.now) {
				c.exchange(l, to)
			}
		}
	}
}

// assertAlive asserts that every entry lists the same number of others as alive.
func (c *gossipGroup) assertAlive(want int) {
	c.t.Helper()

	for id, l := range c.lists {
		assert.Equal(c.t, len(l.Alive(c.now)), want, "on the list of %s", id)
	}
}

func TestMembersFound(t *testing.T) {
	for _, n := range []int{2, 8, 90, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newGroup(t, n)
			c.rounds(12)
			c.assertAlive(n - 1)
		})
	}
}

// TestCostOfRound guards against rounds whose cost grows with the membership: if all
// entries sent their whole lists to all others, the bytes between data centres would
// be most of the cost of a site of 83 entries. In the steady state a round must cost
// each entry the same number of exchanges whatever the membership, and no whole list
// may be sent.
func TestCostOfRound(t *testing.T) {
	for _, n := range []int{90, 300} {
		c := newGroup(t, n)
		c.rounds(15)
		c.exchanges, c.differing = 0, 0
		c.rounds(10)

		assert.Equal(t, c.exchanges, 10*n*fanOut)
		assert.Equal(t, c.differing, 0)
	}
}

// TestCostOfRestart guards against entries that send each other all members, round
// after round, whenever one of hundreds has restarted.
func TestCostOfRestart(t *testing.T) {
	const entries = 90

	c := newGroup(t, entries)
	c.rounds(15)
	c.sent = 0

	c.start(7, "second")
	c.rounds(12)
	c.assertAlive(entries - 1)

	// The restarted entry receives all members, and the others receive that one.
	assert.Assert(t, c.sent <= 3*entries, "%d members sent in full", c.sent)
}

// TestDeath covers a third of the entries losing power at once. The others must stop
// listing them as alive within deadAfterLarge, and must not bring them back to each
// other's lists after their removal.
func TestDeath(t *testing.T) {
	c := newGroup(t, 90)
	c.rounds(12)

	for i := range 30 {
		delete(c.lists, instance.ID(fmt.Sprintf("e%04d", i)))
	}

	c.rounds(int(deadAfterLarge/round) + 6)
	c.assertAlive(59)

	c.rounds(int(2 * retention / round))

	for id, l := range c.lists {
		assert.Equal(t, len(l.All()), 59, "on the list of %s", id)
	}
}

// TestRestart covers an entry that restarts under the same id. All others must list
// the new process, and the old one's heartbeats must not count for it.
func TestRestart(t *testing.T) {
	c := newGroup(t, 40)
	c.rounds(12)
	c.start(7, "second")
	c.rounds(12)
	c.assertAlive(39)

	for _, l := range c.lists {
		if m, ok := l.Get("e0007"); ok {
			assert.Equal(t, m.Process, "e0007second")
		}
	}
}

// TestLeaving covers an entry that announces its shutdown to the members it contacts.
// No entry may list it as alive afterwards, although its heartbeat still grows.
func TestLeaving(t *testing.T) {
	c := newGroup(t, 40)
	c.rounds(12)

	leaver := c.lists["e0003"]
	leaver.Self.Leaving = true

	c.rounds(8)

	for id, l := range c.lists {
		if id != "e0003" {
			assert.Equal(t, len(l.Alive(c.now)), 38, "on the list of %s", id)
		}
	}
}

// TestOldRow guards against an outdated row or list that replaces a member's new
// process. After a loss of power an entry is in contact with an instance's new
// process, and then reads a row or a peer's list that still names the former one. If
// that one replaced the new process, the entry would send the new process no updates
// for half a minute.
func TestOldRow(t *testing.T) {
	former := Member{ID: "b", Process: "b1", Started: time.Unix(100, 0)}
	present := Member{ID: "b", Process: "b2", Started: time.Unix(200, 0)}
	// The time of day was set back between the two starts.
	setBack := Member{ID: "b", Process: "b3", Started: time.Unix(50, 0)}

	for name, tc := range map[string]struct {
		play func(l *List)
		want string
	}{
		"contact, then an old row":     {func(l *List) { l.RecordContact(present, now); l.Add(former, now) }, "b2"},
		"old row, then a newer one":    {func(l *List) { l.Add(former, now); l.Add(present, now) }, "b2"},
		"new row, then an old one":     {func(l *List) { l.Add(present, now); l.Add(former, now) }, "b2"},
		"row without a time":           {func(l *List) { l.RecordContact(present, now); l.Add(Member{ID: "b", Process: "b0"}, now) }, "b2"},
		"contact with an earlier time": {func(l *List) { l.Add(present, now); l.RecordContact(setBack, now) }, "b3"},
		"tombstone, then contact":      {func(l *List) { l.Add(former, now); l.Add(present, now); l.RecordContact(former, now) }, "b1"},
	} {
		l := &List{Self: Member{ID: "a", Process: "a1"}}
		tc.play(l)

		m, _ := l.Get("b")
		assert.Equal(t, m.Process, tc.want, name)
	}
}

// TestStrengthFilledIn guards against a member whose strength stays unknown because
// the entry that first named it did not have the value. Every instance would
// then rank as the strongest on its own list, and all would try to acquire the lease
// at once.
func TestStrengthFilledIn(t *testing.T) {
	l := &List{Self: Member{ID: "a", Process: "a1"}}
	l.Add(Member{ID: "b", Process: "b1"}, time.Unix(1, 0))
	l.RecordContact(Member{ID: "b", Process: "b1", Strength: 0.8}, time.Unix(2, 0))

	m, _ := l.Get("b")
	assert.Equal(t, m.Strength, 0.8)
}

// TestDigestOfOtherList guards against the heartbeats of a list with other members being
// applied to this one.
func TestDigestOfOtherList(t *testing.T) {
	a := &List{Self: Member{ID: "a", Process: "a1"}}
	a.Add(Member{ID: "b", Process: "b1"}, time.Unix(1, 0))

	other := &List{Self: Member{ID: "c", Process: "c1"}}
	other.Add(Member{ID: "b", Process: "b2", Heartbeat: 7}, time.Unix(1, 0))

	assert.Assert(t, !a.ApplyDigest(other.Digest(), time.Unix(2, 0)))
	assert.Equal(t, len(a.Alive(time.Unix(2, 0))), 0)
}
