package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/standin/soak"
)

// soakCmd plays seeded troubles on real entries as processes of their own.
type soakCmd struct {
	Entry    string        `default:"target/fulmarcross-entry"                                                                  help:"The entry's program."`
	Seed     uint64        `default:"1"                                                                                         help:"Seed of the troubles."`
	Seeds    int           `default:"1"                                                                                         help:"How many seeds are played, from the first one on."`
	Entries  int           `default:"4"                                                                                         help:"How many entries run."`
	For      time.Duration `default:"15s"                                                                                       help:"For how long troubles begin."`
	Dir      string        `help:"Where settings and logs are written; a new folder if empty."`
	Limits   bool          `help:"Targets also state rate limits."`
	Rests    bool          `help:"Targets also leave by their answers alone, and ask for rest."`
	Load     bool          `help:"A team and models also get more requests than there is room for, and targets are slow."`
	Reach    bool          `help:"Entries are also cut off from all targets, and targets are brittle, or silent for a second."`
	Changes  bool          `help:"Series of large configurations also follow each other."`
	Software bool          `help:"Engines of several versions of the software serve side by side, and clients take streams up."`
	Crashes  bool          `help:"Requests, and parts of prompts, also crash engines."`
	Returns  bool          `help:"The store also comes back from copies, and targets leave by the list alone."`
	Signals  bool          `help:"SIGHUP also follows SIGTERM, and most or all entries are killed at once."`
	Turns    bool          `help:"Lease holders also lose the store and are stopped in turn."`
	Heads    bool          `help:"Targets also stop within the heads of their answers."`
	Retries  bool          `help:"The limit on retries is small."`
	Told     bool          `help:"Engines also answer orders and reports twice, and report models that are old."`
	Endless  bool          `help:"Targets also answer with bytes without end, at full speed."`
	Late     bool          `help:"Entries are also stopped while bodies come late and targets take long."`
	Answers  bool          `help:"Targets also answer with invalid heads, and long requests before they are read."`
	Turned   bool          `help:"Parts of prompts also run soundly and then crash engines."`
	Verbose  bool          `help:"Print each trouble."`
}

// Run runs the command.
func (c *soakCmd) Run(ctx context.Context, s *streams) error {
	entry, dir, err := playPaths(c.Entry, c.Dir, "soak")
	if err != nil {
		return err
	}

	broken := 0

	for seed := c.Seed; seed < c.Seed+uint64(max(1, c.Seeds)); seed++ { //nolint:gosec // Small.
		opt := soak.Options{
			Seed: seed, Entries: c.Entries, Length: c.For, RateLimits: c.Limits, Statements: c.Rests, Load: c.Load, Reach: c.Reach, Changes: c.Changes, Software: c.Software, Crashes: c.Crashes, Returns: c.Returns, Signals: c.Signals, Turns: c.Turns, Heads: c.Heads, Retries: c.Retries, Told: c.Told, Endless: c.Endless, LateBodies: c.Late, Answers: c.Answers, Turned: c.Turned, Memory: true, Command: []string{entry, "serve"}, Dir: filepath.Join(dir, fmt.Sprintf("seed-%d", seed)), Traces: s.err,
		}
		if c.Verbose {
			opt.Progress = s.err
		}

		r, err := soak.Run(ctx, opt)
		if err != nil {
			return err
		}

		c.print(s, seed, r)

		broken += len(r.Broken)
	}

	if broken > 0 {
		_, _ = fmt.Fprintln(s.out, "logs:", dir)

		return &quietError{errBroken}
	}

	return nil
}

// print prints the report of one seed.
func (c *soakCmd) print(s *streams, seed uint64, r soak.Report) {
	_, _ = fmt.Fprintf(s.out, "seed %d: %d asked, %d answered, %d refused (%d by teams' limits and keys), %d unknown, %d broken\n", seed, r.Asked, r.Answered, r.Refused, r.Limited, r.Unknown, len(r.Broken))

	if c.Crashes || c.Turned {
		_, _ = fmt.Fprintf(s.out, "  %d engines crashed\n", r.Crashed)
	}

	if c.Software {
		_, _ = fmt.Fprintf(s.out, "  %d streams taken up, %d went on, %d with events of several versions\n", r.Taken, r.GoneOn, len(r.Mixed))

		for _, text := range r.Mixed {
			_, _ = fmt.Fprintln(s.out, "  mixed:", text)
		}
	}

	if c.Verbose || c.Retries || c.Crashes || c.Turned {
		for _, line := range r.Lines {
			_, _ = fmt.Fprintln(s.out, " ", line)
		}
	}

	if c.Verbose {
		_, _ = fmt.Fprintln(s.out, "  connections:", r.Opened)
	}

	for _, text := range r.Broken {
		_, _ = fmt.Fprintln(s.out, "  broken:", text)
	}
}

// playPaths returns the absolute path of the entry's program, and the folder for settings and logs: a
// new one, named after what is played, if none is given.
func playPaths(entry, dir, what string) (program, folder string, err error) {
	if program, err = filepath.Abs(entry); err != nil {
		return "", "", err
	}

	if dir == "" {
		dir, err = os.MkdirTemp("", "fulmarcross-"+what+"-")
	}

	return program, dir, err
}
