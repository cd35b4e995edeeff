// Package stream checks the frames of an answer and estimates how long a live
// stream may be silent. It does no I/O and reads no clock.
package stream

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Checker accepts the frames of one answer, which may span several streams if
// it is resumed. Set RequestID and Max before use.
//
// It detects three failures: an engine that swaps two answers, a late answer to
// a cancelled attempt, and a stream that ends cleanly too early. Each would
// look like a valid answer that is wrong or short. A token is therefore
// accepted only at the next position of this request, and the answer is
// complete only at its end mark.
type Checker struct {
	RequestID string
	// Max is the maximum number of tokens of the answer.
	Max int
	// next is the index of the next token. It only increases.
	next int
	done bool
}

// WrongRequestError says that a frame belongs to another request.
type WrongRequestError struct{ Want, Got string }

func (e *WrongRequestError) Error() string {
	return fmt.Sprintf("stream: frame of request %s in the stream of %s", e.Got, e.Want)
}

// PositionError says that a frame has the wrong position in the answer.
type PositionError struct{ Want, Got int }

func (e *PositionError) Error() string {
	return fmt.Sprintf("stream: frame %d, want %d", e.Got, e.Want)
}

// Accept checks the next frame and returns its text, which is empty at the end
// mark.
func (c *Checker) Accept(f target.Frame) (string, error) {
	if f.RequestID != c.RequestID {
		return "", &WrongRequestError{Want: c.RequestID, Got: f.RequestID}
	}

	if f.Index != c.next || c.done || f.Index > c.Max {
		return "", &PositionError{Want: c.next, Got: f.Index}
	}

	if f.End {
		c.done = true

		return "", nil
	}

	c.next++

	return f.Text, nil
}

// Next returns the offset from which the answer is to be resumed.
func (c *Checker) Next() int { return c.next }

// Done reports whether the answer is complete.
func (c *Checker) Done() bool { return c.done }

// Limits of the silence that counts as normal.
const (
	minSilence = 250 * time.Millisecond
	maxSilence = 10 * time.Second
)

// GapEstimator estimates the time between the events of a stream and how long a
// silence is normal, as TCP estimates its retransmission timeout (Jacobson and Karels).
// Without samples the bound is maxSilence.
type GapEstimator struct {
	mean, dev float64
}

// The estimator's gains and its deviation factor, as in TCP.
const (
	meanGain  = 1.0 / 8
	devGain   = 1.0 / 4
	devFactor = 4
)

// Observe adds one sample.
func (g *GapEstimator) Observe(d time.Duration) {
	x := float64(d)
	if g.mean == 0 {
		g.mean, g.dev = x, x/2

		return
	}

	diff := x - g.mean
	g.mean += meanGain * diff

	if diff < 0 {
		diff = -diff
	}

	g.dev += devGain * (diff - g.dev)
}

// Bound returns the longest silence that counts as normal.
func (g *GapEstimator) Bound() time.Duration {
	if g.mean == 0 {
		return maxSilence
	}

	return min(max(time.Duration(g.mean+devFactor*g.dev), minSilence), maxSilence)
}

// Mean returns the smoothed mean gap, or zero without samples.
func (g *GapEstimator) Mean() time.Duration { return time.Duration(g.mean) }
