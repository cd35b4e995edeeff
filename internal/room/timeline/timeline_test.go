package timeline

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// TestCauseBeforeEffect checks the merged order of events of two instances whose
// clocks are ten minutes apart. One orders a load, the other confirms it, and
// the first answers the request: the order must come first and the answer last.
func TestCauseBeforeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &Log{Instance: "a", Process: "pa"}, &Log{Instance: "b", Process: "pb"}

		// The clock of a runs ten minutes ahead.
		a.Clock.Observe(StampOf(time.Now().Add(10 * time.Minute)))

		for i := range 5 {
			request := fmt.Sprint(i)
			a.Add(Event{Kind: LoadOrdered, Request: request})
			b.Clock.Observe(a.Clock.Now())
			b.Add(Event{Kind: LoadConfirmed, Request: request})
			a.Clock.Observe(b.Clock.Now())
			a.Add(Event{Kind: Answered, Request: request})
			time.Sleep(time.Second)
		}

		merged := Merge(b.Query(Filter{}), a.Query(Filter{}))
		assert.Equal(t, len(merged), 15)

		for i, e := range merged {
			assert.Equal(t, e.Kind, []Kind{LoadOrdered, LoadConfirmed, Answered}[i%3])
			assert.Equal(t, e.Request, fmt.Sprint(i/3))
		}
	})
}

func TestCopiesAndGaps(t *testing.T) {
	a, b := &Log{Instance: "a", Process: "pa"}, &Log{Instance: "b", Process: "pb"}

	for range 10 {
		a.Add(Event{Kind: Sent})
	}

	events := a.After(0, 100)
	assert.Equal(t, len(events), 10)
	assert.Equal(t, len(a.After(7, 2)), 2)

	// Instance a is dead, and b has copies of all its events but the fourth to the
	// sixth.
	b.Keep(events[:3])
	b.Keep(events[6:])
	b.Keep(events[6:])
	b.Add(Event{Kind: Answered})

	merged := b.Query(Filter{})
	assert.Equal(t, len(merged), 8, "duplicate copies count once")
	assert.DeepEqual(t, Gaps(merged), []Gap{{Instance: "a", Process: "pa", From: 4, To: 6}})
}

func TestRingIsBounded(t *testing.T) {
	var l Log
	for range ringSize + 10 {
		l.Add(Event{Kind: Sent})
	}

	events := l.Query(Filter{})
	assert.Equal(t, len(events), ringSize)
	assert.Equal(t, events[0].Number, uint64(11))
}

func TestFilter(t *testing.T) {
	var l Log

	l.Add(Event{Request: "r", Model: "m"})
	l.Add(Event{Request: "r", Model: "n"})
	l.Add(Event{Model: "m"})

	for name, tc := range map[string]struct {
		f    Filter
		want int
	}{
		"all":     {Filter{}, 3},
		"request": {Filter{Request: "r"}, 2},
		"model":   {Filter{Model: "m"}, 2},
		"both":    {Filter{Request: "r", Model: "m"}, 1},
		"later":   {Filter{Since: l.Clock.Now()}, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, len(l.Query(tc.f)), tc.want) })
	}
}

func BenchmarkAdd(b *testing.B) {
	l := &Log{Instance: instance.ID("entry"), Process: "p"}

	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Add(Event{Kind: Sent, Request: "request", Model: "model", Target: "target"})
		}
	})
}
