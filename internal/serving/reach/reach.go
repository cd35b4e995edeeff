// Package reach judges whether this entry reaches any target of a service, or is cut off
// from all of them while other entries may reach them. The package does no I/O and reads no
// clock.
package reach

import "time"

// Round is the result of opening connections to some targets of a service at the same time.
type Round struct {
	Began time.Time
	// Tried is the number of targets, and Reached that of those whose connection opened and was
	// not reset at once.
	Tried, Reached int
	// Reset is the number of those whose connection opened and was reset at once.
	Reset int
}

// Service is what an entry knows of its reach to a service's targets. The zero value
// reaches them.
type Service struct {
	// reachedAt is when a new connection to one of them last held, or carried an answer, and
	// answeredAt when any connection last carried one.
	reachedAt, answeredAt time.Time
	// cutSince is when the entry was found to be cut off, zero if it is not.
	cutSince time.Time
}

// recentAnswer is how long an answer shows that connections are reset by targets that have
// too many, and not on their way. Targets in use answer many times in it.
const recentAnswer = 300 * time.Millisecond

// Reached records that a new connection to a target held or carried an answer. Connections that
// are open already prove nothing about new ones: a partition may leave them.
func (s *Service) Reached(now time.Time) {
	s.reachedAt, s.cutSince = now, time.Time{}
}

// Answered records that a connection to a target carried an answer.
func (s *Service) Answered(now time.Time) { s.answeredAt = now }

// Silent reports whether no target has answered lately.
func (s *Service) Silent(now time.Time) bool { return now.Sub(s.answeredAt) >= recentAnswer }

// Judge applies a round and reports whether the entry is cut off from the service: no target
// was reached, in the round or otherwise since it began.
func (s *Service) Judge(r Round, now time.Time) bool {
	switch {
	case r.Reached > 0, r.Reset > 0 && !s.Silent(now):
		s.Reached(now)
	case r.Tried > 0 && s.cutSince.IsZero() && !s.reachedAt.After(r.Began):
		s.cutSince = now
	}

	return s.CutOff()
}

// CutOff reports whether the entry is cut off from the service.
func (s *Service) CutOff() bool { return !s.cutSince.IsZero() }

// CutFor returns for how long the entry has been cut off, zero if it is not.
func (s *Service) CutFor(now time.Time) time.Duration {
	if !s.CutOff() {
		return 0
	}

	return now.Sub(s.cutSince)
}
