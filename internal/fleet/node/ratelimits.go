package node

import (
	"context"
	"strings"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// recordRateLimit records an observation from an answer or a peer. An entry that
// learns that a target has begun or ceased to state a limit informs others.
func (n *Node) recordRateLimit(o ratelimit.Observation, source string) {
	before, changed := n.rateLimits.Record(o)
	if !changed {
		return
	}

	n.cfg.Log.Info().Str("target", string(o.Target)).Bool("limited", o.Limit.Stated).Float64("perSecond", o.Limit.PerSecond).
		Str("source", source).Msg("rate limit of target changed")

	if before.Stated == o.Limit.Stated {
		return
	}

	n.mu.Lock()
	n.unsharedRateLimits = append(n.unsharedRateLimits, o.Target)
	n.mu.Unlock()

	signal(n.statementNews)
	signal(n.quotas.roundSoon)
}

// RateLimits implements news.Handler.
func (n *Node) RateLimits(known []ratelimit.Observation) []ratelimit.Observation {
	for _, o := range known {
		n.recordRateLimit(o, "peer")
	}

	return n.rateLimits.Newer(known)
}

// takeUnsharedRateLimits returns the observations that this entry has not sent to
// others yet.
func (n *Node) takeUnsharedRateLimits() []ratelimit.Observation {
	n.mu.Lock()
	targets := n.unsharedRateLimits
	n.unsharedRateLimits = nil
	n.mu.Unlock()

	return n.rateLimits.Of(targets)
}

// exchangeRateLimits sends observations to a number of random peers and records those
// that they return because they are newer.
func (n *Node) exchangeRateLimits(ctx context.Context, known []ratelimit.Observation, count int) {
	if len(known) == 0 {
		return
	}

	for _, id := range n.peers.sample(count) {
		go n.callPeer(ctx, id, "rate limits", func(ctx context.Context, p *peer) error {
			newer, err := p.client.RateLimits(ctx, known)
			for _, o := range newer {
				n.recordRateLimit(o, "peer")
			}

			return err
		})
	}
}

// placeable reports whether a routing key names a model that can be loaded on a
// target that states no rate limit.
func (n *Node) placeable(key string) bool {
	service, model, _ := strings.Cut(key, "/")
	if model == "" {
		return false
	}

	for id, t := range n.knownTargets() {
		if t.Service == service && !t.Leaving && !n.rateLimits.Limit(id).Stated {
			return true
		}
	}

	return false
}

// dropOldRateLimits deletes the limits of targets that are not listed any more.
func (n *Node) dropOldRateLimits() {
	if n.rateLimits.Empty() {
		return
	}

	targets := n.knownTargets()
	n.rateLimits.Retain(func(id instance.ID) bool {
		_, listed := targets[id]

		return listed
	}, clock.Now())

	n.quotas.retainTargets(func(id instance.ID) bool { return n.rateLimits.Limit(id).Stated })
}

// Permit implements news.Handler.
func (n *Node) Permit(entry instance.ID, o ratelimit.Observation) news.Permit {
	return n.quotas.decidePermit(entry, o)
}
