package node

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

const (
	// confirmTime bounds one check of the configuration.
	confirmTimeout = 400 * time.Millisecond
	// confirmRest is the time between the beginnings of two checks, so that unknown
	// keys, however many, cost few. A caller waits for this and for one check at
	// most.
	confirmInterval = 200 * time.Millisecond
)

// confirmation is the check of the configuration that callers with unknown keys
// share. The zero value has checked nothing.
type confirmation struct {
	mu sync.Mutex
	// began is when the last check began, and next is closed when the one that has
	// not begun yet has ended.
	began time.Time
	next  chan struct{}
	// looked is when a check last went to the store.
	storeChecked time.Time
}

// confirm makes sure that the configuration in force here is as new as it was
// when confirm was called, or returns when ctx ends or nobody answers.
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

// confirmAfter makes the next check, after a pause, and closes done.
func (n *Node) confirmAfter(pause time.Duration, done chan<- struct{}) {
	defer close(done)

	if clock.Sleep(n.workCtx, pause) != nil {
		return
	}

	c := &n.confirmation

	c.mu.Lock()
	c.began, c.next = time.Now(), nil

	// All entries together ask the store no more often than a few would.
	store := c.began.Sub(c.storeChecked) >= scaleInterval(confirmInterval, n.entryCount())
	if store {
		c.storeChecked = c.began
	}
	c.mu.Unlock()

	ctx, cancel := context.WithTimeout(n.workCtx, confirmTimeout)
	defer cancel()

	if store {
		_ = n.confirmWithStore(ctx) || n.confirmWithHolder(ctx) // What nobody answers stays as it is.
	} else {
		_ = n.confirmWithHolder(ctx) || n.confirmWithStore(ctx)
	}
}

// confirmedByHolder puts in force what the holder has, if it is newer, and
// reports whether it answered.
func (n *Node) confirmWithHolder(ctx context.Context) bool {
	v, q := n.fetchFromHolder(ctx, n.configOnly())
	if q == nil {
		return false
	}

	n.applyPeerConfig(v, q)

	return true
}

// confirmedByStore puts in force what the store has, if it is newer, and reports
// whether it answered.
func (n *Node) confirmWithStore(ctx context.Context) bool {
	// What the holder knows is asked when the store is silent.
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout/2) //nolint:mnd // Half of the time for either.
	defer cancel()

	n.mu.Lock()
	after := n.configReadVersion
	n.mu.Unlock()

	c, _, err := n.cfg.Source.ConfigurationAfter(ctx, after, 0)

	switch {
	case err != nil:
		n.cfg.Log.Info().Err(err).Msg("configuration not confirmed by the store")

		return false
	case c != nil:
		n.activateConfig(c)
	}

	return true
}
