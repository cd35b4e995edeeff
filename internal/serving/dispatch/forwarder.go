package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/stream"
)

// forwarder forwards one request, with retries on other targets if attempts
// fail.
type forwarder struct {
	*Dispatcher

	req      *request.Request
	sink     Sink
	checker  stream.Checker
	attempts request.AttemptLog
	latency  *modelLatency

	cold       bool
	firstToken time.Duration
	// attemptFirstToken is the time to first token of the last attempt.
	attemptFirstToken time.Duration
	// suspect says that the request is suspected of crashing targets: one died
	// while it ran the request, or the request is blocked.
	suspect bool
	// last is the target of the last attempt. retrySame selects it for the next
	// attempt as well.
	last      *router.Target
	retrySame bool
	// incarnation and software are the last target's when the attempt began.
	incarnation string
	software    instance.Software
	// sentToDead says that the last target was recorded as dead when the
	// attempt began.
	sentToDead bool
	// release releases the reservation that a suspect has on the last target.
	release func()
	// exclude is the target that failed last. All others are preferred to it.
	exclude []instance.ID
	// state is the engine's state of the answer, exported from a target that is
	// leaving.
	state []byte
}

// sinkError is a failure to write the answer to the client.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "caller: " + e.err.Error() }

func (e *sinkError) Unwrap() error { return e.err }

// run sends the request, to several targets if necessary, until its answer is
// complete or the request is refused.
func (f *forwarder) run(ctx context.Context) (Result, error) {
	f.suspect = f.Crashes.IsSuspect(f.req)

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

		// A suspect is removed from its target only after the target's death
		// has been recorded. Otherwise another suspect could be sent to the
		// dead target, and the death would count against it.
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

// nextTarget returns the target of the next attempt. The request is counted on
// it.
func (f *forwarder) nextTarget(ctx context.Context) (*router.Target, error) {
	if f.retrySame && !f.last.Leaving() && f.req.Origin.Allows(f.last.Info().Software) && f.last.Begin(f.suspect) {
		return f.last, nil
	}

	for {
		q := router.Query{Affinity: affinity(f.req), Exclude: f.exclude, Suspect: f.suspect}

		f.countArrival(f.req, &q)

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

// prefixLen is the number of bytes of a prompt that count for affinity.
const prefixLen = 64

func affinity(req *request.Request) string {
	return req.Model + req.Prompt[:min(len(req.Prompt), prefixLen)]
}

// attempt sends the request to the target once and relays the answer's tokens.
func (f *forwarder) attempt(ctx context.Context, t *router.Target) error {
	u := f.useOf(t, f.req.Model)
	u.running.Add(1)

	defer func() {
		u.running.Add(-1)
		u.served.Add(1)
		f.queueOf(f.req.Model).wake()
	}()

	first, next := f.latency.silenceBounds()
	stall := newStallTimer(ctx, first)

	defer stall.stop()

	kind := timeline.Sent
	if f.attempts.Count() > 0 {
		kind = timeline.Resumed

		f.cfg.Metrics.Counter("resumed").Inc(1)
	}

	f.event(kind, t, "")
	f.importState(t)

	f.last = t
	f.incarnation, f.software, f.sentToDead = t.Info().Incarnation, t.Info().Software, t.Dead()

	number := f.attempts.Begin()
	sent := time.Now()
	load := t.InFlight()
	run := f.Crashes.BeginRun(t.ID, f.incarnation, f.req)

	s, err := f.cfg.Engine(t).Generate(stall.ctx, target.Generation{
		RequestID: f.req.EngineID,
		Model:     f.req.Model,
		Prompt:    f.req.Prompt,
		MaxTokens: f.req.MaxTokens,
		Offset:    f.checker.Next(),
		Priority:  f.req.Priority,
	})
	if err != nil {
		outcome := outcomeOf(err)
		f.attempts.Record(number, outcome)
		f.Crashes.EndRun(run, endOf(outcome))

		return stall.wrap(err)
	}
	defer s.Close()

	tokens, err := f.relayTokens(s, stall, number, next, sent, run)
	f.Crashes.EndRun(run, endOfStream(err))

	if errors.Is(err, errMigrate) {
		f.exportState(t)
	}

	if err != nil {
		return stall.wrap(err)
	}

	f.attempts.Record(number, request.Completed)

	if tokens > 0 {
		t.RecordSuccess(f.attemptFirstToken, load)
	}

	return nil
}

// outcomeOf returns what an error proves about an attempt that got no answer.
func outcomeOf(err error) request.Outcome {
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

	return request.Unanswered
}

// endOf returns how a run ended that began no answer.
func endOf(o request.Outcome) crash.Outcome {
	if o == request.NotReached || o == request.ProvedNotRun {
		return crash.NotRun
	}

	return crash.Broken
}

// endOfStream returns how a run ended whose answer had begun.
func endOfStream(err error) crash.Outcome {
	switch {
	case err == nil:
		return crash.Answered
	case isCut(err):
		return crash.Broken
	default:
		return crash.Abandoned
	}
}

// relayTokens writes the stream's tokens to the sink until the end mark.
func (f *forwarder) relayTokens(s target.Stream, stall *stallTimer, number int, bound time.Duration, sent time.Time, run *crash.Run) (int, error) {
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
			f.attempts.Record(number, request.Begun)
		}

		if f.checker.Done() {
			return tokens, nil
		}

		f.Crashes.WriteRun(run)

		if !f.req.Origin.Begun() {
			f.req.Origin = origin.Of(f.software)
		}

		// Time that the client takes to read must not count as the target's silence.
		stall.pause()

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

		stall.reset(bound)
	}
}

// observeEvery is the interval, in tokens, at which gaps after the first token
// are observed.
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
	f.cfg.Log.Add(timeline.Event{Kind: timeline.Answered, Request: f.req.ID, Model: f.req.Model, Customer: f.req.Customer})

	return Result{Tokens: f.checker.Next(), FirstToken: f.firstToken, Cold: f.cold}
}

// fail records in the timeline how the request ended, and returns a refusal that
// states whether the request ran. If the client has disconnected or reads too
// slowly, fail returns err instead.
func (f *forwarder) fail(err error) error {
	refusal, ok := asRefusal(err)

	switch {
	case ok:
		refusal.Run = f.attempts.Run()
	case errors.Is(err, context.DeadlineExceeded):
		refusal = f.attempts.Refuse(request.DeadlinePassed, defaultRetryAfter, "the deadline has passed")
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
