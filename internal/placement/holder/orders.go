package holder

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// orderTimeout bounds an order's answer. Engines answer within a few
	// milliseconds; a silent connection is given up after this.
	orderTimeout = 700 * time.Millisecond
	// busyAgain is how soon an order is sent again to an engine that has
	// another in hand, and busyMost for how long: an unload waits for the runs
	// on its model.
	busyAgain = 70 * time.Millisecond
	busyMost  = 4 * time.Second
	// busyTries is after how many tries an engine is asked whether it is busy
	// or has another sequence: longer than its report may be old.
	busyTries = 6
	// reportLag is how old an engine's report may be.
	reportLag = 350 * time.Millisecond
	// reportAgain is how soon an engine that gave no clear report is asked
	// again.
	reportAgain = 370 * time.Millisecond
	// foretold is added to a load's time before requests are sent, for the
	// way of the order and the engine's own step.
	foretold = 20 * time.Millisecond
)

// swap unloads what makes way and loads the model.
func (h *Holder) swap(ctx context.Context, s *station, m swap.Swap) {
	sent := h.sendAll(ctx, s, m)

	h.mu.Lock()
	defer h.mu.Unlock()

	if !sent {
		s.storeLoad = ""

		return
	}

	now := clock.Now()
	s.loading, s.loadBegan, s.ordering = now.Add(m.LoadTime+foretold), now, ""

	if res := s.held[m.Load]; res != nil {
		res.ready, res.used = s.loading, now
	}

	e := h.engineOf(s)

	if s.storeLoad != "" {
		h.feed(s.target.Service).begin(s.target.ID, m.Load, e.Models[m.Load].FromStore, now)
	}

	// A load leaves copies in memory and on disk.
	s.weights.load(m.Load, e, s.loading)
	s.atHand = s.weights.tiers()
	h.published = false
}

// engineOf returns what the operators say of the station's engine: nothing where
// they have taken it out meanwhile.
func (h *Holder) engineOf(s *station) *route.Engine {
	routes := h.cfg.Routes()
	if routes == nil || routes.Services[s.target.Service].Engine == nil {
		return &route.Engine{}
	}

	return routes.Services[s.target.Service].Engine
}

// sendAll hands over a swap's orders, and reports whether the load is begun.
func (h *Holder) sendAll(ctx context.Context, s *station, m swap.Swap) bool {
	for _, model := range m.Unload {
		if !h.send(ctx, s, Order{Unload: true, Model: model}) {
			return false
		}
	}

	return h.send(ctx, s, Order{Model: m.Load})
}

// loadAdapter loads an adapter, after an idle one was given up if need be.
func (h *Holder) loadAdapter(ctx context.Context, s *station, model, adapter, idle string) {
	if idle != "" {
		_, idleModel, idleName := splitKey("/" + idle)

		h.mu.Lock()
		if res := s.held[idleModel]; res != nil {
			delete(res.adapters, idleName)
		}

		h.publish(clock.Now())
		h.mu.Unlock()

		if !h.send(ctx, s, Order{Unload: true, Model: idleModel, Adapter: idleName}) {
			return
		}
	}

	if !h.send(ctx, s, Order{Model: model, Adapter: adapter}) {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if res := s.held[model]; res != nil {
		now := clock.Now()
		res.adapters[adapter] = &placed{ready: now.Add(adapterTime), used: now}
	}

	h.published = false
}

// send hands over one order and reports whether it is, or will be, carried
// out. If not, the station is no longer known and the engine is asked.
func (h *Holder) send(ctx context.Context, s *station, o Order) bool {
	began := clock.Now()
	tries := 0

	for {
		if !h.stamp(s, &o) {
			return false
		}

		out, err := h.submit(ctx, s, o)

		switch {
		case err != nil:
			h.cfg.Log.Warn().Err(err).Str("target", string(s.origin.ID)).Str("model", o.Model).Uint64("sequence", o.Sequence).Msg("order without answer")

			if !h.settle(ctx, s, o) {
				return false
			}
		case out == Accepted || out == Holds:
			h.accepted(s, o, out)
			h.cfg.Log.Info().Str("target", string(s.origin.ID)).Str("model", o.Model).Str("adapter", o.Adapter).Bool("unload", o.Unload).
				Uint64("sequence", o.Sequence).Int("tries", tries+1).Dur("took", clock.Now().Sub(began)).Msg("order accepted")

			return true
		case out == Busy && clock.Now().Sub(began) < busyMost:
			tries++

			if clock.Sleep(ctx, busyAgain) != nil || tries%busyTries == 0 && h.outOfStep(ctx, s, o) {
				return h.lose(s, o, out)
			}
		default:
			return h.lose(s, o, out)
		}
	}
}

// outOfStep reports whether an engine that declines an order is not busy but
// has accepted orders that this holder does not know of.
func (h *Holder) outOfStep(ctx context.Context, s *station, o Order) bool {
	r, err := h.report(ctx, s)

	return err == nil && !r.Busy && r.Sequence != o.Sequence
}

// stamp puts the lease's token and the engine's sequence on an order. It
// reports false when the lease no longer allows one.
//
// It guards against a holder that was paused or cut off and still believes it
// holds its lease: it is asked right before each order, after the last wait,
// on a clock that counts suspensions.
func (h *Holder) stamp(s *station, o *Order) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.draining || !h.held.Valid(clock.Now(), h.cfg.Terms) || h.stations[s.origin.ID] != s {
		s.known = false

		return false
	}

	o.Sequence, o.Token, o.Holder = s.sequence, h.held.Token, h.cfg.Self

	return true
}

