package holder

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
)

// clockSlack allows for the clock difference between two instances and the
// time an order is in transit.
const clockSlack = 400 * time.Millisecond

// sentOrders are the orders that this process has sent, in all of its terms. The zero value is
// none.
type sentOrders struct {
	inFlight int
	// ended is when the last call ended.
	ended time.Time
}

func (s *sentOrders) begin() { s.inFlight++ }

func (s *sentOrders) end(now time.Time) { s.inFlight, s.ended = s.inFlight-1, now }

// endBy returns the time by which all calls have ended, and false if there were none.
func (s *sentOrders) endBy(now time.Time) (time.Time, bool) {
	if s.inFlight > 0 {
		return now.Add(orderTimeout), true
	}

	return s.ended, !s.ended.IsZero()
}

// turnPause returns TurnPause by this process's clock.
func (h *Holder) turnPause() time.Duration { return lease.Lengthened(h.cfg.TurnPause) }

// earliestOrder returns the time from which this holder may send orders, where former is the
// lease before and now the time at which it is acquired. The caller holds the lock.
//
// If this instance held the lease last, no other instance can have sent orders since, and the
// new term goes on where that one was: orders of one instance count as orders of one holder.
//
// Otherwise another instance may have sent orders since this one sent its own last ones. So this
// holder waits for TurnPause after its own last order, in whatever term, and after the start of
// its process, before which the previous process may have sent some. It need not wait longer if
// the lease was never held, or if the former holder released it and so has no orders in flight.
// Any other former holder may have sent its last order right before its lease expired, so the
// first order is also at least TurnPause - Timing.Duration + clockSlack after now. If
// Timing.Duration exceeds clockSlack, less than TurnPause may pass between the two orders.
func (h *Holder) earliestOrder(former lease.Record, now time.Time) time.Time {
	if former.Token != 0 && former.Holder == h.cfg.Self && former.Token >= h.snapshot.Token {
		switch {
		case former.Token == h.ordersFromToken:
			return clock.Later(now, h.ordersFrom)
		case !former.Waits:
			return now
		}
	}

	first := h.started.Add(h.turnPause())
	if ended, sent := h.sentOrders.endBy(now); sent {
		first = clock.Later(first, ended.Add(h.turnPause()))
	}

	if former.Token == 0 || former.Released {
		return first
	}

	return clock.Later(first, now.Add(h.cfg.TurnPause-h.cfg.Timing.Duration+clockSlack))
}

// waits reports whether this holder may not send orders yet.
func (h *Holder) waits(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return now.Before(h.ordersFrom)
}

// formerHolders are the other instances that held the lease, with when each was last known to.
// The zero value is none.
type formerHolders map[instance.ID]time.Time

func (f *formerHolders) record(id instance.ID, now time.Time) {
	if *f == nil {
		*f = make(formerHolders)
	}

	(*f)[id] = now
}

// successor returns the first of the candidates that has not held the lease for the time of
// pause. Others must wait before they send orders; if there are only such, it is the first.
func (f *formerHolders) successor(candidates []instance.ID, now time.Time, pause time.Duration) instance.ID {
	for _, id := range candidates {
		if at, held := (*f)[id]; !held || now.Sub(at) >= pause {
			return id
		}
	}

	return candidates[0]
}
