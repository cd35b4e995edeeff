package dispatch

import (
	"context"
	"sync/atomic"
	"time"
)

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
