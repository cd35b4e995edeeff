package node

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// updateGauges publishes this entry's state as metrics.
func (n *Node) updateGauges() {
	n.metrics.Gauge("running").Update(float64(n.relay.Running()))
	n.updateTokenGauges()
	n.metrics.Gauge("peers").Update(float64(len(n.peers.alive())))
	n.metrics.Gauge("targets").Update(float64(len(n.knownTargets())))
	n.metrics.Gauge("departed_targets").Update(float64(n.departures.Len()))
	n.metrics.Gauge("limited_targets").Update(float64(n.rateLimits.Limited()))

	if n.relay.Memory != nil {
		held, limit := n.relay.Memory.Held()
		n.metrics.Gauge("client_memory_bytes").Update(float64(held))
		n.metrics.Gauge("client_memory_limit_bytes").Update(float64(limit))
	}

	holds := 0.0
	if n.holder.Holding() {
		holds = 1
	}

	n.metrics.Gauge("holds_lease").Update(holds)
	n.metrics.Gauge("services_cut_off").Update(float64(n.reach.countCutOff()))

	if c := n.config(); c != nil {
		n.metrics.Gauge("config_version").Update(float64(c.Version))
	}

	n.updateConfigGauges()

	if n.cfg.Dropped != nil {
		n.metrics.Gauge("log_lines_dropped").Update(float64(n.cfg.Dropped()))
	}
}

// updateConfigGauges publishes what this entry knows of the configuration.
func (n *Node) updateConfigGauges() {
	n.mu.Lock()
	newest, known := n.knowledge.Newest(), n.knowledge.Evidence()
	n.mu.Unlock()

	n.metrics.Gauge("config_version_heard").Update(float64(newest))

	if !known.AsOf.IsZero() {
		n.metrics.Gauge("config_age_seconds").Update(time.Since(known.AsOf).Seconds())
	}
}

const sweepInterval = 500 * time.Millisecond

// sweep periodically closes expired connections to targets, updates the gauges
// and the share of the retry budget, and removes expired targets.
func (n *Node) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) == nil {
		n.pool.CloseExpired(time.Now())
		n.updateGauges()
		n.budgets.SetEntries(n.retrySharers())
		n.dropOldStatements()

		n.mu.Lock()

		expired := n.registry.Expire(time.Now())
		if expired {
			n.updateTargets()
			// Targets expire without a change of the list.
			n.removals = removals{base: n.listVersion + 1}
		}
		n.mu.Unlock()

		if expired {
			signal(n.routingChanged)
		}
	}
}
