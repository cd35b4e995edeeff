package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/wire/operator"
)

// timelineCmd tells what happened, over all processes.
type timelineCmd struct {
	operatorFlags

	Request string        `help:"Tell one request's story."`
	Model   string        `help:"Tell one model's story."`
	Since   time.Duration `default:"15m"                          help:"How far back to go."`
	JSON    bool          `help:"Print one event a line as JSON." name:"json"`
}

// Run runs the command.
func (c *timelineCmd) Run(ctx context.Context, s *streams) error {
	query := url.Values{
		"request": {c.Request},
		"model":   {c.Model},
		"sinceMs": {strconv.FormatInt(time.Now().Add(-c.Since).UnixMilli(), 10)},
	}

	var reply operator.TimelineReply
	if err := c.get(ctx, operator.PathTimeline+"?"+query.Encode(), &reply); err != nil {
		return err
	}

	if c.JSON {
		return printJSONLines(s, reply)
	}

	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, e := range reply.Events {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			e.At.Format("15:04:05.000"), e.Instance, e.Kind, e.Request, e.Model, e.Target, e.Detail)
	}

	for _, g := range reply.Gaps {
		_, _ = fmt.Fprintf(t, "gap\t%s\tevents %d to %d are missing\n", g.Instance, g.From, g.To)
	}

	for _, id := range reply.Unreached {
		_, _ = fmt.Fprintf(t, "gap\t%s\tdid not answer; only copies of its events are shown\n", id)
	}

	return t.Flush()
}

func printJSONLines(s *streams, reply operator.TimelineReply) error {
	enc := json.NewEncoder(s.out)

	for _, e := range reply.Events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}

	for _, g := range reply.Gaps {
		if err := enc.Encode(struct {
			Gap operator.Gap `json:"gap"`
		}{g}); err != nil {
			return err
		}
	}

	return nil
}
