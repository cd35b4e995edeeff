package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/caller"
)

func (g *Gateway) serveChat(w http.ResponseWriter, r *http.Request) {
	g.generate(w, r, caller.DecodeChat)
}

func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request) {
	g.generate(w, r, caller.DecodeCompletion)
}

// generate serves one request for a model, from reading its body to writing the
// last token.
func (g *Gateway) generate(w http.ResponseWriter, r *http.Request, decode func([]byte) (caller.Call, error)) {
	c := g.begin(w, r)
	if c == nil {
		return
	}

	body, ok := g.readBody(c)
	if !ok {
		return
	}

	msg, err := decode(body)
	if err != nil {
		g.refuse(c, request.Refuse(request.BadRequest, 0, err.Error()))

		return
	}

	if !g.cfg.Lists.Current().Allows(c.plan.Name, plan.Model, msg.Model) {
		g.refuse(c, request.Refuse(request.UnknownModel, 0, "the plan may use no model named "+msg.Model))

		return
	}

	if !g.admit(c) {
		return
	}

	res, err := g.run(c, msg)
	g.cfg.Shares.Of(c.plan.Name).Done(res.Tokens)

	if err == nil {
		g.totals.answered(c.plan.Name, res.Tokens)
		g.cfg.Metrics.Counter("answered").Inc(1)
		g.cfg.Metrics.Counter("tokens").Inc(int64(res.Tokens))
		g.cfg.Metrics.Timer("firstToken").Record(res.FirstToken)

		if res.Cold {
			g.cfg.Metrics.Timer("firstTokenCold").Record(res.FirstToken)
		}
	}
}

// run dispatches the request and writes its answer or refusal.
func (g *Gateway) run(c *clientRequest, msg caller.Call) (dispatch.Result, error) {
	req := &request.Request{
		ID:        c.id,
		EngineID:  uuid.NewString(),
		Customer:  c.plan.Customer,
		Plan:      c.plan.Name,
		Model:     msg.Model,
		Prompt:    msg.Prompt,
		MaxTokens: msg.MaxTokens,
		Priority:  c.plan.Priority,
		Deadline:  c.deadline,
		Arrived:   c.arrived,
	}
	g.cfg.Log.Add(timeline.Event{Kind: timeline.Admitted, Request: c.id, Model: msg.Model, Customer: c.plan.Customer})

	ctx, release := g.track(c, req.EngineID, msg.Model)
	defer release()

	answer := &caller.Answer{ID: "cmpl-" + req.EngineID, Model: msg.Model, Created: c.arrived, Chat: msg.Chat}

	var out responder = &wholeResponder{c: c, answer: answer, prompt: msg.Prompt}
	if msg.Stream {
		out = &streamResponder{c: c, answer: answer, control: http.NewResponseController(c.w)}
	}

	res, err := g.cfg.Dispatch.Do(ctx, req, out)
	if err == nil {
		return res, out.finish(res)
	}

	g.fail(ctx, c, out, err)

	return res, err
}

// fail writes the refusal of a request without a complete answer, unless the
// client has left.
func (g *Gateway) fail(ctx context.Context, c *clientRequest, out responder, err error) {
	var refusal *request.Refusal

	switch {
	case errors.As(context.Cause(ctx), &refusal):
		// A change of the lists cancelled the request. It may have been sent
		// already, so the refusal must not say that it did not run.
		removed := *refusal
		removed.Run = request.MayHaveRun
		refusal = &removed
	case errors.As(err, &refusal):
	default:
		// The client has left, so there is no answer to write.
		return
	}

	if !out.refuseLate(refusal) {
		g.refuse(c, refusal)

		return
	}

	g.totals.refused(c.plan.Name, refusal.Code)
}

// responder writes an answer.
type responder interface {
	dispatch.Sink
	finish(res dispatch.Result) error
	// refuseLate writes the refusal after part of the answer. If nothing of the
	// answer was written yet, it writes nothing and returns false.
	refuseLate(r *request.Refusal) bool
}

// wholeResponder buffers the answer and writes it once it is complete.
type wholeResponder struct {
	c      *clientRequest
	answer *caller.Answer
	prompt string
	text   strings.Builder
}

// Token implements dispatch.Sink.
func (o *wholeResponder) Token(text string) error {
	_, err := o.text.WriteString(text)

	return err
}

func (o *wholeResponder) finish(res dispatch.Result) error {
	body, err := o.answer.Whole(o.text.String(), len(strings.Fields(o.prompt)), res.Tokens)
	if err != nil {
		return err
	}

	o.c.w.Header().Set("Content-Type", "application/json")
	_, err = o.c.w.Write(body)

	return err
}

func (o *wholeResponder) refuseLate(*request.Refusal) bool { return false }

// eventWriteTimeout limits how long writing one event to the client may take.
const eventWriteTimeout = 10 * time.Second

// streamResponder writes each token as a server-sent event.
type streamResponder struct {
	c       *clientRequest
	answer  *caller.Answer
	control *http.ResponseController
	buf     []byte
	started bool
}

// Token implements dispatch.Sink.
func (o *streamResponder) Token(text string) error {
	first := !o.started
	if first {
		o.start()
	}

	o.buf = o.answer.Chunk(o.buf[:0], text, first)

	return o.write()
}

func (o *streamResponder) start() {
	o.started = true
	h := o.c.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
}

func (o *streamResponder) write() error {
	if err := o.control.SetWriteDeadline(time.Now().Add(eventWriteTimeout)); err != nil {
		return err
	}

	if _, err := o.c.w.Write(o.buf); err != nil {
		return err
	}

	return o.control.Flush()
}

func (o *streamResponder) finish(dispatch.Result) error {
	if !o.started {
		o.start()
	}

	o.buf = o.answer.End(o.buf[:0])

	return o.write()
}

// refuseLate ends the stream with the refusal instead of its end marker, so that
// a truncated answer cannot be taken for a complete one.
func (o *streamResponder) refuseLate(r *request.Refusal) bool {
	if !o.started {
		return false
	}

	o.buf = caller.RefusalEvent(o.buf[:0], r)
	_ = o.write()

	return true
}

func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	c := g.begin(w, r)
	if c == nil {
		return
	}

	var names []string

	for _, a := range g.cfg.Lists.Current().Allowances(c.plan.Name) {
		if a.Kind == plan.Model {
			names = append(names, a.Name)
		}
	}

	body, err := caller.EncodeModels(names)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
