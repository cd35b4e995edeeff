// Package reach judges whether this entry reaches any target of a service, or is cut off
// from all of them while other entries may reach them. The package does no I/O and reads no
// clock.
package reach

import "time"

// Round is the result of opening connections to some targets of a service at the same time.
type Round struct {
	Began time.Time
	// Tried is the number of targets, and Reached that of those whose connection opened.
	Tried, Reached int
}

// Service is what an entry knows of its reach to a service's targets. The zero value
// reaches them.
type Service struct {
	// reachedAt is when a new connection to one of them last opened.
	reachedAt time.Time
	// cutSince is when the entry was found to be cut off, zero if it is not.
	cutSince time.Time
}

// Reached records that a new connection to a target opened. Connections that are open
// already prove nothing: a partition may leave them.
func (s *Service) Reached(now time.Time) {
	s.reachedAt, s.cutSince = now, time.Time{}
}

// Judge applies a round and reports whether the entry is cut off from the service: no target
// was reached, in the round or otherwise since it began.
func (s *Service) Judge(r Round, now time.Time) bool {
	switch {
	case r.Reached > 0:
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
