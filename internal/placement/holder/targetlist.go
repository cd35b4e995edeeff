package holder

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// applyTargetList applies the target list to the engines' records. The caller
// holds the lock.
func (h *Holder) applyTargetList(now time.Time) {
	targets := h.cfg.Targets()

	h.removeUnlisted(targets, now)

	routes := h.cfg.Routes()

	for id, t := range targets {
		if routes == nil || routes.Services[t.Service].Engine == nil {
			continue
		}

		eng := h.engines[id]
		if eng == nil || eng.target.StartedMs != t.StartedMs && eng.born != t.StartedMs || eng.target.Address != t.Address {
			eng = &trackedEngine{origin: t, target: t, models: make(map[string]*trackedModel)}
			eng.updateCopies(t, now)
			h.engines[id] = eng
			h.published = false
			// The new process does not continue the load of the former one.
			h.storeCapacity(t.Service).remove(id, now)
		}

		if eng.target.Version != t.Version || eng.target.Leaving != t.Leaving {
			if t.Leaving && !eng.target.Leaving {
				h.recordDeparture(t.Service, now)
			}

			eng.target = t
			h.storeCapacity(t.Service).observe(t, now)
			eng.updateCopies(t, now)
			eng.compareRow(t, now)
		}

		eng.postponeLoad(now)
	}
}

// removeUnlisted deletes the engines that are not on the target list.
func (h *Holder) removeUnlisted(targets map[instance.ID]inventory.Target, now time.Time) {
	for id, eng := range h.engines {
		if _, listed := targets[id]; listed {
			continue
		}

		if !eng.target.Leaving {
			h.recordDeparture(eng.target.Service, now)
		}

		h.storeCapacity(eng.target.Service).remove(id, now)
		delete(h.engines, id)
		h.published = false
	}

	for _, c := range h.storeCapacities {
		c.checkOverdue(now)
	}
}

// storeCapacity returns the estimate of the weight store's capacity for a
// service.
func (h *Holder) storeCapacity(service string) *storeCapacity {
	if h.storeCapacities == nil {
		h.storeCapacities = make(map[string]*storeCapacity)
	}

	if h.storeCapacities[service] == nil {
		h.storeCapacities[service] = &storeCapacity{}
	}

	return h.storeCapacities[service]
}

// recordDeparture records that a target of the service is leaving or gone.
func (h *Holder) recordDeparture(service string, now time.Time) {
	if h.churns == nil {
		h.churns = make(map[string]*churn)
	}

	if h.churns[service] == nil {
		h.churns[service] = &churn{}
	}

	h.churns[service].record(now)
}

// risk returns the probability that a target of the service is gone before its
// models have been loaded elsewhere.
func (h *Holder) risk(service string, input *swap.Snapshot) float64 {
	c := h.churns[service]
	if c == nil {
		return minRisk
	}

	serving := 0

	for i := range input.Targets {
		if input.Targets[i].Serving {
			serving++
		}
	}

	return c.risk(serving, replicaLoads*slowestLoad(input.Engine), input.Now)
}

// replicaLoads is the assumed number of consecutive loads from the weight store
// until a replica of a lost model is ready elsewhere, since other loads come
// first.
const replicaLoads = 3

func slowestLoad(e *route.Engine) time.Duration {
	slowest := time.Duration(0)
	for _, m := range e.Models {
		slowest = max(slowest, m.FromStore)
	}

	return slowest
}

// maxListDelay is the time after the expected end of a load by which the target
// list must show it.
const maxListDelay = 1500 * time.Millisecond

// compareRow marks the engine as not synced when a new row of the target list
// shows other models than those that should be loaded by now.
func (eng *trackedEngine) compareRow(t inventory.Target, now time.Time) {
	if !eng.synced || eng.inFlight || now.Before(eng.loadEnds.Add(maxListDelay)) {
		return
	}

	listed := make([]string, 0, len(t.Resident))
	for _, held := range t.Resident {
		listed = append(listed, held.Model)
	}

	if len(listed) != len(eng.models) || slices.ContainsFunc(listed, func(m string) bool { return eng.models[m] == nil }) {
		eng.synced = false
	}
}
