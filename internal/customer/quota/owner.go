// Package quota enforces teams' limits and targets' rate limits over all entries
// together. Every entry has an even share of each limit and delegates parts of it,
// for a short time, to limit owners. An owner pools what was delegated to it and
// decides request by request. At any moment each part of a share is used in one
// place only, so the owners together never grant more than the limit, even when
// entries crash, restart, freeze or are partitioned, and no agreement protocol is
// needed. Limits are divided into groups, each with its own owners.
//
// Pooling is needed where many entries get few requests each: an entry's even
// share of one second is then less than one request. The package does no I/O and
// reads no clock.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// Groups is the number of groups of limits.
	Groups = 8
	// Parts is the number of parts into which an entry divides its share of a
	// group. Each part goes to a different owner, so that while one owner is down
	// the other still has room for the usual load.
	Parts = 2
	// Slots is the number of parts that an entry's shares of all groups have
	// together.
	Slots = Groups * Parts
)

// GroupOf returns the group of the limit of the named team or target.
func GroupOf(name string) int { return int(xxhash.Sum64String(name) % Groups) }

// SlotOf returns the slot of a part of a group.
func SlotOf(group, part int) int { return group*Parts + part }

// SlotSet is a set of slots, one bit each.
type SlotSet uint16

// With returns the set with the slot added.
func (s SlotSet) With(slot int) SlotSet { return s | 1<<slot }

// Has reports whether the slot is in the set.
func (s SlotSet) Has(slot int) bool { return s&(1<<slot) != 0 }

// Slack is how far the operators allow a limit to be exceeded.
type Slack struct {
	// Overrun is a fraction of the limit's burst; Tolerance is in the limit's units.
	Overrun, Tolerance float64
}

// Uptime is how long an owner's process has been running, by its own clock.
type Uptime time.Duration

// Delegation allows an owner to use parts of an entry's share until a given time.
type Delegation struct {
	Entry instance.ID
	Slots SlotSet
	// Until is on the owner's clock and is computed from the last reading that the
	// entry received, so that a delegation that arrives late has already expired.
	Until Uptime
}

// Decision says whether a request may run.
type Decision struct {
	Granted bool
	// Wait is how long it takes until the team's limit has room for the request.
	Wait time.Duration
	// Part is the fraction of the limit that this owner decides on, from 0 to 1.
	Part float64
	// Filling says of a refusal that the team has not requested more than its limit
	// allows, by all requests that this owner knows of. It is then refused capacity that
	// it has not used: part of the limit is delegated to nobody, or has been so recently.
	Filling bool
}

// Owner decides on the limits that entries have delegated to it. Set Slack before
// use. The zero value has no delegations. It is not safe for concurrent use.
type Owner struct {
	Slack Slack

	delegations map[instance.ID]*[Slots]Uptime
	// delegated counts the delegated parts of each group. expiry is a time before
	// which none of them expires; from then on, the next call that advances the pools
	// counts them again.
	delegated [Groups]int
	expiry    Uptime
	pools     [Groups]pool
	buckets   map[string]*bucket
	// permits are the buckets of targets' rate limits.
	permits map[instance.ID]*permitBucket
}

// pool is what entries have delegated of a group's limits.
type pool struct {
	// fraction is the delegated fraction of the group's limits, from 0 to 1.
	fraction float64
	// at is the time up to which accrued is computed.
	at Uptime
	// accrued is the integral of fraction over time, in seconds: a whole limit adds 1
	// in each second.
	accrued float64
	// made and teamAccrued are the same for teams' limits, where missing shares are
	// made up for.
	made, teamAccrued float64
}

// tokens are the tokens of a bucket. The first fill of the zero value adds all that has
// accrued in the pool.
type tokens struct {
	level float64
	// accrued is the pool's value at the last fill.
	accrued float64
}

// fill adds what has accrued at a rate, up to the capacity. accrued is the pool's value.
func (t *tokens) fill(accrued, perSecond, capacity float64) {
	t.level = min(t.level+(accrued-t.accrued)*perSecond, capacity)
	t.accrued = accrued
}

// bucket is a team's token bucket. Its level falls below zero only after a request
// larger than the delegated part of the burst.
type bucket struct {
	tokens

	limit  team.Limit
	group  int
	demand demand
	usage  usage
}

// Accept accepts a delegation. entries is the number of entries that share the
// limits: each delegated part counts as 1/(entries*Parts) of them, so if entries were
// too low, the owners together could grant more than a limit. An entry passes the
// number of listed entries, itself included; before its first scan of the list it
// passes a number larger than the number of entries of the largest site.
func (o *Owner) Accept(d Delegation, entries int, now Uptime) {
	if d.Until <= now {
		return
	}

	o.advance(entries, now)

	if o.delegations == nil {
		o.delegations = make(map[instance.ID]*[Slots]Uptime)
	}

	until := o.delegations[d.Entry]
	if until == nil {
		until = new([Slots]Uptime)
		o.delegations[d.Entry] = until
	}

	for slot := range Slots {
		if !d.Slots.Has(slot) {
			continue
		}

		if until[slot] <= now {
			o.delegated[slot/Parts]++
		}

		until[slot] = max(until[slot], d.Until)
	}

	o.expiry = min(o.expiry, d.Until)
	o.advance(entries, now)
}

