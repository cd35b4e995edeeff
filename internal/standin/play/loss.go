package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/standin/rows"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
)

// WrittenAgain is the time within which targets write their rows again after the store has come back
// from a copy.
const WrittenAgain = 1500 * time.Millisecond

// Loss is what a store has lost when it comes back from a copy, and what happens around it.
type Loss struct {
	// Versions are lost with the copy, whose age is three seconds.
	Versions int
	// Away is how long the store answers nothing before it returns.
	Away time.Duration
	// After are versions that are given out between the return and its first answer, after
	// Then has been called.
	After int
	Then  func(*site.Site)
}

// fill gives out versions of the store.
func fill(s *site.Site, n int) {
	for i := range n {
		s.Store.Put("others", fmt.Sprint(i), []byte("x"))
	}
}

// Lose makes a site's store lose what was written after a copy and come back.
func Lose(s *site.Site, c rows.Copy, l Loss) {
	fill(s, l.Versions)
	time.Sleep(3 * time.Second)

	for _, e := range s.Entries {
		e.Door.SetFaults(rows.Faults{Down: l.Away > 0})
	}

	time.Sleep(l.Away)
	s.Return(c, WrittenAgain, rand.New(rand.NewPCG(1, 2))) //nolint:gosec // Seeded.

	if l.Then != nil {
		l.Then(s)
	}

	fill(s, l.After)

	for _, e := range s.Entries {
		e.Door.SetFaults(rows.Faults{})
	}
}
