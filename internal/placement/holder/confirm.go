package holder

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

const (
	// confirmEvery is the time between two questions to an engine whether a load
	// from the weight store has ended.
	confirmEvery = 100 * time.Millisecond
	// unconfirmed is how far the end of a load is put off until its engine has
	// said that it ended: longer than it takes until entries hear the next news.
	unconfirmed = publishEvery + 200*time.Millisecond
	// loadMost is how many times as long as said a load may take before the
	// engine is asked what it holds instead.
	loadMost = 4
)

// awaitLoads asks engines whether their loads from the weight store have ended,
// which entries are told only then. The caller holds the lock.
//
// It answers the load of many targets that start empty: the store shares its
// speed among their loads and nobody says how many it has in hand, so that loads
// end later than they would alone. Requests that are sent at that time are
// refused by the target and use up their repeats.
func (h *Holder) awaitLoads(ctx context.Context, now time.Time) {
	for _, s := range h.stations {
		if s.storeLoad == "" || s.working || now.Before(s.loading.Add(-unconfirmed)) {
			continue
		}

		res := s.held[s.storeLoad]
		if res == nil || now.Sub(s.loadBegan) > loadMost*s.takes {
			s.storeLoad = ""

			continue
		}

		res.ready = clock.Later(res.ready, now.Add(unconfirmed))

		if !now.Before(s.loading) {
			h.begin(s, func() { h.confirm(ctx, s) })
		}
	}
}

// confirm takes in whether a load from the weight store has ended.
func (h *Holder) confirm(ctx context.Context, s *station) {
	r, err := h.report(ctx, s)

	h.mu.Lock()
	defer h.mu.Unlock()

	now := clock.Now()
	// A report that is older than the order says nothing.
	current := err == nil && r.Sequence >= s.sequence

	switch ended := slices.ContainsFunc(r.Held, func(held inventory.Held) bool { return held.Model == s.storeLoad }); {
	case current && ended:
		if res := s.held[s.storeLoad]; res != nil {
			res.ready = now
		}

		h.cfg.Log.Info().Str("target", string(s.origin.ID)).Str("model", s.storeLoad).Dur("took", now.Sub(s.loadBegan)).Dur("said", s.takes).Msg("load ended")
		s.storeLoad, s.loading, h.published = "", now, false
	case current && !r.Busy:
		h.cfg.Log.Warn().Str("target", string(s.origin.ID)).Str("model", s.storeLoad).Dur("after", now.Sub(s.loadBegan)).Msg("load lost")
		s.storeLoad, s.known = "", false
	default:
		s.loading = now.Add(confirmEvery)
	}
}
