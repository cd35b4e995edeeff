// Package limit holds plans' limits over all entries. Each plan has a home
// entry, which lends parts of the limits to the entries for a short time. An
// entry that cannot reach the home uses a small static share. The package
// does no I/O and reads no clock.
package limit

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// GrantFor is how long a grant lasts after it was asked for.
const GrantFor = 2 * time.Second

// margin is how much longer the home counts a grant, because its clock may
// run faster than the entry's.
const margin = 100 * time.Millisecond

// Amount is a part of a plan's limits.
type Amount struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrency is in requests at a time.
	Concurrency int
	// Tokens is in generated tokens a second.
	Tokens float64
}

// Of returns the whole limits of a plan. A limit of zero in the plan means
// none, and then the amount here is unused.
func Of(p plan.Plan) Amount {
	const secondsPerMinute = 60

	return Amount{
		Rate:        float64(p.RequestsPerSecond),
		Concurrency: p.Concurrency,
		Tokens:      float64(p.TokensPerMinute) / secondsPerMinute,
	}
}

// Static returns the share that each of n entries may use without a grant.
// All static shares together are a quarter of the limits, so that the sum
// holds even while the entries' views of n differ by a factor of four. They
// are never lent: an entry falls back on its own whenever its grant runs out.
func Static(p plan.Plan, n int) Amount {
	all, parts := Of(p), 4*max(1, n) //nolint:mnd // A quarter.

	return Amount{
		Rate:        all.Rate / float64(parts),
		Concurrency: all.Concurrency / parts,
		Tokens:      all.Tokens / float64(parts),
	}
}

// Ask is an entry's request for a grant.
type Ask struct {
	Entry instance.ID
	Plan  string
	// Want is what the entry could use now.
	Want Amount
	// Running is how many of the plan's requests run on the entry.
	Running int
}

// Grant is the home's answer. It replaces the entry's last grant and its
// static share.
type Grant struct {
	Amount

	// For is how long the grant lasts, counted from when it was asked for.
	// Zero means that the home does not grant yet.
	For time.Duration
}

// Home grants the limits of the plans whose home it is. The zero value has
// granted nothing. It is not safe for concurrent use.
type Home struct {
	plans map[string]map[instance.ID]lent
	// since is when the membership last changed.
	since time.Time
}

// lent is what one entry holds.
type lent struct {
	Amount

	want  Amount
	until time.Time
}

// MembershipChanged records that plans may have got another home. Until the
// grants of the former homes have run out, this home grants nothing: without
// this wait the limits would be lent twice.
func (h *Home) MembershipChanged(now time.Time) { h.since = now }

// Grant answers an ask from one of n entries.
func (h *Home) Grant(p plan.Plan, a Ask, n int, now time.Time) Grant {
	if now.Before(h.since.Add(GrantFor + margin)) {
		return Grant{}
	}

	if h.plans == nil {
		h.plans = make(map[string]map[instance.ID]lent)
	}

	entries := h.plans[p.Name]
	if entries == nil {
		entries = make(map[instance.ID]lent)
		h.plans[p.Name] = entries
	}

	for id, l := range entries {
		if !now.Before(l.until) {
			delete(entries, id)
		}
	}

	delete(entries, a.Entry)

	l := lent{Amount: divide(p, entries, a, n), want: a.Want, until: now.Add(GrantFor + margin)}
	l.Concurrency = max(l.Concurrency, 0)

	counted := l
	counted.Concurrency = max(l.Concurrency, a.Running)
	entries[a.Entry] = counted

	return Grant{Amount: l.Amount, For: GrantFor}
}

// divide returns the entry's part: what it wants if all wants fit, else in
// proportion to the wants, and never more than what is not lent to others or
// reserved for the static shares of entries without a grant.
func divide(p plan.Plan, others map[instance.ID]lent, a Ask, n int) Amount {
	all, static := Of(p), Static(p, n)
	without := max(0, n-1-len(others))

	free := Amount{
		Rate:        all.Rate - float64(without)*static.Rate,
		Concurrency: all.Concurrency - without*static.Concurrency,
		Tokens:      all.Tokens - float64(without)*static.Tokens,
	}
	wants := a.Want

	for _, o := range others {
		free.Rate -= max(o.Rate, static.Rate)
		free.Concurrency -= max(o.Concurrency, static.Concurrency)
		free.Tokens -= max(o.Tokens, static.Tokens)
		wants.Rate += o.want.Rate
		wants.Concurrency += o.want.Concurrency
		wants.Tokens += o.want.Tokens
	}

	fair := Amount{
		Rate:        share(all.Rate, a.Want.Rate, wants.Rate),
		Concurrency: int(share(float64(all.Concurrency), float64(a.Want.Concurrency), float64(wants.Concurrency))),
		Tokens:      share(all.Tokens, a.Want.Tokens, wants.Tokens),
	}

	return Amount{
		Rate:        max(0, min(fair.Rate, free.Rate)),
		Concurrency: max(0, min(max(fair.Concurrency, min(1, a.Want.Concurrency)), free.Concurrency)),
		Tokens:      max(0, min(fair.Tokens, free.Tokens)),
	}
}

// share returns want, or its proportional part of all when the wants exceed
// all.
func share(all, want, wants float64) float64 {
	if wants <= all || wants == 0 {
		return want
	}

	return all * want / wants
}
