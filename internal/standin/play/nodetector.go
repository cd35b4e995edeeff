//go:build !race

package play

import "testing"

// UnderDetector says that tests run with the race detector.
const UnderDetector = false

// OneProcessor has work to do with the race detector only.
func OneProcessor(*testing.T) {}
