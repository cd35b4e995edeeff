package command

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/fulmarcross/fulmarcross/internal/room/story"
)

// explainCmd tells one request's story from the processes' logs.
type explainCmd struct {
	Request string   `arg:"" help:"The request's id."`
	Files   []string `arg:"" help:"Logs of all processes; without any, standard input." optional:"" type:"existingfile"`
}

// Run runs the command.
func (c *explainCmd) Run(s *streams) error {
	lines, err := c.read(s)
	if err != nil {
		return err
	}

	told := story.Tell(lines, c.Request)

	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, l := range told.Lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", l.At.UTC().Format("15:04:05.000"), l.Node, l.Message, l.Details)
	}

	if err := t.Flush(); err != nil {
		return err
	}

	for _, missing := range told.Missing {
		_, _ = fmt.Fprintln(s.out, "missing:", missing)
	}

	_, err = fmt.Fprintln(s.out, "cause:", told.Cause)

	return err
}

func (c *explainCmd) read(s *streams) ([]story.Line, error) {
	if len(c.Files) == 0 {
		return story.Read(nil, s.in)
	}

	var lines []story.Line

	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}

		lines, err = story.Read(lines, f)
		_ = f.Close()

		if err != nil {
			return nil, err
		}
	}

	return lines, nil
}
