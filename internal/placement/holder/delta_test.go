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

// An entry held a mixture of news after lost deltas, lost answers or a change
// of the holder: what it has must be what was published, but for the count of
// running requests.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3

		var (
			histories [entries]History
			// has is what the holder knows of the others.
			has    [entries]Edition
			holder int
		)

		now := time.Unix(0, 0)
		token, number := uint64(1), uint64(0)

		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			number++

			if rapid.IntRange(0, 6).Draw(t, "handover") == 0 {
				token, number = token+1, 1
				holder = rapid.IntRange(0, entries-1).Draw(t, "holder")

				for other := range entries {
					has[other] = histories[holder].News().Edition()
				}
			}

			latest := drawNews(t, token, number)
			histories[holder].Tell(latest, now)

			for other := range entries {
				if other == holder {
					continue
				}

				told, answers := tell(t, &histories[holder], &histories[other], &has[other], now)
				if !told || !answers {
					continue
				}

				if histories[other].News().Number != latest.Number {
					tell(t, &histories[holder], &histories[other], &has[other], now)
				}

				if has[other] == latest.Edition() {
					sameNews(t, histories[other].News(), latest)
				}
			}
		}

		// Once nothing is lost, two tellings bring everybody up to date.
		for other := range entries {
			if other == holder {
				continue
			}

			for range 2 {
				got, ok := histories[other].Merge(histories[holder].Since(has[other]))
				if ok {
					histories[other].Hear(got, now)
				}

				has[other] = histories[other].news.Edition()
			}

			sameNews(t, histories[other].News(), histories[holder].News())
		}
	})
}

// tell plays one telling, which may be lost, or its answer. It reports whether
// they were not.
func tell(t *rapid.T, from, to *History, has *Edition, now time.Time) (told, answered bool) {
	fate := rapid.IntRange(0, 4).Draw(t, "fate")
	if fate == 0 {
		return false, false
	}

	if got, ok := to.Merge(from.Since(*has)); ok {
		to.Hear(got, now)
	}

	if fate == 1 {
		return true, false
	}

	*has = to.news.Edition()

	return true, true
}

func sameNews(t *rapid.T, have, latest News) {
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

// news60 returns news of 60 targets of one holder.
func news60(token, number uint64) News {
	out := News{Process: fmt.Sprint("p", token), Token: token, Number: number}
	for i := range 60 {
		out.Stations = append(out.Stations, Station{Target: instance.ID(fmt.Sprint(i)), Running: 7})
	}

	return out
}

// One load among 60 targets was told to every entry as 60 stations.
func TestDeltaIsSmall(t *testing.T) {
	var h History

	old := news60(1, 1)
	h.Tell(old, time.Unix(0, 0))

	next := news60(1, 2)
	next.Stations[3].Held = []Held{{Model: "m"}}
	next.Stations[4].Running = 8
	next.Stations[5].Running = 7 + runningStep
	h.Tell(next, time.Unix(0, 0))

	d := h.Since(old.Edition())
	assert.Equal(t, d.Base, old.Edition())
	assert.Equal(t, len(d.Stations), 1)
	assert.Equal(t, d.Stations[0].Target, instance.ID("3"))
	assert.DeepEqual(t, d.Counts, []Count{{Target: "5", Running: 7 + runningStep}})
}

// Counts that crept away in small steps were never told.
func TestCountsCreep(t *testing.T) {
	var h History

	first := news60(1, 1)
	h.Tell(first, time.Unix(0, 0))

	for i := range uint64(runningStep) {
		next := news60(1, 2+i)
		next.Stations[0].Running = 8 + int(i)
		h.Tell(next, time.Unix(0, 0))
	}

	assert.DeepEqual(t, h.Since(first.Edition()).Counts, []Count{{Target: "0", Running: 7 + runningStep}})
}

// A new holder told all entries the whole news, which took its link for as long
// as their number took.
func TestNewHolderGoesOn(t *testing.T) {
	var taker, other, started History

	now := time.Unix(0, 0)
	taker.Hear(news60(1, 8), now)
	other.Hear(news60(1, 8), now)

	own := news60(2, 1)
	own.Stations[3].Held = []Held{{Model: "m"}}
	taker.Tell(own, now)

	d := taker.Since(taker.Former())
	assert.Equal(t, d.Base, news60(1, 8).Edition())
	assert.Equal(t, len(d.Stations), 1)

	got, ok := other.Merge(d)
	assert.Assert(t, ok)
	assert.Equal(t, len(got.Stations), 60)

	// A process that has just started says so, and gets the whole.
	_, ok = started.Merge(d)
	assert.Assert(t, !ok)

	d = taker.Since(started.news.Edition())
	assert.Equal(t, d.Base, Edition{})
	assert.Equal(t, len(d.Stations), 60)
}

// BenchmarkHear is taking in that two of 3,000 targets changed.
func BenchmarkHear(b *testing.B) {
	const targets = 3000

	var h, other History

	n := News{Process: "p", Token: 1, Number: 1}
	for i := range targets {
		n.Stations = append(n.Stations, Station{Target: instance.ID(fmt.Sprint("i-", i)), Held: []Held{{Model: "m"}, {Model: "n"}}})
	}

	now := time.Unix(1000, 0)
	h.Tell(n, now)
	other.Hear(h.News(), now)

	for b.Loop() {
		n.Number++
		n.Stations = slices.Clone(n.Stations)
		n.Stations[n.Number%targets].Running += runningStep
		n.Stations[(n.Number+1)%targets].Sequence++

		b.StopTimer()
		h.Tell(n, now)
		b.StartTimer()

		got, ok := other.Merge(h.Since(other.News().Edition()))
		assert.Assert(b, ok)
		other.Hear(got, now)
	}
}
