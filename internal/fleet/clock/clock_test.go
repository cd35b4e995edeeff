package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// A wait of nothing in a context that has ended was taken for one that passed.
func TestSleepOfNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, clock.Sleep(ctx, 0))
	assert.NilError(t, clock.Sleep(ctx, -time.Second))

	cancel()

	for range 100 {
		assert.ErrorIs(t, clock.Sleep(ctx, 0), context.Canceled)
	}
}

// Waits of nothing ended the process in a test's clock under the race detector.
func TestSleepOfNothingInBubbles(t *testing.T) {
	for range 1500 {
		synctest.Test(t, func(t *testing.T) {
			for range 8 {
				go sleepAndWait(t.Context())
			}

			time.Sleep(time.Second)
		})
	}
}

func sleepAndWait(ctx context.Context) {
	for range 20 {
		_ = clock.Sleep(ctx, 0)

		time.Sleep(time.Millisecond)
	}
}
