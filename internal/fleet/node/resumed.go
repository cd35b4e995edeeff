package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// reloadTime returns how long the fastest load of a model takes at a target that may go on
// with streams of the origin and has the weights in host memory or on disk.
func (n *Node) reloadTime(key string, from origin.Origin) (time.Duration, bool) {
	c := n.config()
	service, name, _ := strings.Cut(key, "/")

	if c == nil || c.Services[service].Engine == nil {
		return 0, false
	}

	// An adapter's key names no model here.
	m, known := c.Services[service].Engine.Models[name]
	if !known {
		return 0, false
	}

	fastest, found := time.Duration(0), false

	for _, t := range n.knownTargets() {
		if t.Service != service || t.Leaving || !from.Allows(t.Software) {
			continue
		}

		switch {
		case slices.Contains(t.InMemory, name):
			return m.FromMemory, true
		case slices.Contains(t.OnDisk, name):
			fastest, found = m.FromDisk, true
		}
	}

	return fastest, found
}

// Resume implements news.Handler.
func (n *Node) Resume(resumed []demand.Resumed) error { return n.holder.Resume(resumed) }

// reportResumed tells the lease holder which models resumed streams wait for, if any.
func (n *Node) reportResumed(ctx context.Context) {
	resumed := n.dispatcher.Resumed()
	if len(resumed) == 0 {
		return
	}

	n.tellHolder(func() error { return n.holder.Resume(resumed) }, func(q *peer) {
		if err := q.client.Resume(ctx, resumed); err != nil && ctx.Err() == nil {
			n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("cannot tell the holder of resumed streams")
		}
	})
}
