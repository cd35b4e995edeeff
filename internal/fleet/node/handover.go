package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// cutOffEngines reports whether this entry is cut off from a service with engines.
func (r *reachability) cutOffEngines() bool {
	c := r.node.config()
	if c == nil {
		return false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	for name, s := range r.services {
		if s.CutOff() && c.Services[name].Engine != nil {
			return true
		}
	}

	return false
}

// Reaches implements news.Handler.
func (n *Node) Reaches() bool { return !n.reach.cutOffEngines() }

const (
	// handOverCheck is how often a lease holder checks whether it reaches the engines, and
	// handOverTimeout how long it takes at most to find a successor and hand over.
	handOverCheck   = 300 * time.Millisecond
	handOverTimeout = 2 * time.Second
	// reachesTimeout bounds the question whether a candidate reaches them.
	reachesTimeout = 300 * time.Millisecond
)

// handOverIfCutOff hands the lease over while this entry holds it and reaches no engine: it
// could renew the lease and order nothing.
func (n *Node) handOverIfCutOff(ctx context.Context) {
	for clock.Sleep(ctx, handOverCheck) == nil {
		if !n.holder.Holding() || !n.reach.cutOffEngines() || n.stopping.Load() {
			continue
		}

		if successor, ok := n.reachingPeer(ctx); ok {
			handing, cancel := context.WithTimeout(ctx, handOverTimeout)
			n.holder.HandOver(handing, successor)
			cancel()
		}
	}
}

// reachingPeer returns a peer that reaches the engines, the strongest of those asked.
func (n *Node) reachingPeer(ctx context.Context) (instance.ID, bool) {
	alive := n.peers.alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	slices.SortStableFunc(alive, strongerFirst)

	for _, m := range alive {
		q := n.peers.connection(m.ID)
		if q == nil {
			continue
		}

		asking, cancel := context.WithTimeout(ctx, reachesTimeout)
		reaches, err := q.client.Reaches(asking)

		cancel()

		if err == nil && reaches {
			return m.ID, true
		}
	}

	return "", false
}
