// Package pause stops what a process sends, and lets it go again, as when the
// process itself is paused.
package pause

import (
	"context"
	"sync"
)

// Gate delays all that passes it while it is closed. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// Wait returns when the gate is open, or with the context's error.
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

// Close makes all that comes wait.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Open lets all pass again.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}
