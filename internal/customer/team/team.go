// Package team describes the operators' teams: their keys, priorities and limits. It
// does no I/O.
package team

import (
	"cmp"
	"crypto/subtle"
	"fmt"
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
)

// Unit is what a limit counts. The zero value counts requests.
type Unit int

// The units of limits.
const (
	// Requests counts one for each request.
	Requests Unit = iota
	// Tokens counts the tokens of a request's prompt and the maximum of its answer.
	Tokens
)

// Limit is what a team may use over all entries together. The zero value is
// unlimited.
type Limit struct {
	// PerSecond is in units per second. Zero means unlimited.
	PerSecond float64
	// Burst is the capacity of the team's token bucket: how many units may be used at
	// once when it is full.
	Burst float64
	Unit  Unit
	// DefaultCost is the cost of a request that states no number of tokens, if the
	// limit counts tokens.
	DefaultCost float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// Cost returns the cost of a request. If the limit counts tokens, that is the
// request's number of tokens if stated is true, and DefaultCost otherwise.
func (l Limit) Cost(tokens int, stated bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !stated:
		return l.DefaultCost
	}

	return float64(max(0, tokens))
}

// Team is one of a customer's groups of clients.
type Team struct {
	// Name is unique and is sent to targets with each request.
	Name string
	Keys []key.Digest
	// HasPriority says that Priority takes precedence over the priority of a request's
	// route.
	HasPriority bool
	// Priority is the team's priority; 0 is the most urgent.
	Priority int
	Limit    Limit
}

// Set is an immutable index of teams by key and by name. The zero value is empty.
type Set struct {
	byKey  map[key.Digest]teamKey
	byName map[string]*Team
	// limited says that at least one team has a limit.
	limited bool
}

// teamKey is a key and the team that has it. The key is stored here again, so
// that it is compared in constant time, which the map's lookup does not ensure.
type teamKey struct {
	key  key.Digest
	team *Team
}

// InvalidError says what is wrong with a list of teams. It never contains a key.
type InvalidError struct {
	Team   string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("team %s: %s", e.Team, e.Reason) }

// NewSet returns the set of the teams. It fails if a team has no name, or if two
// teams have the same name or share a key.
func NewSet(teams []Team) (Set, error) {
	s := Set{byKey: make(map[key.Digest]teamKey), byName: make(map[string]*Team, len(teams))}

	for i := range teams {
		t := &teams[i]

		if t.Name == "" {
			return Set{}, &InvalidError{Reason: "no name"}
		}

		if s.byName[t.Name] != nil {
			return Set{}, &InvalidError{Team: t.Name, Reason: "named twice"}
		}

		s.byName[t.Name] = t
		s.limited = s.limited || t.Limit.Bounded()

		for _, k := range t.Keys {
			if other, found := s.byKey[k]; found && other.team != t {
				return Set{}, &InvalidError{Team: t.Name, Reason: "has a key of team " + other.team.Name}
			}

			s.byKey[k] = teamKey{key: k, team: t}
		}
	}

	return s, nil
}

// Len returns the number of teams.
func (s *Set) Len() int { return len(s.byName) }

// Limited reports whether any team has a limit.
func (s *Set) Limited() bool { return s.limited }

// ByKey returns the team that has the key, or nil.
func (s *Set) ByKey(k key.Digest) *Team {
	found, ok := s.byKey[k]
	if !ok || subtle.ConstantTimeCompare(found.key[:], k[:]) != 1 {
		return nil
	}

	return found.team
}

// ByName returns the team with the name, or nil.
func (s *Set) ByName(name string) *Team { return s.byName[name] }

// All returns all teams, sorted by name.
func (s *Set) All() []Team {
	out := make([]Team, 0, len(s.byName))
	for _, t := range s.byName {
		out = append(out, *t)
	}

	slices.SortFunc(out, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })

	return out
}

// CheckBursts returns an error for each team whose burst does not allow even one
// request. Such a team is refused all or nearly all requests, which is rarely
// intended, so the configuration that contains it should be reported.
func (s *Set) CheckBursts() []error {
	var out []error

	for _, t := range s.byName {
		l := t.Limit
		if !l.Bounded() {
			continue
		}

		if least := max(1, l.Cost(0, false)); l.Burst < least {
			out = append(out, &InvalidError{Team: t.Name, Reason: fmt.Sprintf("the burst of %g does not allow one request of %g", l.Burst, least)})
		}
	}

	return out
}
