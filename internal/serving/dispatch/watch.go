package dispatch

import (
	"context"
	"sync/atomic"
	"time"
)

// stallError says that a stream was silent for longer than is normal for its
// model.
type stallError struct{ err error }

func (e *stallError) Error() string { return "stream went silent: " + e.err.Error() }

func (e *stallError) Unwrap() error { return e.err }

// stallTimer cancels an attempt whose stream is silent for too long.
//
// A connection may stop carrying data for good while new connections work.
// Without the timer the request would then hang until its deadline.
type stallTimer struct {
	ctx     context.Context //nolint:containedctx // The timer owns the context.
	cancel  context.CancelFunc
	timer   *time.Timer
	stalled atomic.Bool
}

func newStallTimer(ctx context.Context, bound time.Duration) *stallTimer {
	t := &stallTimer{}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.timer = time.AfterFunc(bound, func() {
		t.stalled.Store(true)
		t.cancel()
	})

	return t
}

func (t *stallTimer) pause() { t.timer.Stop() }

func (t *stallTimer) reset(bound time.Duration) { t.timer.Reset(bound) }

func (t *stallTimer) stop() {
	t.timer.Stop()
	t.cancel()
}

func (t *stallTimer) wrap(err error) error {
	if t.stalled.Load() {
		return &stallError{err}
	}

	return err
}
