package node

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// undecidedPermitWait is how long a target that states a rate limit gets no requests
// from this entry when no owner of the limit has decided.
const undecidedPermitWait = 100 * time.Millisecond

// permit decides whether this entry may send a request to a target now. A target that
// states no rate limit needs no permit; for any other the owners of its limit decide.
// If they refuse, permit returns how long to wait before they are asked again.
func (q *quotas) permit(ctx context.Context, target instance.ID) (time.Duration, bool) {
	o := q.node.rateLimits.Observation(target)
	if !o.Limit.Stated {
		return 0, true
	}

	wait, decided := time.Duration(0), false

	for _, owner := range q.ownersToAsk(quota.GroupOf(string(target))) {
		p, err := q.askPermit(ctx, owner, o)

		switch {
		case err != nil || p.Released || p.Part == 0:
		case p.Granted:
			q.countPermit("granted")

			return 0, true
		default:
			if !decided || p.Wait < wait {
				wait, decided = p.Wait, true
			}
		}
	}

	if !decided {
		q.countPermit("undecided")

		return undecidedPermitWait, false
	}

	q.countPermit("refused")

	return wait, false
}

func (q *quotas) countPermit(result string) {
	q.node.metrics.Tagged(map[string]string{"result": result}).Counter("permits").Inc(1)
}

// askPermit asks an owner for a permit and records what it knows of the limit.
func (q *quotas) askPermit(ctx context.Context, owner quota.Process, o ratelimit.Observation) (news.Permit, error) {
	if owner == q.self() {
		return q.decidePermit(owner.ID, o), nil
	}

	var got news.Permit

	err := q.callOwner(ctx, owner, func(ctx context.Context, c *news.Client) (respondent, error) {
		var err error

		got, err = c.Permit(ctx, q.node.cfg.Self, o)

		return respondent{process: got.Process, released: got.Released}, err
	})
	if err == nil && got.Latest.Target == o.Target {
		q.node.recordRateLimit(got.Latest, "peer")
	}

	return got, err
}

// decidePermit decides on an entry's request as an owner, by the newest limit that
// either of the two knows.
func (q *quotas) decidePermit(entry instance.ID, o ratelimit.Observation) news.Permit {
	q.node.recordRateLimit(o, "peer")

	entries := q.limitSharers()
	latest := q.node.rateLimits.Observation(o.Target)
	out := news.Permit{Process: q.node.process, Released: q.node.stopping.Load(), Latest: latest}

	switch {
	case out.Released:
	case !latest.Limit.Stated:
		out.Decision = quota.Decision{Granted: true, Part: 1}
	default:
		r := quota.PermitRequest{Entry: entry, Target: o.Target, PerSecond: latest.Limit.PerSecond}

		q.mu.Lock()
		defer q.mu.Unlock()

		out.Decision = q.owner.Permit(r, entries, q.uptime())
	}

	return out
}

// retainTargets deletes the state of targets for which limited returns false.
func (q *quotas) retainTargets(limited func(target instance.ID) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.owner.RetainTargets(limited)
}