// Delegated returns the slots of an entry's share that are delegated to this owner.
func (o *Owner) Delegated(entry instance.ID, now Uptime) SlotSet {
	var out SlotSet

	if until := o.delegations[entry]; until != nil {
		for slot, t := range until {
			if t > now {
				out = out.With(slot)
			}
		}
	}

	return out
}

// Release drops all delegations. The entries may delegate their shares to others
// once they have been notified.
func (o *Owner) Release(now Uptime) {
	o.delegations = nil
	o.recount(now)
	o.advance(1, now)
}

// recount counts the delegations that have not expired and deletes the others.
func (o *Owner) recount(now Uptime) {
	o.delegated, o.expiry = [Groups]int{}, math.MaxInt64

	for id, until := range o.delegations {
		unexpired := false

		for slot, t := range until {
			if t > now {
				o.delegated[slot/Parts]++
				o.expiry = min(o.expiry, t)

				unexpired = true
			}
		}

		if !unexpired {
			delete(o.delegations, id)
		}
	}
}

// advance accrues the limits up to now and drops expired delegations. A pool that
// shrinks reduces all its buckets at once, because the shares that left it now
// fill another owner's buckets.
func (o *Owner) advance(entries int, now Uptime) {
	if now >= o.expiry {
		o.recount(now)
	}

	var shrunk [Groups]bool

	// Entries that have just joined delegate before they are listed here.
	sharers := max(1, entries, len(o.delegations))

	for g := range o.pools {
		p := &o.pools[g]
		fraction := min(1, float64(o.delegated[g])/float64(Parts*sharers))

		if fraction < p.fraction {
			shrunk[g] = true
		}

		p.advance(fraction, o.Slack.madeUp(fraction), now)
	}

	if shrunk == [Groups]bool{} {
		return
	}

	for _, b := range o.buckets {
		if shrunk[b.group] {
			b.fill(&o.pools[b.group])
		}
	}
}

// advance accrues the limits up to now. If the delegated fraction changed during the
// interval, the smaller of the two values counts for all of it.
func (p *pool) advance(fraction, made float64, now Uptime) {
	if now > p.at {
		elapsed := time.Duration(now - p.at).Seconds()
		p.accrued += min(p.fraction, fraction) * elapsed
		p.teamAccrued += min(p.made, made) * elapsed
		p.at = now
	}

	p.fraction, p.made = fraction, made
}

// fill adds what has accrued, up to the delegated part of the burst.
func (b *bucket) fill(p *pool) {
	b.tokens.fill(p.teamAccrued, b.limit.PerSecond, p.fraction*b.limit.Burst)
}

// Consume decides whether a request of the named team with the given cost may run.
func (o *Owner) Consume(name string, limit team.Limit, cost float64, entries int, now Uptime) Decision {
	o.advance(entries, now)

	if !limit.Bounded() {
		return Decision{Granted: true, Part: 1}
	}

	b := o.bucket(name, limit)
	p := &o.pools[b.group]
	need := min(cost, p.fraction*limit.Burst)

	b.demand.add(limit, cost, now)
	spare := p.fraction * (o.Slack.Tolerance + o.Slack.Overrun*limit.Burst)

	switch {
	case p.fraction == 0:
		return Decision{Wait: unknownWait}
	case b.level-cost < -spare && b.level >= need:
		// The request is larger than this owner can ever grant.
		return Decision{Wait: unknownWait, Part: p.fraction}
	case b.level < need:
		wait := time.Duration((need - b.level) / (p.made * limit.PerSecond) * float64(time.Second))
		exceeds := b.demand.exceeds(limit)
		b.usage.refuse(cost, exceeds)

		return Decision{Wait: max(wait, minWait), Part: p.fraction, Filling: !exceeds}
	}

	b.level -= cost
	b.usage.granted += cost

	return Decision{Granted: true, Part: p.fraction}
}

const (
	// unknownWait is the time after which a client may retry when the wait cannot be
	// computed: the owner has no delegation, and delegations move to another owner in
	// about that time; or the request is larger than the owner can ever grant.
	unknownWait = time.Second
	// minWait is the shortest wait given for a bucket without enough units; with a
	// shorter one, a client's retry could arrive while the refusal is still being sent.
	minWait = 10 * time.Millisecond
)

// Refund credits the cost of a request that was granted but did not run.
func (o *Owner) Refund(name string, limit team.Limit, amount float64, entries int, now Uptime) {
	o.advance(entries, now)

	b := o.bucket(name, limit)
	b.level = min(b.level+amount, o.pools[b.group].fraction*limit.Burst)
}

// bucket returns a team's bucket, filled under the limit now in force.
func (o *Owner) bucket(name string, limit team.Limit) *bucket {
	if o.buckets == nil {
		o.buckets = make(map[string]*bucket)
	}

	b := o.buckets[name]
	if b == nil {
		group := GroupOf(name)
		b = &bucket{group: group, usage: o.pools[group].newUsage()}
		o.buckets[name] = b
	}

	b.limit = limit
	b.fill(&o.pools[b.group])

	return b
}

// Retain deletes the buckets of the teams for which known returns false.
func (o *Owner) Retain(known func(name string) bool) {
	for name := range o.buckets {
		if !known(name) {
			delete(o.buckets, name)
		}
	}
}
