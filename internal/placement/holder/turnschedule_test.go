package holder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/schedule"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// turnSchedules is how many schedules a test plays by default, and turnTroubles for how long
	// troubles begin.
	turnSchedules = 120
	turnTroubles  = 40 * time.Second
	// thaw is for how long after its sender was thawed an order does not count.
	thaw = 300 * time.Millisecond
	// maxClockDrift is the share by which a clock may run slow or fast.
	maxClockDrift = 0.02
)

// turnSchedule plays seeded troubles that make entries hold the lease in turn.
type turnSchedule struct {
	*roomSchedule

	// rates are the rates of the entries' clocks.
	rates map[instance.ID]float64
	// thawed are the times at which entries were thawed.
	thawed map[instance.ID][]time.Time
}

func newTurnSchedule(t *testing.T, draw *rand.Rand) *turnSchedule {
	t.Helper()

	s := &turnSchedule{
		roomSchedule: &roomSchedule{cluster: newClusterOf(t, 0, roomEngine(draw).Engine, 2), draw: draw},
		rates:        make(map[instance.ID]float64), thawed: make(map[instance.ID][]time.Time),
	}

	for i := range 3 + draw.IntN(5) {
		id := instance.ID(fmt.Sprintf("h%d", i))
		s.rates[id] = 1 + maxClockDrift*float64(draw.IntN(3)-1)
		s.start(id)
	}

	return s
}

// start starts an entry's next process.
func (s *turnSchedule) start(id instance.ID) {
	s.starts++
	s.startAt(s.t.Context(), id, fmt.Sprintf("%s-%d", id, s.starts), s.rates[id])
}

// trouble makes one trouble, mostly to the lease holder.
func (s *turnSchedule) trouble() {
	id := s.pickHolder()
	h := s.holders[id]

	switch s.draw.IntN(8) {
	case 0, 1, 2:
		h.store.Close()
		s.after(s.between(2500*time.Millisecond, 6*time.Second), h.store.Open)
	case 3, 4:
		s.briefly(h.Release)
		s.restart(id, s.between(0, 3*time.Second))
	case 5:
		s.restart(id, s.between(0, 2*time.Second))
	case 6:
		if peers := s.peers(id); len(peers) > 0 {
			s.handOver(id, peers[s.draw.IntN(len(peers))])
		}
	default:
		h.gate.Close()
		s.after(s.between(200*time.Millisecond, 6*time.Second), func() {
			s.thawed[id] = append(s.thawed[id], time.Now())

			h.gate.Open()
		})
	}
}

// briefly calls f with a context that ends as that of a process that stops.
func (s *turnSchedule) briefly(f func(context.Context)) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
	defer cancel()

	f(ctx)
}

func (s *turnSchedule) handOver(from, to instance.ID) {
	s.briefly(func(ctx context.Context) { s.holders[from].HandOver(ctx, to) })
}

// restart ends an entry's process and starts its next one later.
func (s *turnSchedule) restart(id instance.ID, away time.Duration) {
	s.holders[id].gate.Close()
	s.holders[id].stop()

	s.mu.Lock()
	delete(s.holders, id)
	s.mu.Unlock()

	s.after(away, func() { s.start(id) })
}

// play plays the troubles and returns the orders that holders have sent in turns.
func (s *turnSchedule) play() []string {
	time.Sleep(5 * time.Second)

	for began := time.Now(); time.Since(began) < turnTroubles; {
		if len(s.holders) > 1 && s.draw.IntN(6) == 0 {
			s.trouble()
		}

		s.doLater()
		s.askSome()
		s.askAdapter()
		time.Sleep(s.between(50*time.Millisecond, 200*time.Millisecond))
	}

	var out []string
	for _, w := range s.all() {
		out = append(out, s.turns(w.Orders())...)
	}

	return out
}

// askAdapter reports demand for one of many adapters, which keeps orders coming.
func (s *turnSchedule) askAdapter() { s.ask(fmt.Sprintf("m%d/a%d", s.draw.IntN(2), s.draw.IntN(40))) }

// turns returns the orders of holders that follow too soon, with another holder's between them.
func (s *turnSchedule) turns(all []worker.Ordered) []string {
	return worker.TurnsIn(turnPause, slices.DeleteFunc(all, func(o worker.Ordered) bool {
		return slices.ContainsFunc(s.thawed[o.Holder], func(at time.Time) bool { return !o.At.Before(at) && o.At.Sub(at) < thaw })
	}))
}

