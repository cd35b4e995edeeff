// Package team describes the operators' teams: who may send requests, with
// which keys, how urgent they are and how much they may use. It does no I/O.
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
	// Tokens counts the tokens of a request's prompt and the most that its
	// answer may have.
	Tokens
)

// Limit is what a team may use over all entries together. The zero value is
// without limit.
type Limit struct {
	// PerSecond is in units a second. Zero means without limit.
	PerSecond float64
	// Burst is how many units may be used at once beside that.
	Burst float64
	Unit  Unit
	// Plain is what a request counts that names no tokens, where tokens are
	// counted.
	Plain float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// Cost returns what a request counts that names so many tokens, or none.
func (l Limit) Cost(tokens int, named bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !named:
		return l.Plain
	}

	return float64(max(0, tokens))
}

// Team is one of a customer's groups of callers.
type Team struct {
	// Name is unique and goes to targets with each request.
	Name string
	Keys []key.Digest
	// Ranked says that Priority goes before that of a request's route.
	Ranked bool
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Limit    Limit
}

// Set finds teams by their keys. The zero value has none. It does not change
// once it is made.
type Set struct {
	byKey  map[key.Digest]holder
	byName map[string]*Team
	// limited says that some team has a limit.
	limited bool
}

// holder is a key and whose it is. The key stands here once more, so that it is
// compared in constant time whatever the map does.
type holder struct {
	key  key.Digest
	team *Team
}

// FaultError says what is wrong with a list of teams. It never holds a key.
type FaultError struct {
	Team   string
	Reason string
}

func (e *FaultError) Error() string { return fmt.Sprintf("team %s: %s", e.Team, e.Reason) }

// NewSet returns the set of the teams. It fails with a *FaultError where they do
// not say clearly whose a key is.
func NewSet(teams []Team) (Set, error) {
	s := Set{byKey: make(map[key.Digest]holder), byName: make(map[string]*Team, len(teams))}

	for i := range teams {
		t := &teams[i]

		if t.Name == "" {
			return Set{}, &FaultError{Reason: "no name"}
		}

		if s.byName[t.Name] != nil {
			return Set{}, &FaultError{Team: t.Name, Reason: "named twice"}
		}

		s.byName[t.Name] = t
		s.limited = s.limited || t.Limit.Bounded()

		for _, k := range t.Keys {
			if other, held := s.byKey[k]; held && other.team != t {
				return Set{}, &FaultError{Team: t.Name, Reason: "has a key of team " + other.team.Name}
			}

			s.byKey[k] = holder{key: k, team: t}
		}
	}

	return s, nil
}

// Len returns how many teams there are.
func (s *Set) Len() int { return len(s.byName) }

// Limited reports whether any team has a limit.
func (s *Set) Limited() bool { return s.limited }

// ByKey returns the team that holds the key, or nil.
func (s *Set) ByKey(k key.Digest) *Team {
	h, ok := s.byKey[k]
	if !ok || subtle.ConstantTimeCompare(h.key[:], k[:]) != 1 {
		return nil
	}

	return h.team
}

// ByName returns the team with the name, or nil.
func (s *Set) ByName(name string) *Team { return s.byName[name] }

// All returns all teams, by name.
func (s *Set) All() []Team {
	out := make([]Team, 0, len(s.byName))
	for _, t := range s.byName {
		out = append(out, *t)
	}

	slices.SortFunc(out, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })

	return out
}

// Narrow returns the teams whose limit does not even allow one request, as
// errors for whoever puts them in force: such a team is refused everything or
// nearly so, which is seldom meant.
func (s *Set) Narrow() []error {
	var out []error

	for _, t := range s.byName {
		l := t.Limit
		if !l.Bounded() {
			continue
		}

		if least := max(1, l.Cost(0, false)); l.Burst < least {
			out = append(out, &FaultError{Team: t.Name, Reason: fmt.Sprintf("the burst of %g does not allow one request of %g", l.Burst, least)})
		}
	}

	return out
}
