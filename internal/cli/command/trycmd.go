package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/trial"
)

// tryCmd runs the whole path in one process.
type tryCmd struct {
	JSON   bool          `help:"Print one JSON object last."           name:"json"`
	Faults bool          `help:"Bring about failures during the load."`
	For    time.Duration `help:"How long requests are sent."`
	Cells  int           `default:"1"                                  help:"How many cells the targets are split into."`
	Story  bool          `help:"Tell the slowest request's story."`
	Seed   uint64        `default:"1"                                  help:"Seed of the load."`

	Platform bool `help:"Play a calm day of entries on stand-ins of the users' platform."`
}

// How long requests are sent by default. With what comes before and after, a
// trial ends within 30 s.
const (
	calmFor   = 10 * time.Second
	faultsFor = 18 * time.Second
)

var errBroken = errors.New("a promise was broken")

// Run runs the command.
func (c *tryCmd) Run(ctx context.Context, s *streams, logger zerolog.Logger) error {
	opt := trial.Options{Seed: c.Seed, For: c.For, Faults: c.Faults, Cells: c.Cells, Logger: logger.Level(zerolog.ErrorLevel)}

	if opt.For == 0 {
		opt.For = calmFor
		if c.Faults {
			opt.For = faultsFor
		}
	}

	if isTerminal(s.err) {
		opt.Progress = s.err
	}

	r, err := c.play(ctx, opt)
	if err != nil {
		return err
	}

	if opt.Progress != nil {
		_, _ = fmt.Fprint(opt.Progress, "\r\x1b[K")
	}

	if c.Story {
		printEvents(s.out, r.Slowest)
	}

	if c.JSON {
		err = json.NewEncoder(s.out).Encode(fromReport(&r))
	} else {
		err = printReport(s.out, &r, c.Platform)
	}

	if err == nil && r.Broken() {
		return errBroken
	}

	return err
}

func (c *tryCmd) play(ctx context.Context, opt trial.Options) (trial.Report, error) {
	if c.Platform {
		return site.Try(ctx, c.Seed, opt.For, io.Discard)
	}

	return trial.Run(ctx, opt)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}

	info, err := f.Stat()

	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// tryReport is a trial's report in JSON.
type tryReport struct {
	Requests               int64   `json:"requests"`
	Answered               int64   `json:"answered"`
	Refused                int64   `json:"refused"`
	Lost                   int64   `json:"lost"`
	Crossed                int64   `json:"crossed"`
	Truncated              int64   `json:"truncated"`
	Doubled                int64   `json:"doubled"`
	UntrueRefusals         int64   `json:"untrueRefusals"`
	Late                   int64   `json:"late"`
	Overcommitted          int64   `json:"overcommitted"`
	ExcessReplicas         int64   `json:"excessReplicas"`
	ColdStartP99Ms         float64 `json:"coldStartP99Ms"`
	FirstTokenP95Ms        float64 `json:"firstTokenP95Ms"`
	IdleAcceleratorSeconds float64 `json:"idleAcceleratorSeconds"`
	AddedLatencyP50Us      int64   `json:"addedLatencyP50Us"`
	AddedLatencyP99Us      int64   `json:"addedLatencyP99Us"`
	ColdStarts             int64   `json:"coldStarts"`
	PoisonCrashes          int     `json:"poisonCrashes"`
	TableReads             int64   `json:"tableReads"`
	TableWrites            int64   `json:"tableWrites"`
	// RefusedBy counts the refusals by code.
	RefusedBy map[string]int `json:"refusedBy,omitempty"`
}

func fromReport(r *trial.Report) tryReport {
	out := tryReport{
		Requests:               r.Requests,
		Answered:               r.Answered,
		Refused:                r.Refused,
		Lost:                   r.Lost,
		Crossed:                r.Crossed,
		Truncated:              r.Truncated,
		Doubled:                r.Doubled,
		UntrueRefusals:         r.UntrueRefusals,
		Late:                   r.Late,
		Overcommitted:          r.Overcommitted,
		ExcessReplicas:         r.ExcessReplicas,
		ColdStartP99Ms:         milliseconds(r.ColdStartP99),
		FirstTokenP95Ms:        milliseconds(r.FirstTokenP95),
		IdleAcceleratorSeconds: r.IdleAccelerators.Seconds(),
		AddedLatencyP50Us:      r.AddedLatencyP50.Microseconds(),
		AddedLatencyP99Us:      r.AddedLatencyP99.Microseconds(),
		ColdStarts:             r.ColdStarts,
		PoisonCrashes:          r.PoisonCrashes,
		TableReads:             r.TableReads,
		TableWrites:            r.TableWrites,
		RefusedBy:              make(map[string]int),
	}

	for code, n := range r.Refusals {
		out.RefusedBy[string(code)] = n
	}

	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// printReport prints the figures. A platform trial does not measure the last
// ones.
func printReport(w io.Writer, r *trial.Report, platform bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name string, v any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", name, v) }

	line("requests", r.Requests)
	line("answered", r.Answered)
	line("refused", r.Refused)

	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		line("  "+string(code), r.Refusals[code])
	}

	line("lost", r.Lost)
	line("crossed", r.Crossed)
	line("truncated", r.Truncated)
	line("doubled", r.Doubled)
	line("untrue refusals", r.UntrueRefusals)
	line("late", r.Late)
	line("overcommitted", r.Overcommitted)
	line("cold start p99", r.ColdStartP99)
	line("first token p95", r.FirstTokenP95)

	if platform {
		return t.Flush()
	}

	line("excess replicas", r.ExcessReplicas)
	line("idle accelerators", r.IdleAccelerators)
	line("added latency p50", r.AddedLatencyP50)
	line("added latency p99", r.AddedLatencyP99)

	return t.Flush()
}

// printEvents prints events, one a line, with the time since the first.
func printEvents(w io.Writer, events []timeline.Event) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)

	for _, e := range events {
		since := e.At.Time().Sub(events[0].At.Time())
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", since, e.Instance, e.Kind, e.Model, e.Target, e.Detail)
	}

	_ = t.Flush()
}
