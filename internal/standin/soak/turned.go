package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// turnedPart begins the name of a part of a prompt that crashes engines after it has run soundly.
	turnedPart = crashingPart + "turned"
	// turnedRuns is the largest number of these sound runs, and turnedLead the time that they take.
	turnedRuns = 300
	turnedLead = 5 * time.Second
	// turnedPause is the shortest pause between two requests that crash engines.
	turnedPause = 100 * time.Millisecond
)

// turnedPart is the trouble in which a part of prompts has run soundly and then crashes engines.
func (s *soak) turnedPart(draw *rand.Rand) event {
	spacing := turnedPause + time.Duration(draw.Int64N(int64(2*turnedPause)))
	runs := 1 + draw.IntN(turnedRuns)

	s.crashes.next++
	number := s.crashes.next
	part := fmt.Sprint(turnedPart, number)

	return s.sendCrashing(crashingSeries{
		name: fmt.Sprintf("a part of prompts crashes engines after %d sound runs", runs), least: turnedLead + 2*crashLength, patience: callFor, route: "/note/x",
		request: func(n int) (string, string) {
			return fmt.Sprint("part of turned ", number, " ", n), fmt.Sprintf("shared:10,%s:10,new%d:5", part, n)
		},
		before: func(n int) time.Duration {
			if n < runs {
				return turnedLead / time.Duration(runs)
			}

			s.crashes.turn(part)

			return spacing
		},
	})
}
