package command

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/measure/figure"
)

// measureCmd reproduces the figures of docs/MEASUREMENTS.md.
type measureCmd struct {
	ColdStart measureColdStartCmd `cmd:"" help:"Cold starts against idle accelerators, beside naive policies."`
	Incidents measureIncidentsCmd `cmd:"" help:"Cold starts on a day on which something goes wrong."`
	Reissue   measureReissueCmd   `cmd:"" help:"When to send a request again before its first token."`
	Capacity  measureCapacityCmd  `cmd:"" help:"What each mechanism costs, at three sizes or more."`
}

type measureColdStartCmd struct {
	Site  string `default:"platero"                                        enum:"platero,vatuvola"            help:"Whose days: platero or vatuvola."`
	Days  int    `default:"7"                                              help:"How many days are measured."`
	Seeds int    `default:"5"                                              help:"How many seeds."`
	Plot  string `help:"Write the frontier as a plot into this directory." type:"existingdir"`
}

// Run runs the command.
func (c *measureColdStartCmd) Run(ctx context.Context, s *streams) error {
	return figure.ColdStart(ctx, s.out, c.Site, c.Days, c.Seeds, c.Plot)
}

type measureIncidentsCmd struct {
	Site  string `default:"platero" enum:"platero,vatuvola" help:"Whose day: platero or vatuvola."`
	Seeds int    `default:"5"       help:"How many seeds."`
}

// Run runs the command.
func (c *measureIncidentsCmd) Run(ctx context.Context, s *streams) error {
	return figure.Incidents(ctx, s.out, c.Site, c.Seeds)
}

type measureReissueCmd struct {
	Seed uint64 `default:"1" help:"Seed of the load."`
}

// Run runs the command.
func (c *measureReissueCmd) Run(s *streams) error { return figure.Reissue(s.out, c.Seed) }

type measureCapacityCmd struct{}

// Run runs the command.
func (c *measureCapacityCmd) Run(s *streams) error { return figure.Capacity(s.out) }
