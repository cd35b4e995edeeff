package stream

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

func frame(id string, index int, end bool) target.Frame {
	return target.Frame{RequestID: id, Index: index, Text: "x", End: end}
}

// TestChecker checks answers that are swapped, late or truncated. The client
// must get each token of its own answer once and in order, and a truncated
// answer must not count as complete.
func TestChecker(t *testing.T) {
	for name, tc := range map[string]struct {
		frames []target.Frame
		next   int
		done   bool
		bad    bool
	}{
		"complete":                 {[]target.Frame{frame("r", 0, false), frame("r", 1, false), frame("r", 2, true)}, 2, true, false},
		"cut before its end mark":  {[]target.Frame{frame("r", 0, false)}, 1, false, false},
		"another request's":        {[]target.Frame{frame("r", 0, false), frame("q", 1, false)}, 1, false, true},
		"a token twice":            {[]target.Frame{frame("r", 0, false), frame("r", 0, false)}, 1, false, true},
		"a token missing":          {[]target.Frame{frame("r", 0, false), frame("r", 2, false)}, 1, false, true},
		"end mark too early":       {[]target.Frame{frame("r", 0, false), frame("r", 3, true)}, 1, false, true},
		"a token after the end":    {[]target.Frame{frame("r", 0, true), frame("r", 0, false)}, 0, true, true},
		"more than were asked for": {[]target.Frame{frame("r", 0, false), frame("r", 1, false), frame("r", 2, false), frame("r", 3, false), frame("r", 4, false)}, 4, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := Checker{RequestID: "r", Max: 3}

			var err error
			for _, f := range tc.frames {
				if _, err = c.Accept(f); err != nil {
					break
				}
			}

			assert.Equal(t, err != nil, tc.bad)
			assert.Equal(t, c.Next(), tc.next)
			assert.Equal(t, c.Done(), tc.done)
		})
	}

	var wrongRequest *WrongRequestError

	_, err := (&Checker{RequestID: "r", Max: 1}).Accept(frame("q", 0, false))
	assert.Assert(t, errors.As(err, &wrongRequest))
}

func TestGapEstimator(t *testing.T) {
	var g GapEstimator

	assert.Equal(t, g.Bound(), maxSilence)

	for range 100 {
		g.Observe(40 * time.Millisecond)
	}

	assert.Equal(t, g.Bound(), minSilence)

	for range 100 {
		g.Observe(400 * time.Millisecond)
		g.Observe(600 * time.Millisecond)
	}

	assert.Assert(t, g.Bound() > 600*time.Millisecond && g.Bound() < 1500*time.Millisecond, "%s", g.Bound())
}

func BenchmarkAccept(b *testing.B) {
	b.ReportAllocs()

	c := Checker{RequestID: "request", Max: 1 << 60}
	f := frame("request", 0, false)

	for b.Loop() {
		if _, err := c.Accept(f); err != nil {
			b.Fatal(err)
		}

		f.Index++
	}
}
