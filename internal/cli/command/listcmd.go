package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/wire/operator"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// listCmd reads and edits the two lists.
type listCmd struct {
	Get     listGetCmd     `cmd:"" help:"Write a list as a document with its version."`
	Put     listPutCmd     `cmd:"" help:"Put an edited document. It is refused if another edit came first."`
	History listHistoryCmd `cmd:"" help:"Say who changed what and when."`
}

type listGetCmd struct {
	operatorFlags

	List string `arg:"" enum:"plans,allowances" help:"plans or allowances."`
}

// Run runs the command.
func (c *listGetCmd) Run(ctx context.Context, s *streams) error {
	status, data, err := c.do(ctx, http.MethodGet, operator.PathLists+c.List, nil)
	if err != nil {
		return err
	}

	if status != http.StatusOK {
		return &AnswerError{Status: status, Body: string(bytes.TrimSpace(data))}
	}

	_, err = s.out.Write(data)

	return err
}

type listPutCmd struct {
	operatorFlags

	List    string `arg:""                                                                            enum:"plans,allowances"                      help:"plans or allowances."`
	File    string `arg:""                                                                            help:"The document; - reads standard input."`
	Force   bool   `help:"Accept an edit that takes something from under running work."`
	WriteID string `help:"The id of an earlier put whose outcome is unknown; putting it again tells." name:"write-id"`
}

// putTries is how often a put whose outcome is unknown is tried.
const putTries = 3

var (
	errNotAccepted = errors.New("not accepted")
	errPutUnknown  = errors.New("unknown whether it was accepted")
)

// Run runs the command.
func (c *listPutCmd) Run(ctx context.Context, s *streams) error {
	body, err := c.read(s.in)
	if err != nil {
		return err
	}

	if c.WriteID == "" {
		c.WriteID = uuid.NewString()
	}

	query := url.Values{"writeId": {c.WriteID}}
	if c.Force {
		query.Set("force", "true")
	}

	var reply operator.PutReply

	for range putTries {
		if reply, err = c.put(ctx, body, query); err != nil || reply.Outcome != operator.Unknown {
			break
		}
	}

	if err != nil {
		return fmt.Errorf("write id %s: %w", c.WriteID, err)
	}

	return c.tell(s.out, reply)
}

func (c *listPutCmd) read(in io.Reader) ([]byte, error) {
	if c.File == "-" {
		return io.ReadAll(in)
	}

	return os.ReadFile(c.File)
}

func (c *listPutCmd) put(ctx context.Context, body []byte, query url.Values) (operator.PutReply, error) {
	var reply operator.PutReply

	status, data, err := c.do(ctx, http.MethodPut, operator.PathLists+c.List+"?"+query.Encode(), body)
	if err != nil {
		return reply, err
	}

	if json.Unmarshal(data, &reply) != nil || reply.Outcome == "" {
		return reply, &AnswerError{Status: status, Body: string(bytes.TrimSpace(data))}
	}

	return reply, nil
}

// tell says what became of the put.
func (c *listPutCmd) tell(w io.Writer, r operator.PutReply) error {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

	switch r.Outcome {
	case operator.Accepted:
		line("accepted as version %d with %d changes, in force on %d of %d instances",
			r.Version, r.Changes, r.InForce, r.Entries)

		return nil
	case operator.Conflict:
		line("not accepted: version %d is in force, and these edits came first:", r.Version)

		for _, e := range r.Since {
			line("  version %d by %s at %s: %s", e.Version, e.Author, e.At.Format(time.RFC3339), changesText(e.Changes))
		}

		line("get the list again, repeat your change and put it")
	case operator.Strands:
		line("not accepted: the edit takes something from under work")

		for _, text := range r.Stranded {
			line("  %s", text)
		}

		line("put it with --force to accept that")
	case operator.Invalid:
		line("not accepted: the document has faults")

		for _, text := range r.Faults {
			line("  %s", text)
		}
	case operator.NotAccepted:
		line("not accepted: the table service cannot be reached; nothing was written")
	case operator.Unknown:
		line("unknown: the table service did not answer; ask again with --write-id %s", c.WriteID)

		return &quietError{errPutUnknown}
	}

	return &quietError{errNotAccepted}
}

func changesText(changes []record.Change) string {
	texts := make([]string, len(changes))

	for i, c := range changes {
		switch {
		case c.SetPlan != nil:
			texts[i] = "set plan " + c.SetPlan.Name
		case c.RemovePlan != "":
			texts[i] = "removed plan " + c.RemovePlan
		case c.Allow != nil:
			texts[i] = fmt.Sprintf("allowed %s %s to %s", c.Allow.Kind, c.Allow.Name, c.Allow.Plan)
		case c.Disallow != nil:
			texts[i] = fmt.Sprintf("no longer allowed %s %s to %s", c.Disallow.Kind, c.Disallow.Name, c.Disallow.Plan)
		}
	}

	return strings.Join(texts, "; ")
}

type listHistoryCmd struct {
	operatorFlags

	After uint64 `help:"Show the edits after this version."`
}

// Run runs the command.
func (c *listHistoryCmd) Run(ctx context.Context, s *streams) error {
	var reply operator.HistoryReply
	if err := c.get(ctx, fmt.Sprintf("%s?after=%d", operator.PathHistory, c.After), &reply); err != nil {
		return err
	}

	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, e := range reply.Edits {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", e.Version, e.At.Format(time.RFC3339), e.Author, changesText(e.Changes))
	}

	return t.Flush()
}
