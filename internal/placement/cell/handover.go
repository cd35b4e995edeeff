package cell

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
)

// rebalanceAfter is how long another instance must rank first before the lease
// is handed over to it. The delay keeps the lease from moving back and forth
// when an instance keeps starting and stopping.
const rebalanceAfter = 30 * time.Second

// shouldHandOver reports whether another instance has ranked first for longer
// than rebalanceAfter.
func (c *Cell) shouldHandOver() bool {
	ranked := instance.Rank(RankKey(c.cfg.Cell), c.cfg.Fleet.Entries())
	now := time.Now()

	c.mu.Lock()
	defer c.mu.Unlock()

	if len(ranked) == 0 || ranked[0] == c.cfg.Self {
		c.preferred = ""

		return false
	}

	if c.preferred != ranked[0] {
		c.preferred, c.preferredSince = ranked[0], now

		return false
	}

	return now.Sub(c.preferredSince) > rebalanceAfter
}

// Drain releases the lease and keeps the instance from acquiring it again.
func (c *Cell) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()

	c.Release(ctx)
}

// Release hands the lease over to the instance that ranks first among the
// others. It first ends the term, which cancels the calls for orders in flight
// and waits until they have returned, so that the next status that the successor
// receives proves that this process has no order in flight. A cancelled order
// may still arrive: the successor removes a row only once the engine also has
// the raised token, or once OrderLifetime has passed since that proof.
func (c *Cell) Release(ctx context.Context) {
	c.mu.Lock()
	holding, t := c.holding, c.term
	c.holding, c.term = lease.Holding{}, nil
	c.watch = lease.Watch{}
	c.mu.Unlock()

	if holding.Token == 0 {
		return
	}

	t.stop()

	next := holding.Record
	next.Released = true
	next.Successor = c.successor()
	next.WriteID = uuid.NewString()

	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Renew)
	defer cancel()

	if _, err := c.row().Release(ctx, next, holding.Version); err != nil {
		c.cfg.Logger.Warn().Err(err).Int("cell", c.cfg.Cell).Msg("lease not released")

		return
	}

	c.cfg.Log.Add(timeline.Event{
		Kind:   timeline.LeaseReleased,
		Detail: fmt.Sprintf("cell %d token %d to %s", c.cfg.Cell, holding.Token, next.Successor),
	})

	if next.Successor != "" && c.cfg.NotifySuccessor != nil {
		c.cfg.NotifySuccessor(next.Successor, c.cfg.Cell)
	}
}

// successor returns the other instance that ranks first for the cell, or "".
func (c *Cell) successor() instance.ID {
	for _, id := range instance.Rank(RankKey(c.cfg.Cell), c.cfg.Fleet.Entries()) {
		if id != c.cfg.Self {
			return id
		}
	}

	return ""
}
