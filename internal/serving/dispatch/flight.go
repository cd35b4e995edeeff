package dispatch

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
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

// errMoving ends a stream on a target that is leaving, so that it goes on
// elsewhere with its state.
var errMoving = errors.New("target is leaving")

// worthMoving is how many tokens must be left for a move to pay: the state's
// way to another target takes about as long as a few tokens.
const worthMoving = 8

// shouldMove reports whether the answer should go on elsewhere: its target is
// leaving, much of it is still to come, and another target has the model.
func (f *flight) shouldMove() bool {
	if !f.last.Leaving() || f.req.MaxTokens-f.checker.Next() < worthMoving {
		return false
	}

	for _, t := range f.cfg.Table.Targets(f.req.Model) {
		if t != f.last && !t.Leaving() {
			return true
		}
	}

	return false
}

// takeState fetches the answer's state from the target that is leaving. It is
// no loss if that fails: the next target reads the prompt again.
func (f *flight) takeState(t *router.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()

	f.state, _ = f.cfg.Engine(t).ExportKV(ctx, f.req.EngineID)
}

// giveState hands the state to the next target.
func (f *flight) giveState(t *router.Target) {
	if f.state == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()

	_ = f.cfg.Engine(t).ImportKV(ctx, f.req.EngineID, f.state)
	f.state = nil
}

// stateTimeout bounds the way of an answer's state.
const stateTimeout = 500 * time.Millisecond

// sinkError is a failure of the caller's side.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "caller: " + e.err.Error() }

func (e *sinkError) Unwrap() error { return e.err }

// maxSends bounds how often one request is sent, whatever the budget says.
const maxSends = 8

// fly sends the request until its answer is whole.
func (f *flight) fly(ctx context.Context) (Result, error) {
	f.suspect = f.blockedOrSuspect()

	for {
		t, err := f.next(ctx)
		if err != nil {
			return Result{}, f.end(err)
		}

		err = f.attempt(ctx, t)
		t.End(f.suspect)

		if err == nil {
			f.unreserve()

			return f.landed(), nil
		}

		// The reservation ends only after a death was made known, so that no
		// other suspect is sent to the dead target and blamed for its death.
		err = f.judge(ctx, t, err)
		f.unreserve()

		if err != nil {
			return Result{}, f.end(err)
		}
	}
}

func (f *flight) blockedOrSuspect() bool {
	f.crashMu.Lock()
	defer f.crashMu.Unlock()

	return f.crashes.Suspect(f.req.Fingerprint(), time.Now())
}

// next returns the target of the next sending, on which the request is
// counted.
func (f *flight) next(ctx context.Context) (*router.Target, error) {
	if f.stay && !f.last.Leaving() {
		f.last.Begin(f.suspect)

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

		if err := pause(ctx, reserveAgain); err != nil {
			return nil, err
		}
	}
}

// reserveAgain is how soon a suspect asks again for a target of its own.
const reserveAgain = 50 * time.Millisecond

// reserve makes sure that no other suspect, of whichever entry, runs on the
// target.
//
// It guards against blaming a bystander: if two suspects share a target that
// dies, both have had two targets die under them, and nobody can tell which
// of them did it. Apart from each other, the innocent one's target survives.
func (f *flight) reserve(ctx context.Context, t *router.Target) bool {
	if !f.suspect || f.cfg.Reserve == nil {
		return true
	}

	release, ok := f.cfg.Reserve(ctx, t.ID, f.req.Deadline)
	f.release = release

	return ok
}

