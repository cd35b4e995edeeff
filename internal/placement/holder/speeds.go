package holder

import (
	"math"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
)

const (
	// speedEvents is the number of pauses after which two thirds of an error in a
	// target's speed are corrected. A target with six streams yields that many in about
	// half a second to a second.
	speedEvents = 70
	// paceEvents is the same for a model's pace. It is longer, so that the models of a
	// target that is slow for some seconds keep their paces.
	paceEvents = 2000
	// maxSpeedStep and maxPaceStep limit the change of a logarithm by one report of one
	// entry, so that no single sample is decisive: a request may take several times as
	// long as others.
	maxSpeedStep = 0.08
	maxPaceStep  = 0.04
	// minSpeedEvents is the number of pauses from which on a speed is published.
	minSpeedEvents = 40
	// baseSpan is the time constant with which a target's usual speed follows its present
	// one, and returnSpan that with which the present speed returns to the usual one
	// while there are no samples: a slow target gets few requests and would otherwise
	// stay slow for ever.
	baseSpan   = 20 * time.Second
	returnSpan = 1500 * time.Millisecond
	// sampleLapse is the time without a sample after which the present speed returns. It
	// is longer than an entry's report interval.
	sampleLapse = time.Second
	// minSpeed and maxSpeed bound a published speed.
	minSpeed = 0.2
	maxSpeed = 5
)

// speed estimates the speed of a target's process, as a logarithm. The zero value is
// unknown.
type speed struct {
	// now is the present speed, usual the one that it returns to.
	now, usual float64
	events     int
	// sampled is when the last sample was applied, advanced when time was last taken into
	// account.
	sampled, advanced time.Time
}

// pace estimates the logarithm of the pause between two events of a model, in seconds, on
// a target of speed one. The zero value is unknown.
type pace struct {
	log    float64
	events int
}

// observe applies an entry's sample of several pauses of a model on the target. A sample
// that is longer than the model's pace means a slow target; part of it is attributed to
// the model.
func (s *speed) observe(p *pace, events int, total time.Duration, now time.Time) {
	if events <= 0 || total <= 0 {
		return
	}

	s.advance(now)

	x := math.Log(total.Seconds() / float64(events))
	if p.events == 0 {
		p.log = x + s.now
	}

	// diff is positive if the target is slower than estimated.
	diff := x - (p.log - s.now)
	gain := 1 - math.Exp(-float64(events)/speedEvents)
	s.now -= clampStep(gain*diff, maxSpeedStep)

	// A pace that is based on few pauses is corrected faster.
	paceGain := max(float64(events)/float64(p.events+events), 1-math.Exp(-float64(events)/paceEvents))
	p.log += clampStep(paceGain*diff, maxPaceStep)

	if s.events == 0 {
		s.usual = s.now
	}

	s.events += events
	p.events += events
	s.sampled = now
}

// advance takes the time since the last call into account.
func (s *speed) advance(now time.Time) {
	passed := now.Sub(s.advanced)
	s.advanced = now

	switch {
	case s.events == 0 || passed <= 0:
	case now.Sub(s.sampled) > sampleLapse:
		s.now = s.usual + (s.now-s.usual)*math.Exp(-passed.Seconds()/returnSpan.Seconds())
	default:
		s.usual += (s.now - s.usual) * (1 - math.Exp(-passed.Seconds()/baseSpan.Seconds()))
	}
}

// known reports whether there are enough samples to publish the speed.
func (s *speed) known() bool { return s.events >= minSpeedEvents }

// adopt sets a speed that another holder has published; zero means unknown.
func (s *speed) adopt(published float64) {
	if published > 0 {
		s.now = math.Log(published)
		s.usual, s.events = s.now, minSpeedEvents
	}
}

func clampStep(x, limit float64) float64 { return max(-limit, min(limit, x)) }

// recordPauses applies an entry's pauses to the speeds. The caller holds the lock.
func (h *Holder) recordPauses(uses []demand.Use, now time.Time) {
	routes := h.cfg.Routes()
	if routes == nil {
		return
	}

	for _, u := range uses {
		eng := h.engines[u.Target]
		if eng == nil || u.Events == 0 {
			continue
		}

		if e := routes.Services[eng.target.Service].Engine; e == nil || !e.SmallBatch() {
			continue
		}

		if h.paces == nil {
			h.paces = make(map[string]*pace)
		}

		key := ModelOf(u.Model)
		if h.paces[key] == nil {
			h.paces[key] = &pace{}
		}

		eng.speed.observe(h.paces[key], u.Events, u.EventTime, now)
	}
}

// speedsByService returns the mean logarithm of the known speeds of each service. The
// caller holds the lock.
func (h *Holder) speedsByService(now time.Time) map[string]float64 {
	sums, counts := make(map[string]float64), make(map[string]int)

	for _, eng := range h.engines {
		eng.speed.advance(now)

		if eng.speed.known() {
			sums[eng.target.Service] += eng.speed.now
			counts[eng.target.Service]++
		}
	}

	for service, n := range counts {
		sums[service] /= float64(n)
	}

	return sums
}

// publishedSpeed returns the target's speed in relation to the mean of its service, or
// zero if it is unknown.
func (eng *trackedEngine) publishedSpeed(means map[string]float64) float64 {
	if !eng.speed.known() {
		return 0
	}

	return max(minSpeed, min(maxSpeed, math.Exp(eng.speed.now-means[eng.target.Service])))
}
