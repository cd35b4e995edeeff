package holder

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

const (
	// confirmInterval is the time between two requests for a report after the
	// expected end of a load from the weight store.
	confirmInterval = 100 * time.Millisecond
	// unconfirmedMargin is how far in the future the published end of a load
	// is kept until its engine has confirmed it. It exceeds the time until
	// entries receive the next snapshot.
	unconfirmedMargin = publishInterval + 200*time.Millisecond
	// A load may take maxLoadFactor times its planned duration. After that the
	// holder stops asking whether it has ended, and requests a report only if
	// an entry or the target list shows that the model is missing.
	maxLoadFactor = 4
)

// confirmLoads asks engines whether their loads from the weight store have
// ended. Entries send requests for a model only after its engine has confirmed
// the end of the load, or once maxLoadFactor times its planned duration has
// passed. The caller holds the lock.
//
// When many targets start empty, the weight store shares its bandwidth among
// their loads. Its capacity is configured nowhere and only estimated, so loads
// may end later than planned. A target refuses requests that are sent before
// its load has ended, and they use up their retries.
func (h *Holder) confirmLoads(ctx context.Context, now time.Time) {
	for _, eng := range h.engines {
		if eng.storeLoadModel == "" || eng.inFlight || now.Before(eng.loadEnds.Add(-unconfirmedMargin)) {
			continue
		}

		resident := eng.models[eng.storeLoadModel]
		if resident == nil || now.Sub(eng.loadStarted) > maxLoadFactor*eng.loadTime {
			eng.storeLoadModel = ""

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
	r, err := h.requestReport(ctx, eng)

	h.mu.Lock()
	defer h.mu.Unlock()

	now := clock.Now()
	// A report with a lower sequence predates the order of the load.
	current := err == nil && r.Sequence >= eng.sequence

	switch ended := slices.ContainsFunc(r.Resident, func(held inventory.ResidentModel) bool { return held.Model == eng.storeLoadModel }); {
	case current && ended:
		if resident := eng.models[eng.storeLoadModel]; resident != nil {
			resident.ready = now
		}

		h.cfg.Log.Info().Str("target", string(eng.origin.ID)).Str("model", eng.storeLoadModel).Dur("took", now.Sub(eng.loadStarted)).Dur("said", eng.loadTime).Msg("load ended")
		eng.storeLoadModel, eng.loadEnds, h.published = "", now, false
	case current && !r.Busy:
		h.cfg.Log.Warn().Str("target", string(eng.origin.ID)).Str("model", eng.storeLoadModel).Dur("after", now.Sub(eng.loadStarted)).Msg("load failed")
		eng.storeLoadModel, eng.synced = "", false
	default:
		eng.loadEnds = now.Add(confirmInterval)
	}
}
