package command

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/fulmarcross/fulmarcross/internal/room/story"
)

// explainCmd tells one request's story from the processes' logs, or what became
// of all requests.
type explainCmd struct {
	Summary bool `help:"Table the requests that were late or not served by cause; all arguments are then logs."`

	Request string   `arg:"" help:"The request's id."`
	Files   []string `arg:"" help:"Logs of all processes; without any, standard input." optional:"" type:"existingfile"`
}

// Run runs the command.
func (c *explainCmd) Run(s *streams) error {
	if c.Summary {
		return c.summarize(s)
	}

	lines, err := read(c.Files, s)
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

// shown is how many models, targets, seconds and ids of a cause are named.
const shown = 3

// summarize tables all requests that were late or not served by cause.
func (c *explainCmd) summarize(s *streams) error {
	lines, err := read(append([]string{c.Request}, c.Files...), s)
	if err != nil {
		return err
	}

	sum := story.Summarize(lines)
	_, _ = fmt.Fprintf(s.out, "%d requests, %d not served, %d late\n", sum.Requests, sum.Unserved, sum.Late)

	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "requests\tcause\tmodels\ttargets\tentries\tseconds\tfirst ids")

	for _, g := range sum.Groups {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", len(g.Requests), g.Cause, most(g.Models), most(g.Targets), most(g.Nodes), most(g.Seconds),
			strings.Join(g.Requests[:min(shown, len(g.Requests))], " "))
	}

	if err := t.Flush(); err != nil {
		return err
	}

	if err := printCounts(s.out, "calls to the store", sum.Calls); err != nil {
		return err
	}

	return printCounts(s.out, "bytes between entries", sum.Bytes)
}

// printCounts prints what processes told last of some counts, if they did.
func printCounts(w io.Writer, what string, counts map[string]int) error {
	if len(counts) == 0 {
		return nil
	}

	_, err := fmt.Fprintln(w, what+", as told last:", listed(counts, len(counts)))

	return err
}

// most names what was counted most, and how often.
func most[K cmp.Ordered](counts map[K]int) string { return listed(counts, shown) }

// listed names so many of what was counted, what was counted most first.
func listed[K cmp.Ordered](counts map[K]int, n int) string {
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b K) int {
		return cmp.Or(-cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})

	var out []string
	for _, k := range keys[:min(n, len(keys))] {
		out = append(out, fmt.Sprintf("%v:%d", k, counts[k]))
	}

	return strings.Join(out, " ")
}

// read reads all lines of the files, or of standard input if there are none.
func read(paths []string, s *streams) ([]story.Line, error) {
	if len(paths) == 0 {
		return story.Read(nil, s.in)
	}

	var lines []story.Line

	for _, path := range paths {
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
