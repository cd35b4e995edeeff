package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Faults are the engine's switches.
type Faults struct {
	// SwapAnswers makes the next two streams carry each other's request ids.
	SwapAnswers bool
	// Truncate makes the next stream end cleanly without its end mark.
	Truncate bool
	// LateOrders delays the carrying out of every order.
	LateOrders time.Duration
	// FailLoads makes the next loads fail.
	FailLoads int
	// DropEvents loses every second cache event.
	DropEvents bool
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.faults = f
}

// Crash ends the incarnation. All it ran and held is gone; after the restart
// time the engine is back, empty.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.down {
		return
	}

	e.down = true
	for _, g := range e.running {
		g.cancel()
	}

	for _, g := range e.waiting {
		g.cancel()
	}

	e.held = make(map[string]target.ResidentModel)
	e.changed()

	time.AfterFunc(e.opt.Restart, func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		if !e.stopped {
			e.start()
		}
	})
}

// Stop ends the engine for good, as when its instance is reclaimed.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.stopped = true
	e.crashLocked()
}

// Silence makes all open streams go quiet for good. New ones work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, g := range e.running {
		select {
		case <-g.silent:
		default:
			close(g.silent)
		}
	}
}

// Ran reports whether the prompt was ever run here.
func (e *Engine) Ran(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ran[xxhash.Sum64String(prompt)] > 0
}

// PoisonCrashes returns how often a poisonous prompt crashed the engine.
func (e *Engine) PoisonCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.crashes
}

// Use returns how many models are ready and how many generations run.
func (e *Engine) Use() (ready, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, h := range e.held {
		if h.Phase == target.Ready {
			ready++
		}
	}

	return ready, len(e.running)
}

// Holds reports whether the model is ready.
func (e *Engine) Holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.held[model].Phase == target.Ready
}

// ID returns the engine's instance id.
func (e *Engine) ID() instance.ID { return e.opt.ID }

// Leave makes the engine say that it is leaving and refuse new generations.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.leaving = true
}
