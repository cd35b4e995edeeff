//go:build !race

package node_test

import "testing"

// underDetector says that tests run with the race detector.
const underDetector = false

// oneProcessor has work to do with the race detector only.
func oneProcessor(*testing.T) {}