func (f *flight) unreserve() {
	if f.release != nil {
		f.release()
		f.release = nil
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

// judge decides after a failed sending whether to go on. A nil error means to
// try again.
func (f *flight) judge(ctx context.Context, t *router.Target, err error) error {
	var sink *sinkError
	if errors.As(err, &sink) || ctx.Err() != nil {
		f.cancel(t)

		if ctx.Err() != nil && sink == nil {
			return ctx.Err()
		}

		return err
	}

	f.last, f.stay = t, false
	f.exclude = append(f.exclude[:0], t.ID)

	if refusal := f.blame(ctx, t, err); refusal != nil {
		return refusal
	}

	if f.trail.Sends() >= maxSends || !f.free(err) && !f.budget.take() {
		return f.trail.Refuse(request.TargetFailed, overloadRetry, "targets failed: "+err.Error())
	}

	return f.backOff(ctx)
}

// free reports whether a retry costs no budget, because the target did no
// work.
func (f *flight) free(err error) bool {
	fate := fateOf(err)

	return fate == request.ProvedNotRun || fate == request.NotReached || errors.Is(err, errMoving)
}

// backOff waits a little before the same targets are asked again.
func (f *flight) backOff(ctx context.Context) error {
	if f.stay || f.trail.Sends() < 2 { //nolint:mnd // The first retry goes at once.
		return nil
	}

	const base = 20 * time.Millisecond

	return pause(ctx, base<<min(f.trail.Sends(), 4)) //nolint:mnd // At most sixteenfold.
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// blame finds out what went wrong on the target. It returns a refusal when
// the request must not be tried again.
func (f *flight) blame(ctx context.Context, t *router.Target, err error) *request.Refusal {
	var (
		leaving   *target.LeavingError
		notLoaded *target.NotLoadedError
	)

	switch {
	case errors.Is(err, errMoving):
		return nil
	case errors.As(err, &leaving):
		if t.Leave() {
			f.cfg.Noticed(Notice{Leaving: t.ID})
		}

		return nil
	case errors.As(err, &notLoaded):
		return nil
	}

	t.Failed(time.Now())

	alive := f.probe(ctx, t)

	var silent *silentError

	switch {
	case !alive:
		return f.targetDied(t)
	case errors.As(err, &silent):
		// The target lives, so only the connection went silent. The engine
		// still holds the stream's state: go on there, on a new connection.
		f.cfg.Refresh(t)
		f.cancel(t)
		f.stay = true
	case isCut(err):
		f.stay = f.checker.Next() > 0
	}

	return nil
}

func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

const probeTimeout = 500 * time.Millisecond

// probe asks the target on a new connection whether it is the same process as
// when the request was sent. What was known then counts: by now routing may
// know the target's next process.
func (f *flight) probe(ctx context.Context, t *router.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	inv, err := f.cfg.Probe(ctx, t)

	return err == nil && (f.incarnation == "" || inv.Incarnation == f.incarnation)
}

func (f *flight) targetDied(t *router.Target) *request.Refusal {
	f.event(timeline.TargetDied, t, "")

	death := crash.Death{Target: t.ID, Incarnation: f.incarnation}

	if f.sentToDead {
		// It was dead when the request was sent, so the request is no
		// suspect.
		return nil
	}

	if t.Died(f.incarnation, time.Now()) {
		f.cfg.Metrics.Counter("targetsFoundDead").Inc(1)
		f.cfg.Noticed(Notice{Dead: death})
	}

	blocked := f.died(f.req.Fingerprint(), death)
	f.suspect = true

	if !blocked {
		return nil
	}

	f.event(timeline.PoisonFound, t, "")

	return f.trail.Refuse(request.Poisoned, 0, "targets crashed while they ran this request")
}

// cancel tells the engine that nobody waits for the answer any more.
func (f *flight) cancel(t *router.Target) {
	const timeout = time.Second

	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	_ = f.cfg.Engine(t).Cancel(ctx, f.req.EngineID)
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

// silentError says that a stream was silent for longer than is normal.
type silentError struct{ err error }

func (e *silentError) Error() string { return "stream went silent: " + e.err.Error() }

func (e *silentError) Unwrap() error { return e.err }

// watch cancels a sending that stays silent for too long.
//
// It guards against a connection that goes silent for good while new ones
// work: without it the request would hang until its deadline.
type watch struct {
	ctx    context.Context //nolint:containedctx // The watch is the context's owner.
	cancel context.CancelFunc
	timer  *time.Timer
	silent atomic.Bool
}

func newWatch(ctx context.Context, bound time.Duration) *watch {
	w := &watch{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(bound, func() {
		w.silent.Store(true)
		w.cancel()
	})

	return w
}

func (w *watch) pause() { w.timer.Stop() }

func (w *watch) expect(bound time.Duration) { w.timer.Reset(bound) }

func (w *watch) stop() {
	w.timer.Stop()
	w.cancel()
}

func (w *watch) explain(err error) error {
	if w.silent.Load() {
		return &silentError{err}
	}

	return err
}
