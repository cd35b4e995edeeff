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
	// unknown keys and routes, however many, cause few calls. A client waits at most for
	// this and one check.
	confirmInterval = 200 * time.Millisecond
)

// confirmation coordinates the checks of the configuration that clients with
// unknown keys, or for unknown routes, share. The zero value is ready to use.
type confirmation struct {
	mu sync.Mutex
	// began is when the last check began, and next is closed when the next
	// check, which has not begun yet, has ended.
	began time.Time
	next  chan struct{}
	// storeCheckBegan is when the last check began that called the store first.
	storeCheckBegan time.Time
	// storeRead is closed when the read of the store in progress has ended, and nil if
	// there is none.
	storeRead chan struct{}
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
// reports whether the holder answered and this entry has what the holder knows of.
func (n *Node) confirmWithHolder(ctx context.Context) bool {
	q := n.peers.connection(n.holder.LastHolder())
	if q == nil {
		return false
	}

	for n.fetchConfigPart(ctx, q) {
		if !n.configOutdated() {
			break
		}
	}

	return n.configKnown()
}

// confirmWithStore activates the store's configuration if it is newer, and
// reports whether the store answered in time. A read that takes longer goes on: begun anew
// each time, a large configuration would never arrive over a slow link.
func (n *Node) confirmWithStore(ctx context.Context) bool {
	// The rest of the time is for the holder if the store does not answer.
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout/2) //nolint:mnd // Half of the time for each.
	defer cancel()

	c := &n.confirmation

	c.mu.Lock()
	if c.storeRead == nil {
		c.storeRead = make(chan struct{})

		go n.confirmingRead(c.storeRead)
	}

	done := c.storeRead
	c.mu.Unlock()

	select {
	case <-done:
		return n.configKnown()
	case <-ctx.Done():
		return false
	}
}

// confirmingRead reads the store and closes done.
func (n *Node) confirmingRead(done chan<- struct{}) {
	n.mu.Lock()
	after := n.configReadVersion
	n.mu.Unlock()

	began := time.Now()

	c, version, err := n.cfg.Source.ConfigurationAfter(n.workCtx, after, 0)
	if err == nil {
		n.applyStoredConfig(c, version, began)
	} else {
		n.cfg.Log.Info().Err(err).Msg("cannot confirm configuration with the store")
	}

	n.confirmation.mu.Lock()
	n.confirmation.storeRead = nil
	n.confirmation.mu.Unlock()
	close(done)
}
