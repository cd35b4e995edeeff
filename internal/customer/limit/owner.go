// Package limit enforces plans' limits over all entries together. Each plan has a
// limit owner, an entry that grants parts of the limits to the entries for a short
// time. An entry that cannot reach the owner uses a small static share. Owner and
// Share do no I/O and read no clock; Shares reads the clock and waits for grants.
package limit

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// GrantTTL is how long a grant lasts after it was requested.
const GrantTTL = 2 * time.Second

// clockMargin is how much longer the owner counts a grant than the entry uses it,
// because the owner's clock may run faster than the entry's.
const clockMargin = 100 * time.Millisecond

// Amount is a part of a plan's limits.
type Amount struct {
	// Rate is in requests per second.
	Rate float64
	// Concurrency is the number of concurrent requests.
	Concurrency int
	// Tokens is in generated tokens per second.
	Tokens float64
}

// Whole returns the whole limits of a plan. A limit of zero in the plan means
// unlimited; the amount here is then unused.
func Whole(p plan.Plan) Amount {
	const secondsPerMinute = 60

	return Amount{
		Rate:        float64(p.RequestsPerSecond),
		Concurrency: p.Concurrency,
		Tokens:      float64(p.TokensPerMinute) / secondsPerMinute,
	}
}

// Static returns the share that each of n entries may use without a grant. All
// static shares together are a quarter of the limits, so that the limits hold
// even while the entries' values of n differ by a factor of four. Static shares
// are never granted to other entries: an entry falls back on its own whenever
// its grant expires.
func Static(p plan.Plan, n int) Amount {
	all, parts := Whole(p), 4*max(1, n) //nolint:mnd // A quarter.

	return Amount{
		Rate:        all.Rate / float64(parts),
		Concurrency: all.Concurrency / parts,
		Tokens:      all.Tokens / float64(parts),
	}
}

// Request is an entry's request for a grant.
type Request struct {
	Entry instance.ID
	Plan  string
	// Demand is what the entry could use now.
	Demand Amount
	// Running is how many of the plan's requests run on the entry.
	Running int
}

// Grant is the owner's answer. It replaces the entry's previous grant and its
// static share.
type Grant struct {
	Amount

	// TTL is how long the grant lasts, counted from when it was requested. Zero
	// means that the owner does not grant yet.
	TTL time.Duration
}

// Owner grants the limits of the plans that this entry owns. The zero value has
// granted nothing. It is not safe for concurrent use.
type Owner struct {
	plans map[string]map[instance.ID]grantRecord
	// changedAt is when the membership last changed.
	changedAt time.Time
}

// grantRecord is what one entry demanded and what counts as granted to it: its
// grant, with Concurrency raised to the number of its running requests if that is
// larger.
type grantRecord struct {
	Amount

	demand Amount
	until  time.Time
}

// MembershipChanged records that the owners of plans may have changed. This owner
// grants nothing until the grants of the previous owners have expired; otherwise
// the limits could be granted twice.
func (o *Owner) MembershipChanged(now time.Time) { o.changedAt = now }

// Grant answers a request from one of n entries.
func (o *Owner) Grant(p plan.Plan, r Request, n int, now time.Time) Grant {
	if now.Before(o.changedAt.Add(GrantTTL + clockMargin)) {
		return Grant{}
	}

	if o.plans == nil {
		o.plans = make(map[string]map[instance.ID]grantRecord)
	}

	entries := o.plans[p.Name]
	if entries == nil {
		entries = make(map[instance.ID]grantRecord)
		o.plans[p.Name] = entries
	}

	for id, g := range entries {
		if !now.Before(g.until) {
			delete(entries, id)
		}
	}

	delete(entries, r.Entry)

	g := grantRecord{Amount: divide(p, entries, r, n), demand: r.Demand, until: now.Add(GrantTTL + clockMargin)}
	g.Concurrency = max(g.Concurrency, 0)

	counted := g
	counted.Concurrency = max(g.Concurrency, r.Running)
	entries[r.Entry] = counted

	return Grant{Amount: g.Amount, TTL: GrantTTL}
}

// divide returns the entry's part: its demand if all demands fit, otherwise a
// part in proportion to its demand. An entry that demands concurrency gets at
// least one request if one is free. The part is at most what is left of the limits
// after subtracting, for each other entry, the larger of what counts as granted to
// it and its static share.
func divide(p plan.Plan, others map[instance.ID]grantRecord, r Request, n int) Amount {
	all, static := Whole(p), Static(p, n)
	without := max(0, n-1-len(others))

	free := Amount{
		Rate:        all.Rate - float64(without)*static.Rate,
		Concurrency: all.Concurrency - without*static.Concurrency,
		Tokens:      all.Tokens - float64(without)*static.Tokens,
	}
	total := r.Demand

	for _, g := range others {
		free.Rate -= max(g.Rate, static.Rate)
		free.Concurrency -= max(g.Concurrency, static.Concurrency)
		free.Tokens -= max(g.Tokens, static.Tokens)
		total.Rate += g.demand.Rate
		total.Concurrency += g.demand.Concurrency
		total.Tokens += g.demand.Tokens
	}

	fair := Amount{
		Rate:        share(all.Rate, r.Demand.Rate, total.Rate),
		Concurrency: int(share(float64(all.Concurrency), float64(r.Demand.Concurrency), float64(total.Concurrency))),
		Tokens:      share(all.Tokens, r.Demand.Tokens, total.Tokens),
	}

	return Amount{
		Rate:        max(0, min(fair.Rate, free.Rate)),
		Concurrency: max(0, min(max(fair.Concurrency, min(1, r.Demand.Concurrency)), free.Concurrency)),
		Tokens:      max(0, min(fair.Tokens, free.Tokens)),
	}
}

// share returns demand, or its proportional part of all if total, the sum of all
// demands, exceeds all.
func share(all, demand, total float64) float64 {
	if total <= all || total == 0 {
		return demand
	}

	return all * demand / total
}
