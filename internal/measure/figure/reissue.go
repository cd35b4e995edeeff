package figure

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/stream"
)

// lossy is how first tokens come from a target: log-normal, and some never.
type lossy struct {
	name string
	lost float64
	// utilisation is the share of the slots that is busy without reissues.
	utilisation float64
}

var surroundings = []lossy{
	{"calm", 0, 0.3},
	{"1% of first tokens lost", 0.01, 0.3},
	{"5% of first tokens lost", 0.05, 0.3},
	{"high load", 0, 0.9},
	{"high load, 1% lost", 0.01, 0.9},
}

// reissue says how long to wait before a request is sent again.
type reissue struct {
	name  string
	after func(past []time.Duration, g *stream.GapEstimator) time.Duration
}

const never = time.Minute

var reissues = []reissue{
	{"never", func([]time.Duration, *stream.GapEstimator) time.Duration { return never }},
	{"fixed 500 ms", func([]time.Duration, *stream.GapEstimator) time.Duration { return 500 * time.Millisecond }},
	{"Jacobson/Karels", func(_ []time.Duration, g *stream.GapEstimator) time.Duration { return g.Bound() }},
	{"histogram optimum", optimum},
}

// optimum is the restart time that minimises the mean, found on the histogram
// of past times as Wolter and Reinecke describe ("Stochastic Models for
// Dependable Services", 2010, equation 2).
func optimum(past []time.Duration, _ *stream.GapEstimator) time.Duration {
	const least = 50

	if len(past) < least {
		return never
	}

	sorted := slices.Clone(past)
	slices.Sort(sorted)

	best, at := math.Inf(1), never
	sum := 0.0

	for i, d := range sorted {
		if d >= never {
			break
		}

		sum += d.Seconds()
		done := float64(i+1) / float64(len(sorted))
		mean := sum/float64(len(sorted))/done + (1-done)*d.Seconds()/done

		if mean < best {
			best, at = mean, d
		}
	}

	return at
}

// Reissue measures when to send a request again before its first token.
func Reissue(w io.Writer, seed uint64) error {
	const requests, window = 20000, 500

	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "surroundings\treissue\tp50 ms\tp95 ms\tp99 ms\tmean ms\tsent per request")

	for _, s := range surroundings {
		for _, r := range reissues {
			rng := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A reproducible load.

			var (
				past   []time.Duration
				gap    stream.GapEstimator
				times  []time.Duration
				sends  int
				factor = 1.0
			)

			for n := range requests {
				took, sent := s.serve(rng, r.after(past, &gap), factor, &past, &gap)
				times = append(times, took)
				sends += sent
				past = past[max(0, len(past)-window):]

				// More sendings fill the slots, and a fuller target is slower.
				if n%100 == 99 { //nolint:mnd // Now and then.
					busy := min(0.98, s.utilisation*float64(sends)/float64(n+1)) //nolint:mnd // Below one.
					factor = (1 - s.utilisation) / (1 - busy)
				}
			}

			slices.Sort(times)

			var sum time.Duration
			for _, d := range times {
				sum += d
			}

			at := func(q float64) int64 { return times[int(q*float64(len(times)-1))].Milliseconds() }
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\n", s.name, r.name, at(0.5), at(0.95), at(0.99),
				(sum / requests).Milliseconds(), float64(sends)/requests)
		}
	}

	return t.Flush()
}

// serve returns when the first token came and how often the request was sent.
// Each try starts from nothing, as a cancelled one does on an engine.
func (s lossy) serve(rng *rand.Rand, after time.Duration, factor float64, past *[]time.Duration, g *stream.GapEstimator) (time.Duration, int) {
	const (
		median = 0.2
		sigma  = 0.5
		most   = 8
	)

	var total time.Duration

	for sent := 1; ; sent++ {
		took := time.Duration(median * math.Exp(sigma*rng.NormFloat64()) * factor * float64(time.Second))
		if rng.Float64() < s.lost {
			took = never
		}

		if took <= after || sent == most {
			if took < never {
				*past = append(*past, took)
				g.Observe(took)
			}

			return total + took, sent
		}

		// What was cut off is known only to have lasted longer.
		*past = append(*past, never)
		total += after
	}
}
