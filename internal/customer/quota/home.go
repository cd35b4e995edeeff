// Package quota keeps teams' limits over all entries. Every entry has an even
// share of each limit and lends it, for a short time, to homes, each of which
// pools what it was lent and decides request by request. A share is at any
// moment in one place, so that the homes together never give more than the
// limit, whoever dies, restarts, freezes or is cut off; nothing has to be agreed
// on for that. Limits are in groups, each of which has homes of its own.
//
// It answers the load of many entries with few requests each: an entry's even
// share of a second is less than one request. The package does no I/O and reads
// no clock.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// Groups is how many groups of limits there are.
	Groups = 8
	// Parts is in how many parts an entry lends its share of a group, to a home
	// each: while one of them dies, the other has room for what is usual.
	Parts = 2
	// Slots is how many parts of shares an entry has.
	Slots = Groups * Parts
)

// GroupOf returns the group of a team's limit.
func GroupOf(name string) int { return int(xxhash.Sum64String(name) % Groups) }

// SlotOf returns the slot of a part of a group.
func SlotOf(group, part int) int { return group*Parts + part }

// SlotSet is a set of slots, one bit each.
type SlotSet uint16

// With returns the set with a slot added.
func (s SlotSet) With(slot int) SlotSet { return s | 1<<slot }

// Has reports whether a slot is in the set.
func (s SlotSet) Has(slot int) bool { return s&(1<<slot) != 0 }

// Slack is what the operators let pass beyond a limit.
type Slack struct {
	// Overrun is a share of the limit, and Tolerance is in the limit's units.
	Overrun, Tolerance float64
}

// Stamp is a time on a home's own clock: how long its process has run.
type Stamp time.Duration

// Loan is an entry's word that a home may use parts of its share.
type Loan struct {
	Entry instance.ID
	Slots SlotSet
	// Until is on the home's clock, as the entry last heard it, so that a loan
	// that arrives late is void.
	Until Stamp
}

// Answer is what a home says to a request that wants to run.
type Answer struct {
	Granted bool
	// Wait is when the team's limit has room for the request again.
	Wait time.Duration
	// Part is how much of the limit this home decides on, from 0 to 1.
	Part float64
	// Settling says that less has flowed in here than the burst, so that the team
	// may be refused what it has not used.
	Settling bool
}

// Home decides on the limits that entries have lent it. Set Slack before use.
// The zero value was lent nothing. It is not safe for concurrent use.
type Home struct {
	Slack Slack

	loans map[instance.ID]*[Slots]Stamp
	// lent counts the parts that are lent of each group. None of them ends before
	// expiry.
	lent    [Groups]int
	expiry  Stamp
	pools   [Groups]pool
	buckets map[string]*bucket
}

// pool is what was lent of a group.
type pool struct {
	// part is the part of the group's limits that is lent, from 0 to 1.
	part float64
	at   Stamp
	// flow is the sum of part over time, in seconds of a whole limit.
	flow float64
}

// bucket is what a team may use at once. The zero value is empty and fills with
// all that flowed since the pool's beginning.
type bucket struct {
	limit team.Limit
	group int
	// level falls below zero only for a request larger than the burst.
	level float64
	// flow is the pool's when the bucket was last filled.
	flow float64
}

// Lend takes in a loan. entries is how many entries there are, at least.
func (h *Home) Lend(l Loan, entries int, now Stamp) {
	if l.Until <= now {
		return
	}

	h.advance(entries, now)

	if h.loans == nil {
		h.loans = make(map[instance.ID]*[Slots]Stamp)
	}

	until := h.loans[l.Entry]
	if until == nil {
		until = new([Slots]Stamp)
		h.loans[l.Entry] = until
	}

	for slot := range Slots {
		if !l.Slots.Has(slot) {
			continue
		}

		if until[slot] <= now {
			h.lent[slot/Parts]++
		}

		until[slot] = max(until[slot], l.Until)
	}

	h.expiry = min(h.expiry, l.Until)
	h.advance(entries, now)
}

// Held returns the slots of an entry's share that are lent to this home.
func (h *Home) Held(entry instance.ID, now Stamp) SlotSet {
	var out SlotSet

	if until := h.loans[entry]; until != nil {
		for slot, t := range until {
			if t > now {
				out = out.With(slot)
			}
		}
	}

	return out
}

