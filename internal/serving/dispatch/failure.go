package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// maxAttempts bounds the attempts of one request, even if the retry budget
// allows more.
const maxAttempts = 8

// reserveRetryInterval is how long a suspect waits after a failed reservation.
const reserveRetryInterval = 50 * time.Millisecond

// reserve reserves the target for a suspect, so that no other suspect of any
// entry runs there at the same time.
//
// If two suspects ran on one target and it died, that would be the second death
// for both, and the harmless one would be blocked as well. On different targets,
// the harmless one completes on its second target.
func (f *forwarder) reserve(ctx context.Context, t *router.Target) bool {
	if !f.suspect || f.cfg.Reserve == nil {
		return true
	}

	release, ok := f.cfg.Reserve(ctx, t.ID, f.req.Deadline)
	f.release = release

	return ok
}

func (f *forwarder) unreserve() {
	if f.release != nil {
		f.release()
		f.release = nil
	}
}

// handleFailure decides whether a request is retried after a failed attempt. It
// returns nil for a retry.
func (f *forwarder) handleFailure(ctx context.Context, t *router.Target, err error) error {
	var sink *sinkError
	if errors.As(err, &sink) || ctx.Err() != nil {
		f.cancel(t)

		if ctx.Err() != nil && sink == nil {
			return ctx.Err()
		}

		return err
	}

	f.last, f.retrySame = t, false
	f.exclude = append(f.exclude[:0], t.ID)

	if refusal := f.diagnose(ctx, t, err); refusal != nil {
		return refusal
	}

	if f.attempts.Count() >= maxAttempts || !f.retryIsFree(err) && !f.budget.consume() {
		return f.attempts.Refuse(request.TargetFailed, defaultRetryAfter, "targets failed: "+err.Error())
	}

	return f.backOff(ctx)
}

// retryIsFree reports whether a retry consumes no retry budget, because the
// target did no work.
func (f *forwarder) retryIsFree(err error) bool {
	outcome := outcomeOf(err)

	return outcome == request.ProvedNotRun || outcome == request.NotReached || errors.Is(err, errMigrate)
}

// backOff sleeps before the second and each later retry, unless it goes to the
// same target.
func (f *forwarder) backOff(ctx context.Context) error {
	if f.retrySame || f.attempts.Count() < 2 { //nolint:mnd // The first retry goes at once.
		return nil
	}

	const base = 20 * time.Millisecond

	return clock.Sleep(ctx, base<<min(f.attempts.Count(), 4)) //nolint:mnd // At most sixteenfold.
}

// diagnose determines why an attempt failed and records what it says about the
// target. It returns a refusal if the request must not be retried.
func (f *forwarder) diagnose(ctx context.Context, t *router.Target, err error) *request.Refusal {
	var (
		leaving   *target.LeavingError
		notLoaded *target.NotLoadedError
	)

	switch {
	case errors.Is(err, errMigrate):
		return nil
	case errors.As(err, &leaving):
		if t.MarkLeaving() {
			f.cfg.OnNotice(Notice{Leaving: t.ID})
		}

		return nil
	case errors.As(err, &notLoaded):
		return nil
	}

	t.RecordFailure(time.Now())

	alive := f.probe(ctx, t)

	var stalled *stallError

	switch {
	case !alive:
		return f.targetDied(t)
	case errors.As(err, &stalled):
		// The target is alive, so only the connection stalled. The engine still
		// has the stream's state: resume there on a new connection.
		f.cfg.Refresh(t)
		f.cancel(t)
		f.retrySame = true
	case isCut(err):
		f.retrySame = f.checker.Next() > 0
	}

	return nil
}

func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

const probeTimeout = 500 * time.Millisecond

// probe requests the target's inventory over a new connection, and reports
// whether the target is still the process to which the request was sent. It
// compares with the incarnation recorded at that time, because the routing table
// may by now contain that of the target's next process. If none was recorded, any
// inventory is sufficient.
func (f *forwarder) probe(ctx context.Context, t *router.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	inv, err := f.cfg.Probe(ctx, t)

	return err == nil && (f.incarnation == "" || inv.Incarnation == f.incarnation)
}

func (f *forwarder) targetDied(t *router.Target) *request.Refusal {
	f.event(timeline.TargetDied, t, "")

	death := crash.Death{Target: t.ID, Incarnation: f.incarnation}

	if f.sentToDead {
		// The target was recorded as dead before the request was sent, so the
		// request is no suspect.
		return nil
	}

	if t.MarkDead(f.incarnation, time.Now()) {
		f.cfg.Metrics.Counter("targetsFoundDead").Inc(1)
		f.cfg.OnNotice(Notice{Dead: death})
	}

	f.Crashes.Prove(death)
	f.suspect = true

	if f.Crashes.Refusal(f.req) == nil {
		return nil
	}

	f.event(timeline.PoisonFound, t, "")

	return f.attempts.Refuse(request.Poisoned, 0, "targets crashed while they ran this request")
}

// cancel cancels the request on the engine, because its answer is not needed
// any more.
func (f *forwarder) cancel(t *router.Target) {
	const timeout = time.Second

	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	_ = f.cfg.Engine(t).Cancel(ctx, f.req.EngineID)
}
