package holder

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

const (
	// confirmInterval is the time between two requests for a report during a
	// load from the weight store.
	confirmInterval = 100 * time.Millisecond
	// unconfirmedMargin is how far in the future the published end of a load
	// is kept until its engine has confirmed it. It exceeds the time until
	// entries receive the next snapshot.
	unconfirmedMargin = publishInterval + 200*time.Millisecond
	// maxLoadFactor times its planned duration is how long a load may take.
	// After that the holder stops waiting for the end, and requests a full
	// report if the model is found missing.
	maxLoadFactor = 4
)

// confirmLoads asks engines whether their loads from the weight store have
// ended. Entries send requests only after that. The caller holds the lock.
//
// When many targets start empty, the store shares its bandwidth among their
// loads, whose number the holder cannot observe, so loads end later than
// planned. Requests sent before that are refused by the target and use up
// their retries.
func (h *Holder) confirmLoads(ctx context.Context, now time.Time) {
	for _, eng := range h.engines {
		if eng.storeLoad == "" || eng.inFlight || now.Before(eng.loadEnds.Add(-unconfirmedMargin)) {
			continue
		}

		resident := eng.models[eng.storeLoad]
		if resident == nil || now.Sub(eng.loadStarted) > maxLoadFactor*eng.loadTime {
			eng.storeLoad = ""

			continue
		}

		resident.ready = clock.Later(resident.ready, now.Add(unconfirmedMargin))

		if !now.Before(eng.loadEnds) {
			h.startWork(eng, func() { h.confirmLoad(ctx, eng) })
		}
	}
}

// confirmLoad requests a report and checks whether a load from the weight
// store has ended.
func (h *Holder) confirmLoad(ctx context.Context, eng *trackedEngine) {
	r, err := h.report(ctx, eng)

	h.mu.Lock()
	defer h.mu.Unlock()

	now := clock.Now()
	// A report with a lower sequence predates the order of the load.
	current := err == nil && r.Sequence >= eng.sequence

	switch ended := slices.ContainsFunc(r.Held, func(held inventory.ResidentModel) bool { return held.Model == eng.storeLoad }); {
	case current && ended:
		if resident := eng.models[eng.storeLoad]; resident != nil {
			resident.ready = now
		}

		h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Str("model", eng.storeLoad).Dur("took", now.Sub(eng.loadStarted)).Dur("said", eng.loadTime).Msg("load ended")
		eng.storeLoad, eng.loadEnds, h.published = "", now, false
	case current && !r.Busy:
		h.cfg.Log.Warn().Str("target", string(eng.origin.ID)).Str("model", eng.storeLoad).Dur("after", now.Sub(eng.loadStarted)).Msg("load failed")
		eng.storeLoad, eng.synced = "", false
	default:
		eng.loadEnds = now.Add(confirmInterval)
	}
}
