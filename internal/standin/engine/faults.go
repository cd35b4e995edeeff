package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Faults are the engine's faults.
type Faults struct {
	// SwapAnswers makes the next two streams carry each other's request ids.
	SwapAnswers bool
	// Truncate makes the next stream end cleanly without its end mark.
	Truncate bool
	// LateOrders delays every order.
	LateOrders time.Duration
	// FailLoads makes the next loads fail.
	FailLoads int
	// DropEvents loses every second cache event.
	DropEvents bool
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.faults = f
}

// Crash ends the incarnation, with all that it ran and held. The engine restarts empty
// after the restart time.
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

// Silence makes all open streams stall for good. New ones work.
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

// Ran reports whether the prompt was ever run on this engine.
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

// Use returns the numbers of ready models and of running generations.
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

// Leave makes the engine report that it is leaving and refuse new generations.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.leaving = true
}
