package command

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/standin/soak"
)

// copiesCmd plays copies of a request that crashes targets on real entries as processes.
type copiesCmd struct {
	Entry      string        `default:"target/fulmarcross-entry"                                                       help:"The entry's program."`
	Seed       uint64        `default:"1"                                                                              help:"Seed of the first play."`
	Plays      int           `default:"1"                                                                              help:"How many plays are made."`
	Entries    int           `default:"7"                                                                              help:"How many entries run."`
	Targets    int           `default:"8"                                                                              help:"How many plain targets run."`
	Copies     int           `default:"5"                                                                              help:"How many copies are sent at once."`
	Gap        time.Duration `default:"4.2s"                                                                           help:"The time from copies to the next ones."`
	For        time.Duration `default:"14s"                                                                            help:"For how long copies are sent."`
	Retried    bool          `help:"The copies are idempotent."`
	Down       time.Duration `default:"2s"                                                                             help:"How long a target that has crashed is down."`
	Still      float64       `help:"The share of targets that stand still from the first copy on."`
	StillFor   time.Duration `default:"5s"                                                                             help:"For how long they do."`
	AcceptTime time.Duration `help:"How long a target takes to accept a connection."`
	Answers    bool          `help:"Dying targets answer copies without content."`
	Sound      float64       `default:"20"                                                                             help:"Sound requests a second."`
	Same       bool          `help:"All sound requests are the same."`
	Burst      float64       `default:"54"                                                                             help:"The operators' burst of retries."`
	Part       bool          `help:"Requests that have a part of their prompts in common are sent in place of copies."`
	Before     int           `help:"How often the part, or the request, runs soundly first."`
	Every      int           `help:"Only each so-manieth of the requests with the part crashes its target; each if 0."`
	Dir        string        `help:"Where settings and logs are written; a new folder if empty."`
}

// Run runs the command.
func (c *copiesCmd) Run(ctx context.Context, s *streams) error {
	entry, dir, err := playPaths(c.Entry, c.Dir, "copies")
	if err != nil {
		return err
	}

	broken := false

	for seed := c.Seed; seed < c.Seed+uint64(max(1, c.Plays)); seed++ { //nolint:gosec // Small.
		r, err := soak.PlayCopies(ctx, soak.CopiesOptions{
			Seed: seed, Entries: c.Entries, Targets: c.Targets, Copies: c.Copies, Gap: c.Gap, Length: c.For, Retried: c.Retried, Down: c.Down,
			Still: c.Still, StillFor: c.StillFor, AcceptTime: c.AcceptTime, Answers: c.Answers, Sound: c.Sound, Same: c.Same, Part: c.Part, Before: c.Before, Every: c.Every, Burst: c.Burst,
			Command: []string{entry, "serve"}, Dir: filepath.Join(dir, fmt.Sprintf("seed-%d", seed)),
		})
		if err != nil {
			return err
		}

		_, _ = fmt.Fprintf(s.out, "seed %d: %d deaths, %d of %d sound requests served, %.3f of the last third\n", seed, r.Deaths, r.Served, r.Sound, r.ServedAfter)

		for _, line := range r.Lines {
			word := "held"
			if line.Broken() {
				word, broken = "BROKEN", true
			}

			_, _ = fmt.Fprintf(s.out, "  %s %s\n", word, line)
		}
	}

	if broken {
		_, _ = fmt.Fprintln(s.out, "logs:", dir)

		return &quietError{errBroken}
	}

	return nil
}
