package node

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// usageInterval is the shortest time between two reports on teams that exceed their
// limits.
const usageInterval = 2 * time.Second

// usageReports reports, as an owner, what teams got of their limits while requests of
// theirs were refused. The zero value has reported nothing.
type usageReports struct{ last time.Time }

// due reports whether a report is due, and if so, begins the next interval. The first one
// begins with the first call.
func (r *usageReports) due(now time.Time) bool {
	if r.last.IsZero() {
		r.last = now
	}

	if now.Sub(r.last) < usageInterval {
		return false
	}

	r.last = now

	return true
}

// reportUsage logs and counts the usage of the limits of which this owner refused
// requests. Of the sums over all entries, limit_granted divided by limit_entitled is the
// fraction of a limit that its team got while requests were refused.
func (q *quotas) reportUsage() {
	if !q.usage.due(clock.Now()) {
		return
	}

	entries := q.limitSharers()

	q.mu.Lock()
	usage := q.owner.TakeUsage(entries, q.uptime())
	q.mu.Unlock()

	for _, u := range usage {
		q.reportTeam(u)
	}
}

func (q *quotas) reportTeam(u quota.Usage) {
	entitled := u.Entitled()

	metrics := q.node.metrics.Tagged(map[string]string{"team": u.Team})
	metrics.Counter("limit_granted").Inc(int64(u.Granted))
	metrics.Counter("limit_refused").Inc(int64(u.Refused))
	metrics.Counter("limit_entitled").Inc(int64(entitled))

	q.node.cfg.Log.Info().Str("team", u.Team).Float64("perSecond", u.Limit.PerSecond).Float64("burst", u.Limit.Burst).
		Float64("share", u.Share).Float64("delegated", u.Delegated).Float64("granted", u.Granted).Float64("refused", u.Refused).
		Float64("fractionGranted", u.Granted/entitled).Dur("period", u.Period).Msg("requests refused by team's limit")
}
