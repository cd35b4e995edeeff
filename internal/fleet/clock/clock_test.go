package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// TestSleepZero guards against a sleep of zero that returns nil although its
// context has ended.
func TestSleepZero(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, clock.Sleep(ctx, 0))
	assert.NilError(t, clock.Sleep(ctx, -time.Second))

	cancel()

	for range 100 {
		assert.ErrorIs(t, clock.Sleep(ctx, 0), context.Canceled)
	}
}

// TestSleepZeroWithFakeClock guards against sleeps of zero that crash the process
// under the race detector with a test's fake clock.
func TestSleepZeroWithFakeClock(t *testing.T) {
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
