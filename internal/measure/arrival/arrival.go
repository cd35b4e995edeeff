// Package arrival makes seeded records of requests that look like the days of
// the two users: few models get most of the requests, sessions come in
// bursts, and mornings or nights repeat with some jitter.
package arrival

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// Use is one request.
type Use struct {
	At    time.Time
	Model string
	// Run is how long it runs on a target of speed 1.
	Run time.Duration
}

// Site is one user's models, targets and record of requests.
type Site struct {
	Name    string
	Models  map[string]weight.Checkpoint
	Targets []replica.Target
	// Uses are sorted by time.
	Uses  []Use
	Start time.Time
	Days  int
}

// shape describes how a site's days look.
type shape struct {
	name             string
	models, adapters int
	speeds           []float64
	// opens and closes bound the hours of use; an earlier close lies on the
	// next day.
	opens, closes time.Duration
	// rush is when most sessions begin, rushShare of them, spread over
	// rushSpread from model to model and by jitter from day to day.
	rush, rushSpread, jitter time.Duration
	rushShare                float64
	// busiest is how many sessions a day the most used model has; the n-th has
	// fewer by n to the power of skew, and at least rarest.
	busiest, skew, rarest float64
	// weekend is the share of a workday's sessions on a Saturday or Sunday.
	weekend float64
	// perSession is the mean number of requests in a session, gap the mean
	// time between them.
	perSession float64
	gap        time.Duration
}

const (
	gib    = int64(1) << 30
	memory = 48 * gib
	// runMean is the mean time of an answer at speed 1.
	runMean = 5 * time.Second
)

// Platero is Contraste Platero's site: mornings that repeat, and cold nights.
func Platero(seed uint64, days int) *Site {
	return build(seed, days, shape{
		name: "platero", models: 100, adapters: 95, speeds: workers(18, 3), //nolint:mnd // The brief's sizes.
		opens: 8 * time.Hour, closes: 18 * time.Hour, rush: 8*time.Hour + 15*time.Minute, rushSpread: 75 * time.Minute,
		jitter: 6 * time.Minute, rushShare: 0.6, busiest: 12, skew: 0.7, rarest: 0.3, weekend: 0.15,
		perSession: 12, gap: 25 * time.Second,
	})
}

// Vatuvola is Vatuvola Linewatch's site: summaries at night, crews by day.
func Vatuvola(seed uint64, days int) *Site {
	return build(seed, days, shape{
		name: "vatuvola", models: 50, adapters: 60, speeds: workers(9, 3), //nolint:mnd // The brief's sizes.
		opens: 19 * time.Hour, closes: 5 * time.Hour, rush: 20 * time.Hour, rushSpread: 4 * time.Hour,
		jitter: 15 * time.Minute, rushShare: 0.7, busiest: 10, skew: 0.6, rarest: 0.3, weekend: 0.6,
		perSession: 20, gap: 12 * time.Second,
	})
}

// workers returns the speeds of targets that were bought over years.
func workers(groups ...int) []float64 {
	kinds := []float64{1, 2, 4}

	var speeds []float64

	for _, n := range groups {
		for i := range n {
			speeds = append(speeds, kinds[i%len(kinds)])
		}
	}

	return speeds
}

func build(seed uint64, days int, sh shape) *Site {
	rng := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A reproducible record.
	s := &Site{
		Name: sh.name, Models: make(map[string]weight.Checkpoint), Days: days,
		Start: time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC), // A Monday.
	}

	for i, speed := range sh.speeds {
		s.Targets = append(s.Targets, replica.Target{
			ID: instance.ID(fmt.Sprintf("worker-%02d", i)), Memory: memory, Speed: speed, Slots: 8, Usable: true,
		})
	}

	for i := range sh.models {
		name := fmt.Sprintf("model-%03d", i)
		s.Models[name] = weight.Checkpoint{Name: name, Bytes: (8 + rng.Int64N(17)) * gib}
		s.addUses(rng, &sh, name, max(sh.rarest, sh.busiest/math.Pow(float64(i+1), sh.skew)))
	}

	for i := range sh.adapters {
		name := fmt.Sprintf("adapter-%03d", i)
		base := fmt.Sprintf("model-%03d", rng.IntN(sh.models))
		s.Models[name] = weight.Checkpoint{Name: name, Base: base, Bytes: 128 << 20}
		s.addUses(rng, &sh, name, max(sh.rarest, sh.busiest/2/math.Pow(float64(i+1), sh.skew)))
	}

	slices.SortStableFunc(s.Uses, func(a, b Use) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Model, b.Model)) })

	return s
}

// addUses adds the sessions of one model over all days.
func (s *Site) addUses(rng *rand.Rand, sh *shape, model string, perDay float64) {
	rush := sh.rush + time.Duration(rng.Float64()*float64(sh.rushSpread))

	open := sh.closes - sh.opens
	if open < 0 {
		open += 24 * time.Hour
	}

	for day := range s.Days {
		midnight := s.Start.AddDate(0, 0, day)

		mean := perDay
		if wd := midnight.Weekday(); wd == time.Saturday || wd == time.Sunday {
			mean *= sh.weekend
		}

		for range poisson(rng, mean) {
			begin := midnight.Add(sh.opens + time.Duration(rng.Float64()*float64(open)))
			if rng.Float64() < sh.rushShare {
				begin = midnight.Add(rush + time.Duration(rng.NormFloat64()*float64(sh.jitter)))
			}

			s.addSession(rng, sh, model, begin)
		}
	}
}

func (s *Site) addSession(rng *rand.Rand, sh *shape, model string, at time.Time) {
	for range 1 + poisson(rng, sh.perSession-1) {
		run := time.Duration((0.4 + 0.6*rng.ExpFloat64()) * float64(runMean))
		s.Uses = append(s.Uses, Use{At: at, Model: model, Run: run})
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(sh.gap)))
	}
}

// poisson draws a count with the mean, by multiplying uniform numbers.
func poisson(rng *rand.Rand, mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, 0

	for {
		p *= rng.Float64()
		if p <= limit {
			return n
		}

		n++
	}
}
