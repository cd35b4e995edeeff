package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Weights is a stand-in of the weight store's bandwidth: a number of loads run at full
// speed, and more of them proportionally slower. With the zero value loads take no
// time.
type Weights struct {
	// BytesPerSecond is the speed of one remote load at full speed.
	BytesPerSecond int64
	// Concurrent is the number of loads that run at full speed.
	Concurrent int

	inFlight atomic.Int64
	mu       sync.Mutex
	most     int64
	slowdown float64
}

// Speed of local tiers relative to the remote one.
const (
	memorySpeedup = 10
	diskSpeedup   = 3
)

// Slow divides the store's speed by factor.
func (w *Weights) Slow(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.slowdown = factor
}

// MostInFlight returns the most remote loads that ran at once.
func (w *Weights) MostInFlight() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.most
}

// Fetch implements Fetcher.
func (w *Weights) Fetch(ctx context.Context, _ string, bytes int64, tier target.Tier) error {
	d := w.duration(bytes, tier)

	if tier == target.TierRemote {
		defer w.inFlight.Add(-1)
	}

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (w *Weights) duration(bytes int64, tier target.Tier) time.Duration {
	if w.BytesPerSecond == 0 {
		if tier == target.TierRemote {
			w.inFlight.Add(1)
		}

		return 0
	}

	seconds := float64(bytes) / float64(w.BytesPerSecond)

	switch tier {
	case target.TierMemory:
		seconds /= memorySpeedup
	case target.TierDisk:
		seconds /= diskSpeedup
	case target.TierRemote:
		seconds *= w.crowding()
	}

	return time.Duration(seconds * float64(time.Second))
}

// crowding counts one more remote load and returns how much slower it is.
func (w *Weights) crowding() float64 {
	n := w.inFlight.Add(1)

	w.mu.Lock()
	defer w.mu.Unlock()

	w.most = max(w.most, n)

	factor := max(1, w.slowdown)
	if w.Concurrent > 0 && n > int64(w.Concurrent) {
		factor *= float64(n) / float64(w.Concurrent)
	}

	return factor
}
