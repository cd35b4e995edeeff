//go:build race

package play

import (
	"runtime"
	"testing"
)

// UnderDetector says that tests run with the race detector, where whole entries in simulated time
// take ten times as long: tables of many like cases play some of them.
const UnderDetector = true

// OneProcessor runs a test on one processor. All goroutines of simulated time share one context
// of the race detector for their timers, which crashes when two threads use it at once.
func OneProcessor(t *testing.T) {
	t.Helper()

	before := runtime.GOMAXPROCS(1)

	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}
