package soak

import (
	"fmt"
	"math/rand/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// endlessMost is the largest number of answers without end that follow each other.
const endlessMost = 20

// answerWithoutEnd is the trouble in which a target's next answers are bytes without end.
func (s *soak) answerWithoutEnd(draw *rand.Rand) event {
	return s.faulty(draw, "have no end", func(answers int) worker.Faults { return worker.Faults{EndlessAnswers: answers} })
}

// makeEndless are the troubles in which a target's next answers are bytes without end, at full
// speed.
func (s *soak) makeEndless(draw *rand.Rand, engine instance.ID) []event {
	reports := 1 + draw.IntN(endlessMost)

	return []event{
		s.faulty(draw, "gush without end", func(answers int) worker.Faults { return worker.Faults{Gushes: answers} }),
		s.faulty(draw, "have heads that gush without end", func(answers int) worker.Faults { return worker.Faults{GushedHeads: answers} }),
		{
			name:  fmt.Sprintf("%d reports of %s gush without end", reports, engine),
			begin: func() { s.site.Workers[engine].SetFaults(worker.Faults{GushedReports: reports}) },
			end:   func() { s.site.Workers[engine].SetFaults(worker.Faults{}) },
		},
	}
}

// faulty is the trouble in which some next answers of a plain target have a fault.
func (s *soak) faulty(draw *rand.Rand, what string, faults func(answers int) worker.Faults) event {
	id := instance.ID(fmt.Sprintf("desk-%d", draw.IntN(len(s.site.Desks))))
	answers := 1 + draw.IntN(endlessMost)

	return event{
		name:  fmt.Sprintf("%d answers of %s %s", answers, id, what),
		begin: func() { s.site.Desks[id].SetFaults(faults(answers)) },
		end:   func() { s.site.Desks[id].SetFaults(worker.Faults{}) },
	}
}
