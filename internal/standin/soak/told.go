package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// maxModelsAge is the age that models in reports stay below: they are some hundred
	// milliseconds old.
	maxModelsAge = 900 * time.Millisecond
	// maxTwice is the largest number of calls in a row that are answered twice.
	maxTwice = 30
)

// answerTwice is the trouble in which an engine answers calls twice, leaves orders for later, and
// reports models that are older than the rest.
func (s *soak) answerTwice(draw *rand.Rand, engine instance.ID) event {
	f := worker.Faults{
		TwiceAnswered: 1 + draw.IntN(maxTwice), OldModels: time.Duration(draw.Int64N(int64(maxModelsAge))),
		LateOrders: draw.IntN(2), Late: troubleMost / 2, //nolint:mnd // Half the time none, and some.
	}

	return event{
		name:  fmt.Sprintf("%s answers %d calls twice, its models are %v old", engine, f.TwiceAnswered, f.OldModels),
		begin: func() { s.site.Workers[engine].SetFaults(f) },
		end:   func() { s.site.Workers[engine].SetFaults(worker.Faults{}) },
	}
}

// startAnew is the trouble in which an engine starts again, empty, under its id.
func (s *soak) startAnew(engine instance.ID) event {
	return event{
		name:    string(engine) + " starts anew",
		begin:   func() { s.targets[engine].set(Reset) },
		end:     func() { s.startNext(engine, versions[0]) },
		excuses: string(engine),
	}
}
