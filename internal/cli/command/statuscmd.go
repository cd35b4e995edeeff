package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/fulmarcross/fulmarcross/internal/wire/board"
	"github.com/fulmarcross/fulmarcross/internal/wire/operator"
)

// statusCmd shows the room's board.
type statusCmd struct {
	operatorFlags

	JSON bool `help:"Print the board as JSON." name:"json"`
}

// Run runs the command.
func (c *statusCmd) Run(ctx context.Context, s *streams) error {
	var reply operator.BoardReply
	if err := c.get(ctx, operator.PathBoard, &reply); err != nil {
		return err
	}

	if c.JSON {
		return json.NewEncoder(s.out).Encode(reply)
	}

	b, err := board.Decode(reply.Board)
	if err != nil {
		return err
	}

	return printBoard(s.out, &reply.Meta, &b)
}

func printBoard(w io.Writer, m *operator.Meta, b *board.Board) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }

	mark := ""
	if m.Stale {
		mark = "  STALE"
	}

	line("board %s by %s, shown by %s, %.1f s old%s", b.Number, b.Publisher, m.Entry, float64(m.AgeMs)/1000, mark)
	line("lists: version %d in force on %d of %d instances\n", b.ListVersion, b.InForce, len(b.Instances))

	for _, p := range b.Promises {
		kept := "kept"
		if !p.Kept {
			kept = "BROKEN"
		}

		line("%s\t%s\t%s", kept, p.Name, p.Detail)
	}

	line("\nplan\trunning\twaiting\tanswered\trefused\tidle targets")

	for _, p := range b.Plans {
		line("%s\t%s\t%d\t%d\t%s\t%d", p.Name, ofLimit(p.Running, p.Concurrency), p.Waiting, p.Answered, refusedText(p.Refused), p.IdleTargets)
	}

	line("\nmodel\tready on\twaiting\twhy")

	for _, m := range b.Models {
		line("%s\t%s\t%d\t%s", m.Name, strings.Join(m.Ready, " "), m.Waiting, m.Why)
	}

	line("\ntarget\tcentre\tspeed\tmemory\tslots\tstate")

	for _, g := range b.Targets {
		line("%s\t%s\t%g\t%d%%\t%s\t%s", g.ID, g.DataCentre, g.Speed, percent(g.Held, g.Memory), ofLimit(g.Running, g.Slots), targetState(g))
	}

	line("\ninstance\tcentre\tlists\tstate\tcells")

	for _, in := range b.Instances {
		line("%s\t%s\t%d\t%s\t%s", in.ID, in.DataCentre, in.ListVersion, instanceState(in), strings.Trim(fmt.Sprint(in.Cells), "[]"))
	}

	return t.Flush()
}

func ofLimit(n, limit int) string {
	if limit == 0 {
		return strconv.Itoa(n)
	}

	return fmt.Sprintf("%d/%d", n, limit)
}

func refusedText(all []board.Refused) string {
	texts := make([]string, len(all))
	for i, r := range all {
		texts[i] = fmt.Sprintf("%s %d", r.Code, r.Count)
	}

	return strings.Join(texts, ", ")
}

func percent(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}

	return 100 * part / whole
}

func targetState(t board.Target) string {
	switch {
	case t.Leaving:
		return "leaving"
	case t.Down:
		return "down"
	}

	return "live"
}

func instanceState(in board.Instance) string {
	switch {
	case in.Draining:
		return "shutting down"
	case in.Ready:
		return "ready"
	}

	return "not ready"
}
