package holder

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// cautiousCapacity is the initial estimate for a weight store whose loads outlast
	// the clients of streams, and cautiousStep how much more is tried when loads end
	// as expected.
	cautiousCapacity = 1
	cautiousStep     = 1
	// maxProbePause is the longest time without trying a larger estimate for such a
	// store. The time is doubled from probePause with each capacity that was too
	// large.
	maxProbePause = 16 * time.Minute
	// hungFactor is how many times its planned duration a load from such a store
	// takes until it is no longer counted as in flight, so that one that never ends
	// does not occupy a store that serves one load.
	hungFactor = 3
)

// outlastsClients reports whether a load from the weight store takes longer than any
// client of the service's streams waits for a response. Then a load that shares the
// store with others is of no use to any client that waits now, and each of them delays
// the models that clients need most.
func outlastsClients(routes *route.Config, service string) bool {
	e := routes.Services[service].Engine
	if e == nil || !e.SmallBatch() {
		return false
	}

	longest := time.Duration(0)

	for i := range routes.Routes {
		r := &routes.Routes[i]
		if r.Kind != route.Stream || !slices.ContainsFunc(r.Splits, func(s route.Split) bool { return s.Service == service }) {
			continue
		}

		longest = max(longest, r.ClientTimeout())
	}

	return longest > 0 && slowestLoad(e) > longest
}

// step returns how much the estimate is raised when loads end as expected.
func (c *storeCapacity) step() float64 {
	if c.cautious {
		return cautiousStep
	}

	return capacityStep
}

// pauseProbes sets the time until which no larger estimate is tried.
func (c *storeCapacity) pauseProbes(now time.Time) {
	switch {
	case !c.cautious || c.pause == 0:
		c.pause = probePause
	case now.After(c.noProbeUntil):
		c.pause = min(2*c.pause, maxProbePause)
	}

	c.noProbeUntil = now.Add(c.pause)
}

// usesStore reports whether a load from the weight store counts as in flight.
func (eng *trackedEngine) usesStore(cautious bool, now time.Time) bool {
	if eng.storeLoadModel == "" {
		return false
	}

	hung := cautious && eng.unacceptedLoad == "" && now.Sub(eng.loadStarted) > hungFactor*eng.loadTime

	return !hung
}

// overdue reports whether the load that the engine has accepted has taken overdueFactor
// times its planned duration.
func (eng *trackedEngine) overdue(now time.Time) bool {
	return eng.unacceptedLoad == "" && now.Sub(eng.loadStarted) > time.Duration(overdueFactor*float64(eng.loadTime))
}
