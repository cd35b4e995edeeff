package roll

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

// crowd is many entries that greet each other in rounds, without a network.
type crowd struct {
	t     *testing.T
	now   time.Time
	rolls map[instance.ID]*Roll
	// greetings counts the calls, whole those between entries with different
	// lists, and named the members that were told with all that is known of them.
	greetings, whole, named int
}

func newCrowd(t *testing.T, n int) *crowd {
	t.Helper()

	c := &crowd{t: t, now: now, rolls: make(map[instance.ID]*Roll)}
	for i := range n {
		c.start(i, "first")
	}

	return c
}

func (c *crowd) start(i int, process string) {
	id := instance.ID(fmt.Sprintf("e%04d", i))
	r := &Roll{Self: Member{ID: id, Process: string(id) + process, Born: c.now, Address: netip.MustParseAddrPort("127.0.0.1:1")}}
	c.rolls[id] = r

	// Everybody finds one other through the store.
	for _, j := range []int{i - 1, i + 1} {
		if other := c.rolls[instance.ID(fmt.Sprintf("e%04d", j))]; other != nil {
			r.Meet(other.Self, c.now)
		}
	}
}

// greet is what both ends of a greeting do.
func (c *crowd) greet(from *Roll, to Member) {
	r := c.rolls[to.ID]
	if r == nil || r.Self.Process != to.Process {
		return
	}

	c.greetings++

	r.Heard(from.Self, c.now)
	same := r.Take(from.Digest(), c.now)
	from.Heard(r.Self, c.now)

	if !from.Take(r.Digest(), c.now) || !same {
		c.whole++

		for _, m := range r.Named(from.TakePulses(r.Pulses(), c.now)) {
			c.named++

			from.Meet(m, c.now)
		}
	}
}

func (c *crowd) rounds(n int) {
	for range n {
		c.now = c.now.Add(round)

		for _, r := range c.rolls {
			for _, to := range r.Beat(c.now) {
				c.greet(r, to)
			}
		}
	}
}

// all holds that everybody sees the same number of others alive.
func (c *crowd) all(want int) {
	c.t.Helper()

	for id, r := range c.rolls {
		assert.Equal(c.t, len(r.Alive(c.now)), want, "as %s sees it", id)
	}
}

func TestEverybodyIsFound(t *testing.T) {
	for _, n := range []int{2, 8, 90, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCrowd(t, n)
			c.rounds(12)
			c.all(n - 1)
		})
	}
}

// TestCostOfARound: the bytes between data centres were most of what a site of
// 83 entries cost when everybody greeted everybody with the whole list. A calm
// round must cost each entry the same number of greetings however many there
// are, and no whole list.
func TestCostOfARound(t *testing.T) {
	for _, n := range []int{90, 300} {
		c := newCrowd(t, n)
		c.rounds(15)
		c.greetings, c.whole = 0, 0
		c.rounds(10)

		assert.Equal(t, c.greetings, 10*n*fanOut)
		assert.Equal(t, c.whole, 0)
	}
}

// Whenever one of hundreds of entries had started again, the others told each
// other all that they knew of everybody, round after round.
func TestCostOfARestart(t *testing.T) {
	const entries = 90

	c := newCrowd(t, entries)
	c.rounds(15)
	c.named = 0

	c.start(7, "second")
	c.rounds(12)
	c.all(entries - 1)

	// The one learns of everybody, and everybody of the one.
	assert.Assert(t, c.named <= 3*entries, "%d members told", c.named)
}

// TestDeath: a third of the entries lose power at once. The others must stop
// counting on them within the time given, and must not bring them back to each
// other's lists after they were forgotten.
func TestDeath(t *testing.T) {
	c := newCrowd(t, 90)
	c.rounds(12)

	for i := range 30 {
		delete(c.rolls, instance.ID(fmt.Sprintf("e%04d", i)))
	}

	c.rounds(int(deadAfterLarge/round) + 6)
	c.all(59)

	c.rounds(int(2 * forgetAfter / round))

	for id, r := range c.rolls {
		assert.Equal(t, len(r.All()), 59, "on the list of %s", id)
	}
}

