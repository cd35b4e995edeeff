package node

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

const (
	// confirmTimeout bounds one check of the configuration.
	confirmTimeout = 400 * time.Millisecond
	// confirmInterval is the time between the starts of two checks, so that
	// unknown keys, however many, cause few calls. A client waits at most for
	// this and one check.
	confirmInterval = 200 * time.Millisecond
)

// confirmation coordinates the checks of the configuration that clients with
// unknown keys share. The zero value is ready to use.
type confirmation struct {
	mu sync.Mutex
	// began is when the last check began, and next is closed when the next
	// check, which has not begun yet, has ended.
	began time.Time
	next  chan struct{}
	// storeCheckBegan is when the last check began that called the store first.
	storeCheckBegan time.Time
}

// confirm ensures that the configuration in force here is at least as new as
// the newest one when confirm was called. It gives up when ctx ends or when
// neither the store nor the holder answers.
func (n *Node) confirm(ctx context.Context) {
	c := &n.confirmation

	c.mu.Lock()
	if c.next == nil {
		c.next = make(chan struct{})

		go n.confirmAfter(time.Until(c.began.Add(confirmInterval)), c.next)
	}

	done := c.next
	c.mu.Unlock()

	select {
	case <-done:
	case <-ctx.Done():
	}
}

// confirmAfter makes the next check after a pause and closes done.
func (n *Node) confirmAfter(pause time.Duration, done chan<- struct{}) {
	defer close(done)

	if clock.Sleep(n.workCtx, pause) != nil {
		return
	}

	c := &n.confirmation

	c.mu.Lock()
	c.began, c.next = time.Now(), nil

	// All entries together start no more checks with the store than
	// fullRateEntries entries would at confirmInterval; all other checks start
	// with the holder and call the store only if it does not answer.
	storeFirst := c.began.Sub(c.storeCheckBegan) >= scaleInterval(confirmInterval, n.aliveEntries())
	if storeFirst {
		c.storeCheckBegan = c.began
	}
	c.mu.Unlock()

	ctx, cancel := context.WithTimeout(n.workCtx, confirmTimeout)
	defer cancel()

	if storeFirst {
		_ = n.confirmWithStore(ctx) || n.confirmWithHolder(ctx) // Without an answer the configuration stays as it is.
	} else {
		_ = n.confirmWithHolder(ctx) || n.confirmWithStore(ctx)
	}
}

// confirmWithHolder activates the holder's configuration if it is newer, and
// reports whether the holder answered.
func (n *Node) confirmWithHolder(ctx context.Context) bool {
	v, q := n.fetchFromHolder(ctx, n.configOnly())
	if q == nil {
		return false
	}

	n.applyPeerConfig(v, q)

	return true
}

// confirmWithStore activates the store's configuration if it is newer, and
// reports whether the store answered.
func (n *Node) confirmWithStore(ctx context.Context) bool {
	// The rest of the time is for the holder if the store does not answer.
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout/2) //nolint:mnd // Half of the time for each.
	defer cancel()

	n.mu.Lock()
	after := n.configReadVersion
	n.mu.Unlock()

	c, _, err := n.cfg.Source.ConfigurationAfter(ctx, after, 0)

	switch {
	case err != nil:
		n.cfg.Log.Info().Err(err).Msg("cannot confirm configuration with the store")

		return false
	case c != nil:
		n.activateConfig(c)
	}

	return true
}