// Release forgets all loans. The entries may lend their shares elsewhere once
// they hear of it.
func (h *Home) Release(now Stamp) {
	h.loans = nil
	h.count(now)
	h.advance(1, now)
}

// count counts the loans that have not ended.
func (h *Home) count(now Stamp) {
	h.lent, h.expiry = [Groups]int{}, math.MaxInt64

	for id, until := range h.loans {
		kept := false

		for slot, t := range until {
			if t > now {
				h.lent[slot/Parts]++
				h.expiry = min(h.expiry, t)

				kept = true
			}
		}

		if !kept {
			delete(h.loans, id)
		}
	}
}

// advance lets the limits flow and ends the loans whose time is up. A pool that
// shrinks takes its part from all that it has filled: the shares that left it
// fill another home's buckets from now on.
func (h *Home) advance(entries int, now Stamp) {
	if now >= h.expiry {
		h.count(now)
	}

	var shrunk [Groups]bool

	for g := range h.pools {
		p := &h.pools[g]
		part := min(1, float64(h.lent[g])/float64(Parts*max(1, entries)))

		if part < p.part {
			shrunk[g] = true
		}

		p.advance(part, now)
	}

	if shrunk == [Groups]bool{} {
		return
	}

	for _, b := range h.buckets {
		if shrunk[b.group] {
			b.fill(&h.pools[b.group])
		}
	}
}

// advance lets the limits flow until now. What was lent less or more at either
// end of the time counts as the lesser.
func (p *pool) advance(part float64, now Stamp) {
	if now > p.at {
		p.flow += min(p.part, part) * time.Duration(now-p.at).Seconds()
		p.at = now
	}

	p.part = part
}

// fill adds what has flowed, up to the part of the burst that is lent.
func (b *bucket) fill(p *pool) {
	b.level = min(b.level+(p.flow-b.flow)*b.limit.PerSecond, p.part*b.limit.Burst)
	b.flow = p.flow
}

// Draw decides whether a request of the team that counts cost may run.
func (h *Home) Draw(name string, limit team.Limit, cost float64, entries int, now Stamp) Answer {
	h.advance(entries, now)

	if !limit.Bounded() {
		return Answer{Granted: true, Part: 1}
	}

	b := h.bucket(name, limit)
	p := &h.pools[b.group]
	need := min(cost, p.part*limit.Burst)
	spare := p.part * (h.Slack.Tolerance + h.Slack.Overrun*limit.Burst)

	switch {
	case p.part == 0:
		return Answer{Wait: unknownWait}
	case b.level-cost < -spare && b.level >= need:
		// Larger than what this home can ever give.
		return Answer{Wait: unknownWait, Part: p.part}
	case b.level < need:
		wait := time.Duration((need - b.level) / (p.part * limit.PerSecond) * float64(time.Second))

		return Answer{Wait: max(wait, leastWait), Part: p.part, Settling: p.flow*limit.PerSecond < p.part*limit.Burst}
	}

	b.level -= cost

	return Answer{Granted: true, Part: p.part}
}

const (
	// unknownWait is when a caller is told to come back where the limit's home
	// has nothing to decide on: loans move within about that time.
	unknownWait = time.Second
	// leastWait keeps a caller from coming back before its answer has left.
	leastWait = 10 * time.Millisecond
)

// Return gives back what a request was counted that did not run.
func (h *Home) Return(name string, limit team.Limit, amount float64, entries int, now Stamp) {
	h.advance(entries, now)

	b := h.bucket(name, limit)
	b.level = min(b.level+amount, h.pools[b.group].part*limit.Burst)
}

// bucket returns a team's bucket, filled under the limit that now holds.
func (h *Home) bucket(name string, limit team.Limit) *bucket {
	if h.buckets == nil {
		h.buckets = make(map[string]*bucket)
	}

	b := h.buckets[name]
	if b == nil {
		b = &bucket{group: GroupOf(name)}
		h.buckets[name] = b
	}

	b.limit = limit
	b.fill(&h.pools[b.group])

	return b
}

// Keep forgets the buckets of teams that are no longer known.
func (h *Home) Keep(known func(name string) bool) {
	for name := range h.buckets {
		if !known(name) {
			delete(h.buckets, name)
		}
	}
}
