package node

import (
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// addWork adds to a target what its requests are balanced by. s is the holder's state of
// the target, or nil.
func (b *builder) addWork(info *router.TargetInfo, e *route.Engine, s *holder.EngineState) {
	info.SmallBatch, info.Uncounted = e.SmallBatch(), s == nil

	if b.boundTokens {
		info.TokenLimit = e.CacheTokens
	}

	if s == nil || !info.SmallBatch && !b.boundTokens {
		return
	}

	info.Tokens = s.Tokens

	if info.SmallBatch && s.Speed > 0 {
		info.Speed = s.Speed
	}
}

// updateTokenGauges publishes how many tokens this entry's requests hold on targets.
func (n *Node) updateTokenGauges() {
	total, most := 0, 0

	for _, t := range n.routing.All() {
		tokens := t.Tokens()
		total += tokens
		most = max(most, tokens)
	}

	n.metrics.Gauge("tokens_in_flight").Update(float64(total))
	n.metrics.Gauge("tokens_in_flight_most").Update(float64(most))
}
