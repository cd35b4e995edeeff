package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// rateLimitFanOut is the number of peers that an entry informs at once when it
	// learns that a target has begun or ceased to state a limit. Each of them
	// informs others.
	rateLimitFanOut = 4
	// rateLimitInterval is the time between two messages to a random peer while any
	// limit is known. They reach entries that have joined or missed a message, and
	// carry changed values, of at most rateLimitSample targets each.
	rateLimitInterval = 1500 * time.Millisecond
	rateLimitSample   = 64
	// rateLimitSpacing keeps exchanges that follow news apart.
	rateLimitSpacing = 20 * time.Millisecond
)

// observeRateLimit records what an answer of a target states about its rate
// limit.
func (n *Node) observeRateLimit(o ratelimit.Observation) { n.recordRateLimit(o, "answer") }

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

	signal(n.rateLimitNews)
	signal(n.quotas.roundSoon)
}

// RateLimits implements news.Handler.
func (n *Node) RateLimits(known []ratelimit.Observation) []ratelimit.Observation {
	for _, o := range known {
		n.recordRateLimit(o, "peer")
	}

	return n.rateLimits.Newer(known)
}

// shareRateLimits informs peers of limits until ctx ends.
func (n *Node) shareRateLimits(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(jitter(rateLimitInterval))

		select {
		case <-ctx.Done():
		case <-n.rateLimitNews:
			_ = clock.Sleep(ctx, rateLimitSpacing) // The loop checks ctx.
			n.exchangeRateLimits(ctx, n.takeUnsharedRateLimits(), rateLimitFanOut)
		case <-t.C:
			n.exchangeRateLimits(ctx, n.rateLimits.Sample(rateLimitSample), 1)
		}

		t.Stop()
	}
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

// exchangeRateLimits sends observations to a number of random peers.
func (n *Node) exchangeRateLimits(ctx context.Context, known []ratelimit.Observation, count int) {
	if len(known) == 0 {
		return
	}

	alive := n.peers.alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })

	for _, m := range alive[:min(count, len(alive))] {
		go n.exchangeRateLimitsWith(ctx, m.ID, known)
	}
}

// exchangeRateLimitsWith sends observations to a peer and records those that it
// returns because they are newer.
func (n *Node) exchangeRateLimitsWith(ctx context.Context, id instance.ID, known []ratelimit.Observation) {
	p := n.peers.connection(id)
	if p == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	newer, err := p.client.RateLimits(ctx, known)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(id)).Msg("cannot exchange rate limits")

		return
	}

	for _, o := range newer {
		n.recordRateLimit(o, "peer")
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
