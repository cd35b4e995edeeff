// Package stream checks the frames of an answer and learns how long a live
// stream may be silent. It does no I/O and reads no clock.
package stream

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Checker accepts the frames of one answer, over several streams if it is
// resumed. Set RequestID and Max before use.
//
// It guards against three failures: an engine that swaps two answers, a late
// answer of a cancelled try, and a stream that ends cleanly before its end.
// Each would show as a wrong or short answer that looks right. The guard
// holds because a token is passed on only at exactly the next position of
// this request, and an answer counts as whole only at its end mark.
type Checker struct {
	RequestID string
	// Max is the most tokens that the answer may have.
	Max int
	// next is the index of the first token not yet accepted. It only grows.
	next int
	done bool
}

// WrongRequestError says that a frame belongs to another request.
type WrongRequestError struct{ Want, Got string }

func (e *WrongRequestError) Error() string {
	return fmt.Sprintf("stream: frame of request %s in the stream of %s", e.Got, e.Want)
}

// PositionError says that a frame has the wrong position.
type PositionError struct{ Want, Got int }

func (e *PositionError) Error() string {
	return fmt.Sprintf("stream: frame %d, want %d", e.Got, e.Want)
}

// Accept checks the next frame. It returns the text to pass on, which is
// empty at the end mark.
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

// Next returns the offset at which the answer is to be resumed.
func (c *Checker) Next() int { return c.next }

// Done reports whether the answer is whole.
func (c *Checker) Done() bool { return c.done }

// Bounds of the silence that counts as normal.
const (
	minSilence = 250 * time.Millisecond
	maxSilence = 10 * time.Second
)

// Gap learns the time between events and bounds how long silence may last
// before it is suspicious, as TCP bounds a round trip (Jacobson and Karels).
// The zero value knows nothing and answers with the upper bound.
type Gap struct {
	mean, dev float64
}

// The usual gains of the estimator and the multiple of the deviation.
const (
	meanGain  = 1.0 / 8
	devGain   = 1.0 / 4
	devFactor = 4
)

// Learn takes in one measured gap.
func (g *Gap) Learn(d time.Duration) {
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

// Bound returns how long silence is normal.
func (g *Gap) Bound() time.Duration {
	if g.mean == 0 {
		return maxSilence
	}

	return min(max(time.Duration(g.mean+devFactor*g.dev), minSilence), maxSilence)
}

// Mean returns the learnt mean gap, or zero.
func (g *Gap) Mean() time.Duration { return time.Duration(g.mean) }
