package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
)

// Usage is what an owner granted and refused of a team's limit during a period.
type Usage struct {
	Team  string
	Limit team.Limit
	// Granted and Refused are in the limit's units. A request that is retried is refused
	// each time.
	Granted, Refused float64
	// Delegated is the mean fraction of the limit that was delegated to this owner, and
	// Share the fraction that would be if all entries had delegated.
	Delegated, Share float64
	Period           time.Duration
}

// Entitled is what the owner's share of the limit adds in the period.
func (u Usage) Entitled() float64 { return u.Share * u.Limit.PerSecond * u.Period.Seconds() }

// usage counts what was granted and refused of a bucket since a time.
type usage struct {
	granted, refused float64
	// exceeded says that a request was refused because the team exceeded its limit.
	exceeded bool
	since    Uptime
	// accrued is the pool's value at that time.
	accrued float64
}

// newUsage returns an empty usage that begins at the time of the pool.
func (p *pool) newUsage() usage { return usage{since: p.at, accrued: p.accrued} }

func (u *usage) refuse(cost float64, exceeded bool) {
	u.refused += cost
	u.exceeded = u.exceeded || exceeded
}

// fullyDelegated is the fraction of an owner's share below which its refusals are
// reported whatever a team requests.
const fullyDelegated = 0.95

// TakeUsage returns the usage of the teams that this owner refused requests since the
// last call, and begins a new period for all teams. It leaves out teams within their
// limits, unless part of the limit was not delegated: the other owners grant what this
// one refuses them.
func (o *Owner) TakeUsage(entries int, now Uptime) []Usage {
	o.advance(entries, now)

	var out []Usage

	for name, b := range o.buckets {
		p := &o.pools[b.group]
		period := time.Duration(now - b.usage.since)

		if b.usage.refused > 0 && period > 0 {
			u := Usage{
				Team: name, Limit: b.limit, Granted: b.usage.granted, Refused: b.usage.refused,
				Delegated: (p.accrued - b.usage.accrued) / period.Seconds(), Share: wholeShare(p.fraction), Period: period,
			}
			if b.usage.exceeded || u.Delegated < fullyDelegated*u.Share {
				out = append(out, u)
			}
		}

		b.usage = p.newUsage()
	}

	return out
}
