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

// rebalanceAfter is how long another instance must rank first before the
// lease is handed to it. It keeps a lease from following an instance that
// comes and goes.
const rebalanceAfter = 30 * time.Second

// handBack reports whether another instance should hold the lease.
func (c *Cell) handBack() bool {
	ranked := instance.Rank(Name(c.cfg.Cell), c.cfg.Fleet.Entries())
	now := time.Now()

	c.mu.Lock()
	defer c.mu.Unlock()

	if len(ranked) == 0 || ranked[0] == c.cfg.Self {
		c.best = ""

		return false
	}

	if c.best != ranked[0] {
		c.best, c.bestSince = ranked[0], now

		return false
	}

	return now.Sub(c.bestSince) > rebalanceAfter
}

// Drain makes the instance give up the lease and not take it again.
func (c *Cell) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()

	c.Release(ctx)
}

// Release hands the lease to the instance that ranks first among the others.
// Orders in hand are finished first, so that the successor need not wait for
// proof that none will come.
func (c *Cell) Release(ctx context.Context) {
	c.mu.Lock()
	held, t := c.held, c.tenure
	c.held, c.tenure = lease.Held{}, nil
	c.watch = lease.Watch{}
	c.mu.Unlock()

	if held.Token == 0 {
		return
	}

	t.stop()

	next := held.Record
	next.Released = true
	next.Successor = c.successor()
	next.WriteID = uuid.NewString()

	ctx, cancel := context.WithTimeout(ctx, c.cfg.Terms.Renew)
	defer cancel()

	if _, err := c.row().Release(ctx, next, held.Version); err != nil {
		c.cfg.Logger.Warn().Err(err).Int("cell", c.cfg.Cell).Msg("lease not released")

		return
	}

	c.cfg.Log.Add(timeline.Event{
		Kind:   timeline.LeaseReleased,
		Detail: fmt.Sprintf("cell %d token %d to %s", c.cfg.Cell, held.Token, next.Successor),
	})

	if next.Successor != "" && c.cfg.Nudge != nil {
		c.cfg.Nudge(next.Successor, c.cfg.Cell)
	}
}

func (c *Cell) successor() instance.ID {
	for _, id := range instance.Rank(Name(c.cfg.Cell), c.cfg.Fleet.Entries()) {
		if id != c.cfg.Self {
			return id
		}
	}

	return ""
}
