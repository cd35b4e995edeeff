package holder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/standin/schedule"
)

// rateLimit returns the rate limit that an engine states.
func (cl *cluster) rateLimit(id instance.ID) ratelimit.Limit {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return ratelimit.Limit{Stated: cl.limited[id], PerSecond: 1}
}

// refuses reports whether an engine refuses all calls.
func (cl *cluster) refuses(id instance.ID) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.refusing[id]
}

// set changes what is so of an engine.
func (cl *cluster) set(what map[instance.ID]bool, id instance.ID, to bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	what[id] = to
}

// stateSomething makes a worker refuse all calls, state a rate limit, ask for rest, or leave and
// come back as another process.
func (s *roomSchedule) stateSomething(w instance.ID) {
	length := s.between(300*time.Millisecond, 4*time.Second)

	switch s.draw.IntN(4) {
	case 0:
		s.set(s.refusing, w, true)
		s.after(length, func() { s.set(s.refusing, w, false) })
	case 1:
		s.set(s.limited, w, true)
		s.after(length, func() { s.set(s.limited, w, false) })
	case 2:
		for _, h := range s.holders {
			_ = h.Report(demand.Report{Entry: "e", Resting: []demand.Rest{{Target: w, Left: length}}}, nil) // Only the holder takes it.
		}
	default:
		s.set(s.leaving, w, true)
		s.after(length, func() {
			s.restartWorker(w)
			s.set(s.leaving, w, false)
		})
	}
}

// TestRoomOfTargetsThatStateSomething guards against orders that a target cannot carry out for want of room where targets refuse calls, state limits, ask for rest and leave beside late orders.
func TestRoomOfTargetsThatStateSomething(t *testing.T) {
	schedule.Each(t, schedulePrefix, roomSchedules, 6, func(t *testing.T, draw *rand.Rand) {
		playRoomSchedule(t, roomSchedule{draw: draw, states: true})
	})
}
