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

// forwarder is one request on its way, over all its sendings.
type forwarder struct {
	*Dispatcher

	req      *request.Request
	sink     Sink
	checker  stream.Checker
	attempts request.Trail
	latency  *modelLatency

	cold       bool
	firstToken time.Duration
	// attemptFirstToken is the time to first token of the last sending.
	attemptFirstToken time.Duration
	// suspect says that a target died under the request.
	suspect bool
	// last is the target of the last sending, and stay asks for it again.
	last      *router.Target
	retrySame bool
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

// run sends the request until its answer is whole.
func (f *forwarder) run(ctx context.Context) (Result, error) {
	f.suspect = f.isSuspect(f.req.Fingerprint())

	for {
		t, err := f.nextTarget(ctx)
		if err != nil {
			return Result{}, f.fail(err)
		}

		suspect := f.suspect

		err = f.attempt(ctx, t)
		failed := err != nil

		if failed {
			err = f.handleFailure(ctx, t, err)
		}

		// A suspect leaves its target only after a death was made known, so
		// that no other suspect is sent to the dead target and blamed for its
		// death.
		t.End(suspect)
		f.unreserve()

		switch {
		case !failed:
			return f.succeed(), nil
		case err != nil:
			return Result{}, f.fail(err)
		}
	}
}

// nextTarget returns the target of the nextTarget sending, on which the request is
// counted.
func (f *forwarder) nextTarget(ctx context.Context) (*router.Target, error) {
	if f.retrySame && !f.last.Leaving() && f.last.Begin(f.suspect) {
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

		if err := clock.Sleep(ctx, reserveRetryInterval); err != nil {
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
func (f *forwarder) attempt(ctx context.Context, t *router.Target) error {
	u := f.useOf(t, f.req.Model)
	u.running.Add(1)

	defer func() {
		u.running.Add(-1)
		u.served.Add(1)
		f.queueOf(f.req.Model).wake()
	}()

	first, next := f.latency.silenceBounds()
	w := newStallTimer(ctx, first)

	defer w.stop()

	kind := timeline.Sent
	if f.attempts.Sends() > 0 {
		kind = timeline.Resumed

		f.cfg.Metrics.Counter("resumed").Inc(1)
	}

	f.event(kind, t, "")
	f.importState(t)

	f.last = t
	f.incarnation, f.sentToDead = t.Info().Incarnation, t.Dead()

	n := f.attempts.Send()
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
		f.attempts.Learn(n, outcomeOf(err))

		return w.wrap(err)
	}
	defer s.Close()

	tokens, err := f.relayTokens(s, w, n, next, sent)
	if errors.Is(err, errMigrate) {
		f.exportState(t)
	}

	if err != nil {
		return w.wrap(err)
	}

	f.attempts.Learn(n, request.Completed)

	if tokens > 0 {
		t.Succeeded(f.attemptFirstToken, load)
	}

	return nil
}

// outcomeOf returns what an error proves about a sending that got no answer.
func outcomeOf(err error) request.Fate {
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

// relayTokens hands the stream's tokens to the sink until the end mark.
func (f *forwarder) relayTokens(s target.Stream, w *stallTimer, n int, bound time.Duration, sent time.Time) (int, error) {
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
			f.attempts.Learn(n, request.Begun)
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

		if f.shouldMigrate() {
			return tokens, errMigrate
		}

		now := time.Now()
		f.observe(tokens, now.Sub(last), now)

		last = now

		w.reset(bound)
	}
}

// observeEvery thins out what is learnt from tokens after the first.
const observeEvery = 8

func (f *forwarder) observe(tokens int, gap time.Duration, now time.Time) {
	if tokens == 1 {
		f.latency.observe(gap, 0)
		f.attemptFirstToken = gap

		if f.firstToken == 0 {
			f.firstToken = now.Sub(f.req.Arrived)
		}

		return
	}

	if tokens%observeEvery == 0 {
		f.latency.observe(0, gap)
	}
}

func (f *forwarder) succeed() Result {
	if f.suspect {
		f.clearSuspect(f.req.Fingerprint())
	}

	f.cfg.Log.Add(timeline.Event{Kind: timeline.Answered, Request: f.req.ID, Model: f.req.Model, Customer: f.req.Customer})

	return Result{Tokens: f.checker.Next(), FirstToken: f.firstToken, Cold: f.cold}
}

// fail turns the last error into the request's final answer.
func (f *forwarder) fail(err error) error {
	refusal, ok := asRefusal(err)

	switch {
	case ok:
		refusal.Run = f.attempts.Verdict()
	case errors.Is(err, context.DeadlineExceeded):
		refusal = f.attempts.Refuse(request.DeadlinePast, defaultRetryAfter, "the deadline has passed")
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

func (f *forwarder) event(k timeline.Kind, t *router.Target, detail string) {
	f.cfg.Log.Add(timeline.Event{
		Kind: k, Request: f.req.ID, Model: f.req.Model, Target: t.ID, Customer: f.req.Customer, Detail: detail,
	})
}