// TestRestart: an entry starts again under its name. Everybody must know the
// new process, and the old one's beats must not count for it.
func TestRestart(t *testing.T) {
	c := newCrowd(t, 40)
	c.rounds(12)
	c.start(7, "second")
	c.rounds(12)
	c.all(39)

	for _, r := range c.rolls {
		if m, ok := r.Get("e0007"); ok {
			assert.Equal(t, m.Process, "e0007second")
		}
	}
}

// TestLeaving: an entry says that it is about to end, to those that it greets.
// Nobody may name it as alive afterwards, although it still beats.
func TestLeaving(t *testing.T) {
	c := newCrowd(t, 40)
	c.rounds(12)

	leaver := c.rolls["e0003"]
	leaver.Self.Leaving = true

	c.rounds(8)

	for id, r := range c.rolls {
		if id != "e0003" {
			assert.Equal(t, len(r.Alive(c.now)), 38, "as %s sees it", id)
		}
	}
}

// TestOldRow: after a loss of power an entry hears an instance's new process
// first, and then reads the row, or a peer's list, that still names the former
// one. It must not take the new one for gone: it would not tell it any news for
// half a minute.
func TestOldRow(t *testing.T) {
	former := Member{ID: "b", Process: "b1", Born: time.Unix(100, 0)}
	present := Member{ID: "b", Process: "b2", Born: time.Unix(200, 0)}
	// The time of day was set back between the two starts.
	setBack := Member{ID: "b", Process: "b3", Born: time.Unix(50, 0)}

	for name, tc := range map[string]struct {
		play func(r *Roll)
		want string
	}{
		"heard, then an old row":         {func(r *Roll) { r.Heard(present, now); r.Meet(former, now) }, "b2"},
		"old row, then a newer one":      {func(r *Roll) { r.Meet(former, now); r.Meet(present, now) }, "b2"},
		"new row, then an old one":       {func(r *Roll) { r.Meet(present, now); r.Meet(former, now) }, "b2"},
		"row without a time":             {func(r *Roll) { r.Heard(present, now); r.Meet(Member{ID: "b", Process: "b0"}, now) }, "b2"},
		"heard with an earlier time":     {func(r *Roll) { r.Meet(present, now); r.Heard(setBack, now) }, "b3"},
		"taken for gone, and then heard": {func(r *Roll) { r.Meet(former, now); r.Meet(present, now); r.Heard(former, now) }, "b1"},
	} {
		r := &Roll{Self: Member{ID: "a", Process: "a1"}}
		tc.play(r)

		m, _ := r.Get("b")
		assert.Equal(t, m.Process, tc.want, name)
	}
}

// TestStrengthIsLearnt: a member was first named by somebody who did not know
// how strong it is. If that stayed so, every instance would think itself the
// strongest, and all would reach for the lease at once.
func TestStrengthIsLearnt(t *testing.T) {
	r := &Roll{Self: Member{ID: "a", Process: "a1"}}
	r.Meet(Member{ID: "b", Process: "b1"}, time.Unix(1, 0))
	r.Heard(Member{ID: "b", Process: "b1", Strength: 0.8}, time.Unix(2, 0))

	m, _ := r.Get("b")
	assert.Equal(t, m.Strength, 0.8)
}

func TestOthersBeatsOfAnotherListSayNothing(t *testing.T) {
	a := &Roll{Self: Member{ID: "a", Process: "a1"}}
	a.Meet(Member{ID: "b", Process: "b1"}, time.Unix(1, 0))

	other := &Roll{Self: Member{ID: "c", Process: "c1"}}
	other.Meet(Member{ID: "b", Process: "b2", Beat: 7}, time.Unix(1, 0))

	assert.Assert(t, !a.Take(other.Digest(), time.Unix(2, 0)))
	assert.Equal(t, len(a.Alive(time.Unix(2, 0))), 0)
}
