// Package pause simulates a paused process by blocking what it sends.
package pause

import (
	"context"
	"sync"
)

// Gate blocks callers of Wait while it is closed. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// Wait waits until the gate is open. It returns the context's error if that ends first.
func (g *Gate) Wait(ctx context.Context) error {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()

	if closed == nil {
		return nil
	}

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-closed:
		return nil
	}
}

// Close closes the gate.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Open opens the gate.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}
