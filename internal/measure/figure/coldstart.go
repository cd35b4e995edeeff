// Package figure runs the measurements whose results the documents state, and
// writes them as tables and plots.
package figure

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/fulmarcross/fulmarcross/internal/measure/arrival"
	"github.com/fulmarcross/fulmarcross/internal/measure/replay"
)

// taughtDays come before the measured week.
const taughtDays = 14

// policies are what the frontier compares.
var policies = []replay.Policy{
	replay.KeepAlive{},
	replay.KeepAlive{For: time.Minute},
	replay.KeepAlive{For: 10 * time.Minute},
	replay.KeepAlive{For: time.Hour},
	replay.Product{Weight: 0.25},
	replay.Product{Weight: 0.5},
	replay.Product{Weight: 0.6},
	replay.Product{Weight: 0.75},
	replay.Oracle{Through: 10 * time.Second},
	replay.Oracle{Through: 10 * time.Minute},
}

// Sites make a record of each of the two users.
var Sites = map[string]func(seed uint64, days int) *arrival.Site{
	"platero": arrival.Platero, "vatuvola": arrival.Vatuvola,
}

// UnknownSiteError says that there is no record of a site.
type UnknownSiteError struct{ Site string }

func (e *UnknownSiteError) Error() string { return fmt.Sprintf("no record of site %q", e.Site) }

// run is one replay of the comparison.
type run struct {
	policy int
	seed   int
	result *replay.Result
}

// ColdStart compares the policies on a site's day or week, over the seeds, and
// writes a table and, if dir is not empty, a plot.
func ColdStart(ctx context.Context, w io.Writer, site string, days, seeds int, dir string) error {
	runs, err := replays(ctx, site, days, seeds, policies, nil)
	if err != nil {
		return err
	}

	if _, err := fmt.Fprintf(w, "%s, %d days after %d days of teaching, %d seeds\n", site, days, taughtDays, seeds); err != nil {
		return err
	}

	if err := table(w, policies, runs); err != nil || dir == "" {
		return err
	}

	return frontier(runs, site, filepath.Join(dir, "frontier-"+site+".png"))
}

// incident is something that goes wrong in the middle of the rush.
type incident struct {
	name   string
	change func(o *replay.Options, rush time.Time)
}

var incidents = []incident{
	{"calm", func(*replay.Options, time.Time) {}},
	{"weight store ten times slower for an hour", func(o *replay.Options, rush time.Time) {
		o.SlowWeights, o.SlowAt = 10, rush
	}},
	{"a target reclaimed", func(o *replay.Options, rush time.Time) { o.ReclaimAt = rush }},
	{"nobody decides for 4.5 s, the bound of a take-over", func(o *replay.Options, rush time.Time) {
		o.NoHolderAt, o.NoHolderFor = rush, 4500*time.Millisecond
	}},
}

// Incidents measures the product's policy on a day on which something goes
// wrong in the middle of the rush.
func Incidents(ctx context.Context, w io.Writer, site string, seeds int) error {
	const rush = 9 * time.Hour

	product := []replay.Policy{replay.Product{Weight: 0.6}}

	for _, in := range incidents {
		runs, err := replays(ctx, site, 1, seeds, product, func(o *replay.Options) {
			at := o.From.Add(rush)
			if site == "vatuvola" {
				at = o.From.Add(21 * time.Hour)
			}

			in.change(o, at)
		})
		if err != nil {
			return err
		}

		_, _ = fmt.Fprintf(w, "%s, %s\n", site, in.name)

		if err := table(w, product, runs); err != nil {
			return err
		}
	}

	return nil
}

func replays(
	ctx context.Context, site string, days, seeds int, all []replay.Policy, change func(*replay.Options),
) ([]run, error) {
	build, ok := Sites[site]
	if !ok {
		return nil, &UnknownSiteError{Site: site}
	}

	var (
		mu   sync.Mutex
		runs []run
	)

	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(8) //nolint:mnd // As many as the measuring machine's cores.

	for seed := range seeds {
		record := build(uint64(seed+1), taughtDays+days) //nolint:gosec // Small.

		for i, p := range all {
			g.Go(func() error {
				o := replay.Options{Policy: p, From: record.Start.AddDate(0, 0, taughtDays)}
				o.To = o.From.AddDate(0, 0, days)

				if change != nil {
					change(&o)
				}

				r := replay.Run(record, o)

				mu.Lock()
				defer mu.Unlock()

				runs = append(runs, run{policy: i, seed: seed, result: r})

				return ctx.Err()
			})
		}
	}

	err := g.Wait()

	return runs, err
}

// of returns one number of each of a policy's runs, sorted.
func of(runs []run, policy int, number func(*replay.Result) float64) []float64 {
	var out []float64

	for _, r := range runs {
		if r.policy == policy {
			out = append(out, number(r.result))
		}
	}

	slices.Sort(out)

	return out
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// spread shows the median with the least and the most.
func spread(sorted []float64) string {
	return fmt.Sprintf("%.0f (%.0f-%.0f)", median(sorted), sorted[0], sorted[len(sorted)-1])
}

func wait(q float64) func(*replay.Result) float64 {
	return func(r *replay.Result) float64 { return float64(r.Wait(q)) / float64(time.Millisecond) }
}

func idle(r *replay.Result) float64 { return r.Idle.Hours() }

func table(w io.Writer, all []replay.Policy, runs []run) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "policy\tp50 ms\tp95 ms\tp99 ms\tworst ms\tcold %\tidle hours\tloads\trefused")

	for i, p := range all {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f\t%s\t%s\t%s\n", p,
			spread(of(runs, i, wait(0.5))), spread(of(runs, i, wait(0.95))), spread(of(runs, i, wait(0.99))),
			spread(of(runs, i, wait(1))),
			median(of(runs, i, func(r *replay.Result) float64 { return 100 * float64(r.Cold) / float64(len(r.Waits)) })),
			spread(of(runs, i, idle)),
			spread(of(runs, i, func(r *replay.Result) float64 { return float64(r.Loads) })),
			spread(of(runs, i, func(r *replay.Result) float64 { return float64(r.Refused) })))
	}

	return t.Flush()
}

// frontier plots the tail against idle hours, a line for each kind of policy.
func frontier(runs []run, site, file string) error {
	p := plot.New()
	p.Title.Text = "Cold starts against idle accelerators, " + site
	p.X.Label.Text = "idle accelerator hours in a week"
	p.Y.Label.Text = "p99 wait for a replica, ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min = 0

	lines := make(map[string]plotter.XYs)

	for i, policy := range policies {
		var kind string

		switch policy.(type) {
		case replay.KeepAlive:
			kind = "naive"
		case replay.Product:
			kind = "product"
		case replay.Oracle:
			kind = "oracle"
		}

		lines[kind] = append(lines[kind], plotter.XY{X: median(of(runs, i, idle)), Y: median(of(runs, i, wait(0.99)))})
	}

	for _, xys := range lines {
		slices.SortFunc(xys, func(a, b plotter.XY) int { return int(a.X - b.X) })
	}

	if err := plotutil.AddLinePoints(p, "naive", lines["naive"], "product", lines["product"], "oracle", lines["oracle"]); err != nil {
		return err
	}

	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
