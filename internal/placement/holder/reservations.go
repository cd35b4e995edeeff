package holder

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
)

// recordReservations records the loads that a service's targets could not start in
// a round. The caller holds the lock.
func (h *Holder) recordReservations(service string, round swap.Decisions, now time.Time) {
	if h.reservations == nil {
		h.reservations = make(map[string]swap.Reservations)
	}

	h.reservations[service] = h.reservations[service].Update(round, now)
}
