package node

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
)

// observeRateLimit records what an answer of a target states about its rate
// limit.
func (n *Node) observeRateLimit(o ratelimit.Observation) {
	if n.rateLimits.Record(o) {
		n.logRateLimit(o, "answer")
	}
}

// logRateLimit logs that the limit known of a target has changed.
func (n *Node) logRateLimit(o ratelimit.Observation, source string) {
	n.cfg.Log.Info().Str("target", string(o.Target)).Bool("limited", o.Limit.Stated).Float64("perSecond", o.Limit.PerSecond).
		Str("source", source).Msg("rate limit of target changed")
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
	}, time.Now())
}
