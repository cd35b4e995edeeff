package holder

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// drawNews draws news of a small site, so that stations often stay as they
// were.
func drawNews(t *rapid.T, token, number uint64) News {
	n := News{Holder: "h", Process: fmt.Sprint("p", token), Token: token, Number: number}

	for i := range 4 {
		if rapid.IntRange(0, 4).Draw(t, "listed") == 0 {
			continue
		}

		s := Station{
			Target: instance.ID(fmt.Sprint("t", i)), Born: int64(rapid.IntRange(1, 2).Draw(t, "born")),
			Sequence: uint64(rapid.IntRange(0, 2).Draw(t, "sequence")), Running: rapid.IntRange(0, 5).Draw(t, "running"),
		}
		if rapid.Bool().Draw(t, "holds") {
			s.Held = []Held{{Model: "m", Ready: time.Unix(int64(rapid.IntRange(0, 1).Draw(t, "ready")), 0)}}
		}

		n.Stations = append(n.Stations, s)
	}

	return n
}

func stations(n News) []Station {
	out := slices.Clone(n.Stations)
	slices.SortFunc(out, func(a, b Station) int { return cmp.Compare(a.Target, b.Target) })

	return out
}

// TestDeltas: entries get what changed instead of the whole. Some deltas get
// lost with or without the sender's knowledge, holders change, and a former
// one's come late. An entry must never hold a mixture: what it has is what was
// published under that number, but for the count of running requests.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			box  Mailbox
			have News
		)

		token, number := uint64(1), uint64(0)

		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			number++

			if rapid.IntRange(0, 6).Draw(t, "handover") == 0 {
				token, number = token+1, 1
			}

			latest := drawNews(t, token, number)
			box.Post(latest)

			d := box.Next()

			switch rapid.IntRange(0, 4).Draw(t, "fate") {
			case 0: // Lost, and the sender knows.
				box.Forget()

				continue
			case 1: // Taken in, but the answer is lost.
				if got, ok := have.Merge(d); ok {
					have = got
				}

				box.Forget()

				continue
			}

			got, ok := have.Merge(d)
			if !ok {
				box.Forget()

				d = box.Next()
				got, ok = have.Merge(d)
			}

			assert.Assert(t, ok, "a whole delta was not taken in")
			box.Told(d)

			have = got

			assert.Equal(t, have.Number, latest.Number)

			want, now := stations(latest), stations(have)
			assert.Equal(t, len(now), len(want))

			for i := range want {
				apart := now[i].Running - want[i].Running
				assert.Assert(t, max(apart, -apart) < runningStep)

				now[i].Running = want[i].Running
				assert.DeepEqual(t, now[i], want[i])
			}
		}
	})
}

// TestDeltaIsSmall: one load among 60 engines is told to every entry. The whole
// would be 60 stations each time.
func TestDeltaIsSmall(t *testing.T) {
	old := News{Process: "p", Token: 1, Number: 1}
	for i := range 60 {
		old.Stations = append(old.Stations, Station{Target: instance.ID(fmt.Sprint(i)), Running: 7})
	}

	next := old
	next.Number = 2
	next.Stations = slices.Clone(old.Stations)
	next.Stations[3].Held = []Held{{Model: "m"}}
	next.Stations[4].Running = 8

	d := next.Since(old)
	assert.Equal(t, d.Base, uint64(1))
	assert.Equal(t, len(d.Stations), 1)
	assert.Equal(t, d.Stations[0].Target, instance.ID("3"))
}
