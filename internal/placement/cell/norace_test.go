//go:build !race

package cell

const raceDetector = false