// TestHoldersTakeTurns guards against orders of a holder that comes back too soon after another's, in seeded schedules.
func TestHoldersTakeTurns(t *testing.T) {
	schedule.Each(t, schedulePrefix, turnSchedules, 67, func(t *testing.T, draw *rand.Rand) {
		s := newTurnSchedule(t, draw)
		defer s.end()

		assert.DeepEqual(t, s.play(), []string(nil))
	})
}

// TestFormerHolderReturns guards against a holder that orders again right after another has, whatever brought the lease back to it.
func TestFormerHolderReturns(t *testing.T) {
	for name, tc := range map[string]struct {
		// back brings the lease from the second holder back to the first, and returns who gives it
		// away last.
		back func(s *turnSchedule, first, second instance.ID) instance.ID
		// silent is the time within which somebody must order again.
		silent time.Duration
	}{
		"released": {func(s *turnSchedule, _, second instance.ID) instance.ID {
			s.briefly(s.holders[second].Release)
			s.restart(second, 0)

			return second
		}, 4 * time.Second},
		"handed over": {func(s *turnSchedule, first, second instance.ID) instance.ID {
			s.handOver(second, first)

			return second
		}, 4 * time.Second},
		"handed over, then restarted": {func(s *turnSchedule, first, second instance.ID) instance.ID {
			s.handOver(second, first)
			s.awaitLease(first)
			s.restart(first, 0)
			time.Sleep(100 * time.Millisecond)

			return "" // Either may hold the lease next.
		}, 6 * time.Second},
		"handed over, then handed over again": {func(s *turnSchedule, first, second instance.ID) instance.ID {
			s.handOver(second, first)
			time.Sleep(500 * time.Millisecond)
			s.handOver(first, second)

			return first
		}, 4 * time.Second},
		"expired": {func(s *turnSchedule, _, second instance.ID) instance.ID {
			s.holders[second].store.Close()
			s.after(5*time.Second, s.holders[second].store.Open)

			return second
		}, 9 * time.Second},
		"killed": {func(s *turnSchedule, _, second instance.ID) instance.ID {
			s.restart(second, 4*time.Second)

			return second
		}, 9 * time.Second},
	} {
		for entries := 2; entries <= 3; entries++ {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playReturn(t, entries, tc.back, tc.silent) })
			})
		}
	}
}

// playReturn cuts the lease holder off from the store until another entry orders, and then brings
// the lease back.
func playReturn(t *testing.T, entries int, back func(s *turnSchedule, first, second instance.ID) instance.ID, silent time.Duration) {
	t.Helper()

	draw := rand.New(rand.NewPCG(1, 1))
	s := &turnSchedule{roomSchedule: &roomSchedule{cluster: newClusterOf(t, entries, roomEngine(draw).Engine, 1), draw: draw}, rates: make(map[instance.ID]float64)}

	defer s.end()

	for _, id := range s.peers("") {
		s.rates[id] = 1
	}

	first := s.awaitOrder("", 20*time.Second)
	h := s.holders[first]

	h.store.Close()

	second := s.awaitOrder(first, 20*time.Second)

	h.store.Open()
	time.Sleep(100 * time.Millisecond)

	from := back(s, first, second)
	began := time.Now()

	s.awaitOrder(from, silent)
	t.Logf("nobody ordered for %v", time.Since(began).Round(time.Millisecond))
	s.awaitOrder("", 5*time.Second)
	assert.DeepEqual(t, s.turns(s.worker("w0").Orders()), []string(nil))
}

// awaitLease waits until an entry holds the lease.
func (s *turnSchedule) awaitLease(id instance.ID) {
	for !s.holders[id].Holding() {
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitOrder waits for an order of another holder than the one named, and returns its holder.
func (s *turnSchedule) awaitOrder(not instance.ID, within time.Duration) instance.ID {
	s.t.Helper()

	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.doLater()
		s.askAdapter()

		orders := s.worker("w0").Orders()
		if n := len(orders); n > 0 && time.Since(orders[n-1].At) < 50*time.Millisecond && orders[n-1].Holder != not {
			return orders[n-1].Holder
		}
	}

	assert.Assert(s.t, false, "no order of another than %q for %v", not, within)

	return ""
}
