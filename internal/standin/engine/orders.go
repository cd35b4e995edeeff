package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Submit implements target.Engine.
func (e *Engine) Submit(ctx context.Context, o target.Order) (target.Inventory, error) {
	e.mu.Lock()
	late := e.faults.LateOrders
	e.mu.Unlock()

	if late > 0 {
		// A late order is carried out even if its sender has given up.
		done := make(chan struct{})

		go func() {
			time.Sleep(late)

			_, _ = e.carryOut(o)

			close(done)
		}()

		select {
		case <-ctx.Done():
			return target.Inventory{}, ctx.Err()
		case <-done:
			return e.Inventory(ctx)
		}
	}

	return e.carryOut(o)
}

func (e *Engine) carryOut(o target.Order) (target.Inventory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return target.Inventory{}, errDown
	}

	if e.opt.ChecksToken {
		if o.Token < e.token {
			return target.Inventory{}, &target.StaleTokenError{Target: e.opt.ID, Token: o.Token, Highest: e.token}
		}

		e.token = o.Token
	}

	if e.orders[o.ID] {
		return e.inventoryLocked(), nil
	}

	e.orders[o.ID] = true

	switch a := o.Action.(type) {
	case target.Load:
		e.loadLocked(a)
	case target.Unload:
		delete(e.held, a.Model)
		e.changed()
	case target.ChangeRole:
		e.role = a.Role
	case target.RaiseToken:
	}

	return e.inventoryLocked(), nil
}

// loadLocked starts a load. Like many engines, it does not check whether its memory
// suffices: the lease holder must not overcommit it.
func (e *Engine) loadLocked(a target.Load) {
	if _, ok := e.held[a.Model]; ok {
		return
	}

	e.held[a.Model] = target.ResidentModel{Model: a.Model, Base: a.Base, Bytes: a.Bytes, Phase: target.Loading}
	e.changed()

	tier := e.cached[a.Model]
	if tier == 0 {
		tier = target.TierRemote
	}

	go e.fetch(a, tier, e.incarnation)
}

func (e *Engine) fetch(a target.Load, tier target.Tier, incarnation string) {
	var err error
	if e.opt.Weights != nil {
		err = e.opt.Weights.Fetch(context.Background(), a.Model, a.Bytes, tier)
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	h, ok := e.held[a.Model]
	if !ok || e.incarnation != incarnation || e.down {
		return
	}

	h.Phase = target.Ready

	if err != nil || e.faults.FailLoads > 0 {
		e.faults.FailLoads = max(0, e.faults.FailLoads-1)
		h.Phase = target.Failed
	} else {
		e.cached[a.Model] = target.TierMemory
	}

	e.held[a.Model] = h
	e.changed()
}

func (e *Engine) changed() {
	if e.OnChange != nil {
		e.OnChange(e.opt.ID, e.heldLocked(), e.opt.Memory)
	}
}

func (e *Engine) heldLocked() []target.ResidentModel {
	var out []target.ResidentModel
	for _, name := range slices.Sorted(maps.Keys(e.held)) {
		out = append(out, e.held[name])
	}

	return out
}

// Inventory implements target.Engine.
func (e *Engine) Inventory(context.Context) (target.Inventory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.down {
		return target.Inventory{}, errDown
	}

	return e.inventoryLocked(), nil
}

func (e *Engine) inventoryLocked() target.Inventory {
	return target.Inventory{
		Incarnation: e.incarnation,
		Software:    e.opt.Software,
		Token:       e.token,
		Memory:      e.opt.Memory,
		Speed:       e.opt.Speed,
		Role:        e.role,
		Leaving:     e.leaving,
		Resident:    e.heldLocked(),
		Cached:      maps.Clone(e.cached),
	}
}
