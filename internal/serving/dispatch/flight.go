package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/stream"
)

// flight is one request on its way, over all its sendings.
type flight struct {
	*Dispatcher

	req     *request.Request
	sink    Sink
	checker stream.Checker
	trail   request.Trail
	pace    *pace

	cold       bool
	firstToken time.Duration
	// sentToFirst is the time to first token of the last sending.
	sentToFirst time.Duration
	// suspect says that a target died under the request.
	suspect bool
	// last is the target of the last sending, and stay asks for it again.
	last *router.Target
	stay bool
	// incarnation is that of the last target when the request was sent.
	incarnation string
	// sentToDead says that the last target was known to be dead by then.
	sentToDead bool
	// release gives back the last target's reservation for a suspect.
	release func()
	// exclude is the target that failed last. Others are tried before it.
	exclude []instance.ID
	// state is the engine's state of the answer, taken from a target that is
	// leaving.
	state []byte
}

// sinkError is a failure of the caller's side.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "caller: " + e.err.Error() }

func (e *sinkError) Unwrap() error { return e.err }

// fly sends the request until its answer is whole.
func (f *flight) fly(ctx context.Context) (Result, error) {
	f.suspect = f.isSuspect(f.req.Fingerprint())

	for {
		t, err := f.next(ctx)
		if err != nil {
			return Result{}, f.end(err)
		}

		suspect := f.suspect

		err = f.attempt(ctx, t)
		failed := err != nil

		if failed {
			err = f.judge(ctx, t, err)
		}

		// A suspect leaves its target only after a death was made known, so
		// that no other suspect is sent to the dead target and blamed for its
		// death.
		t.End(suspect)
		f.unreserve()

		switch {
		case !failed:
			return f.landed(), nil
		case err != nil:
			return Result{}, f.end(err)
		}
	}
}

// next returns the target of the next sending, on which the request is
// counted.
func (f *flight) next(ctx context.Context) (*router.Target, error) {
	if f.stay && !f.last.Leaving() && f.last.Begin(f.suspect) {
		return f.last, nil
	}

	for {
		q := router.Query{Affinity: affinity(f.req), Exclude: f.exclude, Suspect: f.suspect}

		t, cold, err := f.acquire(ctx, f.req, q)
		f.cold = f.cold || cold

		if err != nil || f.reserve(ctx, t) {
			return t, err
		}

		t.End(f.suspect)

		if err := clock.Sleep(ctx, reserveAgain); err != nil {
			return nil, err
		}
	}
}

// prefixLen is how much of a prompt keeps requests together.
const prefixLen = 64

func affinity(req *request.Request) string {
	return req.Model + req.Prompt[:min(len(req.Prompt), prefixLen)]
}

// attempt sends the request once and passes its tokens on.
func (f *flight) attempt(ctx context.Context, t *router.Target) error {
	u := f.useOf(t, f.req.Model)
	u.running.Add(1)

	defer func() {
		u.running.Add(-1)
		u.served.Add(1)
		f.lineOf(f.req.Model).poke()
	}()

	first, next := f.pace.bounds()
	w := newWatch(ctx, first)

	defer w.stop()

	kind := timeline.Sent
	if f.trail.Sends() > 0 {
		kind = timeline.Resumed

		f.cfg.Metrics.Counter("resumed").Inc(1)
	}

	f.event(kind, t, "")
	f.giveState(t)

	f.last = t
	f.incarnation, f.sentToDead = t.Info().Incarnation, t.Dead()

	n := f.trail.Send()
	sent := time.Now()
	load := t.Own()

	s, err := f.cfg.Engine(t).Generate(w.ctx, target.Generation{
		RequestID: f.req.EngineID,
		Model:     f.req.Model,
		Prompt:    f.req.Prompt,
		MaxTokens: f.req.MaxTokens,
		Offset:    f.checker.Next(),
		Priority:  f.req.Priority,
	})
	if err != nil {
		f.trail.Learn(n, fateOf(err))

		return w.explain(err)
	}
	defer s.Close()

	tokens, err := f.pass(s, w, n, next, sent)
	if errors.Is(err, errMoving) {
		f.takeState(t)
	}

	if err != nil {
		return w.explain(err)
	}

	f.trail.Learn(n, request.Completed)

	if tokens > 0 {
		t.Succeeded(f.sentToFirst, load)
	}

	return nil
}

// fateOf returns what an error proves about a sending that got no answer.
func fateOf(err error) request.Fate {
	var (
		notReached *target.NotReachedError
		notLoaded  *target.NotLoadedError
		leaving    *target.LeavingError
	)

	switch {
	case errors.As(err, &notReached):
		return request.NotReached
	case errors.As(err, &notLoaded), errors.As(err, &leaving):
		return request.ProvedNotRun
	}

	return request.InDoubtFate
}

// pass hands the stream's tokens to the sink until the end mark.
func (f *flight) pass(s target.Stream, w *watch, n int, bound time.Duration, sent time.Time) (int, error) {
	tokens := 0
	last := sent

	for {
		frame, err := s.Next()
		if err != nil {
			return tokens, err
		}

		text, err := f.checker.Accept(frame)
		if err != nil {
			return tokens, err
		}

		if tokens == 0 {
			f.trail.Learn(n, request.Begun)
		}

		if f.checker.Done() {
			return tokens, nil
		}

		// The caller's own slowness must not count as the target's silence.
		w.pause()

		if err := f.sink.Token(text); err != nil {
			return tokens, &sinkError{err}
		}

		tokens++

		if f.shouldMove() {
			return tokens, errMoving
		}

		now := time.Now()
		f.learn(tokens, now.Sub(last), now)

		last = now

		w.expect(bound)
	}
}

// learnEvery thins out what is learnt from tokens after the first.
const learnEvery = 8

func (f *flight) learn(tokens int, gap time.Duration, now time.Time) {
	if tokens == 1 {
		f.pace.learn(gap, 0)
		f.sentToFirst = gap

		if f.firstToken == 0 {
			f.firstToken = now.Sub(f.req.Arrived)
		}

		return
	}

	if tokens%learnEvery == 0 {
		f.pace.learn(0, gap)
	}
}

func (f *flight) landed() Result {
	if f.suspect {
		f.cleared(f.req.Fingerprint())
	}

	f.cfg.Log.Add(timeline.Event{Kind: timeline.Answered, Request: f.req.ID, Model: f.req.Model, Customer: f.req.Customer})

	return Result{Tokens: f.checker.Next(), FirstToken: f.firstToken, Cold: f.cold}
}

// end turns the last error into the request's final answer.
func (f *flight) end(err error) error {
	refusal, ok := asRefusal(err)

	switch {
	case ok:
		refusal.Run = f.trail.Verdict()
	case errors.Is(err, context.DeadlineExceeded):
		refusal = f.trail.Refuse(request.DeadlinePast, overloadRetry, "the deadline has passed")
	default:
		f.cfg.Log.Add(timeline.Event{Kind: timeline.CallerLeft, Request: f.req.ID, Model: f.req.Model, Customer: f.req.Customer})

		return err
	}

	f.cfg.Log.Add(timeline.Event{
		Kind: timeline.Refused, Request: f.req.ID, Model: f.req.Model, Customer: f.req.Customer,
		Detail: string(refusal.Code) + " " + string(refusal.Run),
	})

	return refusal
}

func (f *flight) event(k timeline.Kind, t *router.Target, detail string) {
	f.cfg.Log.Add(timeline.Event{
		Kind: k, Request: f.req.ID, Model: f.req.Model, Target: t.ID, Customer: f.req.Customer, Detail: detail,
	})
}
