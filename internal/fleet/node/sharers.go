package node

import (
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
)

// aliveEntries returns the number of alive entries, this one included, or the
// configured assumption if no peer is alive.
func (n *Node) aliveEntries() int {
	if alive := len(n.peers.alive()) + 1; alive > 1 {
		return alive
	}

	return n.cfg.AssumedEntries
}

// worstCaseEntries is the number of entries assumed, until the entries' rows have been
// read, to share limits, the retry budget and reads of the store. The largest planned
// site has 91, and after a power loss all of its entries start at once. The retries that
// the budget credits in proportion to requests do not depend on it.
const worstCaseEntries = 100

// retrySharers returns how many entries may share the retry budget. It counts
// all listed entries, also those that have sent no heartbeat yet or have
// stopped sending them, so that the shares together never exceed the budget.
func (n *Node) retrySharers() int {
	listed := n.peers.listed() + 1
	if !n.peers.scanned.Load() || listed == 1 {
		return max(listed, worstCaseEntries)
	}

	return max(listed, n.cfg.AssumedEntries)
}

// candidates returns the members as candidates for the lease.
func candidates(members []membership.Member) []holder.Candidate {
	out := make([]holder.Candidate, len(members))

	for i, m := range members {
		out[i] = holder.Candidate{ID: m.ID, Strength: m.Strength}
	}

	return out
}
