package holder

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
)

// recordMissing marks an engine as not synced after an entry found that it does
// not hold a model or adapter, so that the holder requests a report. It does
// nothing until loadGrace after the predicted end of the last load, since loads
// may end that late, nor within loadGrace of the last check.
func (h *Holder) recordMissing(m Missing) {
	eng := h.engines[m.Target]
	if eng == nil || eng.inFlight {
		return
	}

	now := clock.Now()
	if now.Before(eng.loadEnds.Add(loadGrace)) || now.Sub(eng.lastCheck) < loadGrace {
		return
	}

	eng.lastCheck, eng.synced = now, false
}

// recordRest records that a target has asked an entry for rest. While it rests it gets no
// orders, and models that only it holds may be loaded elsewhere.
func (h *Holder) recordRest(r demand.Rest, now time.Time) {
	if eng := h.engines[r.Target]; eng != nil {
		eng.restUntil = clock.Later(eng.restUntil, now.Add(r.Left))
	}
}

// serves reports whether entries send requests to the engine.
func (eng *trackedEngine) serves() bool { return !eng.target.Leaving && !eng.down }

// suspect records that an entry does not reach a target, and marks the engine
// as not synced, so that the holder requests a report. If that fails too,
// markDown marks the engine as down: a crashed target stays on the target list
// for seconds, and its models would be loaded elsewhere only after it is
// removed.
//
// Failures that the holder's own entry reports do not count, since that entry
// may be cut off together with the holder.
func (h *Holder) suspect(id, entry instance.ID) {
	eng := h.engines[id]
	if eng == nil || entry == h.cfg.Self {
		return
	}

	eng.suspectedAt = clock.Now()
	eng.synced = false
}

// suspicionTimeout is how long a report that a target is unreachable counts.
const suspicionTimeout = 3 * time.Second

// markDown marks an engine that gave no report as down if another entry
// reported within suspicionTimeout that it failed to reach it. The caller holds
// the lock.
func (h *Holder) markDown(eng *trackedEngine, now time.Time) {
	if eng.down || now.Sub(eng.suspectedAt) > suspicionTimeout || h.cutOff() {
		return
	}

	eng.down, h.published = true, false
	h.cfg.Log.Warn().Str("target", string(eng.origin.ID)).Int("models", len(eng.models)).Msg("target down")
}

// loadGrace is how much later than predicted a load may end before the engine
// is asked for a report.
const loadGrace = 700 * time.Millisecond
