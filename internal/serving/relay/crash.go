package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// confirmAfter is how long a target must refuse connections to count as dead. Links that
// fail for a moment refuse them too.
const confirmAfter = 300 * time.Millisecond

// againTries is how often a target is asked again that may have ended.
const againTries = 4

// markUnreachable is called when no connection to the target could be opened. It
// records a failure and marks the target's incarnation dead, so that no requests
// are sent to it.
func (d *delivery) markUnreachable(t *router.Target, err error) {
	t.RecordFailure(time.Now())

	if d.recordDeath(t, err) {
		d.Log.Warn().Str("target", string(t.ID)).Msg("target not reached")
	}
}

// recordDeath records that the target's present incarnation seems to be dead, because no
// connection opened. If that was not recorded yet, it calls OnUnreachable, has the death
// confirmed and returns true.
func (d *delivery) recordDeath(t *router.Target, dialErr error) bool {
	death := crash.Death{Target: t.ID, Incarnation: t.Info().Incarnation}
	if !t.MarkDead(death.Incarnation, time.Now()) {
		return false
	}

	if d.OnUnreachable != nil {
		d.OnUnreachable(t)
	}

	// A link that is silent says nothing. The list shows whether the target has ended.
	if errors.Is(dialErr, syscall.ECONNREFUSED) {
		d.Dispatcher.Crashes.Suspect(death)

		go d.confirmDeath(t, death)
	}

	return true
}

// confirmDeath finds out whether a target that seemed to be dead still refuses connections
// after a while.
//
// A refused connection alone is a guess: the link may have failed. A target that accepts
// connections again may have been started anew, which its row in the list then shows.
func (s *Server) confirmDeath(t *router.Target, death crash.Death) {
	time.Sleep(confirmAfter)

	err := s.dial(context.Background(), t)

	switch {
	case err == nil:
		s.Dispatcher.Crashes.Retract(death, time.Now())
	case errors.Is(err, syscall.ECONNREFUSED):
		s.Log.Info().Str("target", string(t.ID)).Str("process", death.Incarnation).Msg("target has ended")
		s.Dispatcher.Crashes.Prove(death)
	}
}

// checkCrash checks whether the target died while it ran the request. It returns
// a refusal if the request is now blocked, and err otherwise.
//
// A target seems to be dead only if no new connection to it opens right after the failure,
// so that a lost answer alone does not make a request suspect, and if this entry reaches
// others. It also seems to be dead if ctx ends before the connection is open.
func (d *delivery) checkCrash(ctx context.Context, t *router.Target, err error) error {
	death := crash.Death{Target: t.ID, Incarnation: t.Info().Incarnation}

	var failed *FailedError
	if noTargetFault(err) || errors.As(err, &failed) || ctx.Err() != nil {
		return err
	}

	if !d.readLate {
		// A target may abort an answer that stayed unread.
		t.RecordFailure(time.Now())
	}

	if !connectionBroken(err) {
		return err
	}

	dialErr := d.dial(ctx, t)
	if dialErr == nil || d.blamesSelf(ctx) {
		go d.checkAgain(t, death)

		return err
	}

	d.recordDeath(t, dialErr)
	d.logDeath(t)

	if d.Dispatcher.Crashes.Refusal(d.req) != nil {
		return d.attemptLog.Refuse(request.Poisoned, 0, "targets crashed while they ran this request")
	}

	return err
}

// checkAgain finds out whether a target has ended, or is another process, that still opened a connection
// after one had broken, or that was not reached while this entry seemed to be cut off.
func (d *delivery) checkAgain(t *router.Target, death crash.Death) {
	wait := portDelay

	for range againTries {
		time.Sleep(wait)

		err := d.dial(context.Background(), t)

		switch {
		case err == nil:
			d.checkReplaced(t, death)

			return
		case !errors.Is(err, syscall.ECONNREFUSED):
			return
		case !d.blamesSelf(context.Background()):
			if d.recordDeath(t, err) {
				d.logDeath(t)
			}

			return
		}

		wait = confirmAfter
	}
}

func (d *delivery) logDeath(t *router.Target) {
	d.Log.Warn().Str("id", d.info.ID).Str("target", string(t.ID)).Uints64("fingerprints", d.fingerprints()).Msg("target died under a request")
}

// BlockedError reports that a request may not be sent to a target any more.
type BlockedError struct{ Refusal *request.Refusal }

func (e *BlockedError) Error() string { return "not sent: " + e.Refusal.Error() }

func (e *BlockedError) Unwrap() error { return e.Refusal }

// blocked returns a *BlockedError if the request may not be sent to a target. It may have been
// blocked while it was queued, or while its connection was opened, or have too little time left.
func (d *delivery) blocked() error {
	if d.mayNotEnd(time.Now()) {
		return &BlockedError{Refusal: shutdownRefusal()}
	}

	if d.probe {
		return nil
	}

	if refusal := d.Dispatcher.Crashes.Refusal(d.req); refusal != nil {
		return &BlockedError{Refusal: refusal}
	}

	return nil
}

// endProbe tells that a probe has not run, so that another request may.
func (d *delivery) endProbe() {
	if d.runs == 0 && d.Dispatcher.Crashes.EndProbe != nil {
		d.Dispatcher.Crashes.EndProbe(d.req.Fingerprints(), d.probeSent)
	}
}

// endOf returns how a run ended.
func (d *delivery) endOf(ctx context.Context, err error) crash.Outcome {
	var failed *FailedError

	switch {
	case err == nil:
		return crash.Answered
	case errors.As(err, &failed):
		return crash.Failed
	case provedNotSent(err):
		return crash.NotRun
	case ctx.Err() != nil, d.retryReserved.Load(), noTargetFault(err), !connectionBroken(err):
		return crash.Abandoned
	default:
		return crash.Broken
	}
}

// fingerprints returns those of the request, for the log.
func (d *delivery) fingerprints() []uint64 {
	var out []uint64

	for _, fp := range d.req.Fingerprints() {
		out = append(out, uint64(fp))
	}

	return out
}

// dial opens a connection to the target and keeps it for the next request. It fails if the
// target accepts none.
func (s *Server) dial(ctx context.Context, t *router.Target) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	c, err := s.Pool.get(ctx, t, true)
	if err == nil {
		s.Pool.put(c, 0)
	}

	return err
}

// connectionBroken reports whether err means that the connection ended during a
// request.
func connectionBroken(err error) bool {
	var opErr *net.OpError

	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &opErr)
}