func (h *Holder) submit(ctx context.Context, s *station, o Order) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	return h.cfg.Engines.Order(ctx, s.origin, o)
}

// accepted counts an order. An order that already holds is not counted by the
// engine, but for the unload of an adapter, which is done at once.
func (h *Holder) accepted(s *station, o Order, out Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if out == Accepted || o.Unload {
		s.sequence++
	}
}

func (h *Holder) lose(s *station, o Order, out Outcome) bool {
	h.mu.Lock()
	s.known = false
	h.mu.Unlock()

	h.cfg.Log.Info().Str("target", string(s.origin.ID)).Str("model", o.Model).Str("adapter", o.Adapter).Bool("unload", o.Unload).
		Uint64("sequence", o.Sequence).Int("outcome", int(out)).Msg("order not carried out")

	return false
}

// settle finds out whether an order without an answer must be sent again.
//
// It guards against engines that leave an order unanswered and carry it out
// seconds later. One that was not carried out yet is sent again under the same
// sequence, so that only one of the two can be. One that seems to be carried
// out may be a former holder's instead, which was as late, so the engine is
// asked what it holds before anything else is ordered.
func (h *Holder) settle(ctx context.Context, s *station, o Order) (again bool) {
	if clock.Sleep(ctx, reportLag) == nil {
		if r, err := h.report(ctx, s); err == nil && r.Sequence == o.Sequence {
			return true
		}
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	s.known = false

	return false
}

func (h *Holder) report(ctx context.Context, s *station) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	return h.cfg.Engines.Report(ctx, s.origin)
}

// steady reports whether an engine's sequence was the same a report's age ago.
//
// It guards against a report whose parts are of different age: an order of a
// former holder would be counted in its sequence, while the model that it loads
// is not yet among those held.
func (s *station) steady(r Report, now time.Time) bool {
	if s.reported.IsZero() || s.reportedSequence != r.Sequence {
		s.reported, s.reportedSequence = now, r.Sequence

		return false
	}

	return now.Sub(s.reported) >= reportLag
}

// inquire asks an engine what it holds.
func (h *Holder) inquire(ctx context.Context, s *station) {
	r, err := h.report(ctx, s)

	h.mu.Lock()
	defer h.mu.Unlock()

	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("target", string(s.origin.ID)).Msg("engine gave no report")
		h.unreached(s, clock.Now())

		return
	}

	now := clock.Now()

	if s.restarted(r) {
		h.cfg.Log.Info().Str("target", string(s.origin.ID)).Int64("born", r.Born).Uint64("sequence", s.sequence).Msg("engine restarted")
		h.feed(s.target.Service).drop(s.origin.ID, now)
		h.published = false
	}

	if s.down {
		s.down, h.published = false, false
	}

	// A report that is older than the last order says nothing.
	if r.Sequence < s.sequence {
		return
	}

	if !s.steady(r, now) {
		return
	}

	s.take(r, now)
	h.cfg.Log.Info().Str("target", string(s.origin.ID)).Uint64("sequence", r.Sequence).Int("models", len(r.Held)).Bool("busy", r.Busy).Msg("engine reported")
	h.published = false
}
