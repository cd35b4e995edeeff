// Package clock reads the time, including time for which the machine was suspended,
// and waits on the runtime's clock, which tests can pause and advance.
package clock

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for d. It returns the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	// A timer that is already due when it is created crashes the process under the
	// race detector with a test's fake clock.
	if d <= 0 {
		return ctx.Err()
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// Wait waits for wg. It returns the context's error if the context ends first; a
// goroutine then continues to wait for wg.
func Wait(ctx context.Context, wg *sync.WaitGroup) error {
	done := make(chan struct{})

	go func() {
		wg.Wait()
		close(done)
	}()

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
