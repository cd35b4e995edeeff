package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// soundRuns holds when fingerprints last ran soundly in the current period and in the one before.
// The zero value is empty.
type soundRuns struct {
	current, previous map[request.Fingerprint]time.Time
	// began is when the current period began.
	began time.Time
}

func (s *soundRuns) add(fp request.Fingerprint, at, now time.Time) {
	s.expire(now)

	if len(s.current) >= maxSound {
		s.next(now)
	}

	if s.current == nil {
		s.current = make(map[request.Fingerprint]time.Time)
	}

	s.current[fp] = clock.Later(s.current[fp], at)
}

// last returns the time of the last sound run; zero means that none is known.
func (s *soundRuns) last(fp request.Fingerprint, now time.Time) time.Time {
	s.expire(now)

	return clock.Later(s.current[fp], s.previous[fp])
}

// expire ends periods that are over.
func (s *soundRuns) expire(now time.Time) {
	if now.Sub(s.began) >= 2*soundPeriod {
		s.current = nil
	}

	if now.Sub(s.began) >= soundPeriod {
		s.next(now)
	}
}

// next begins a period.
func (s *soundRuns) next(now time.Time) {
	s.previous, s.current, s.began = s.current, nil, now
}
