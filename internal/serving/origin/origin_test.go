package origin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

func TestAllows(t *testing.T) {
	for name, tc := range map[string]struct {
		origin origin.Origin
		target instance.Software
		want   bool
	}{
		"a stream that has not begun":         {origin.Origin{}, "v1", true},
		"the software that began it":          {origin.Of("v1"), "v1", true},
		"other software":                      {origin.Of("v1"), "v1.1", false},
		"newer and older are both others":     {origin.Of("v1.1"), "v1", false},
		"software without a name":             {origin.Of("v1"), "", false},
		"begun by software without a name":    {origin.Of(""), "", true},
		"unknown":                             {origin.Unknown(), "v1", false},
		"unknown, and software has no name":   {origin.Unknown(), "", false},
		"not begun, and software has no name": {origin.Origin{}, "", true},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.origin.Allows(tc.target), tc.want) })
	}
}

func TestKeysOfOthersDiffer(t *testing.T) {
	own := origin.KeyOf("team", "s/m", "id")

	assert.Equal(t, own, origin.KeyOf("team", "s/m", "id"))
	assert.Equal(t, len(own.String()), 16)

	for _, other := range []origin.Key{
		origin.KeyOf("other", "s/m", "id"), origin.KeyOf("team", "s/n", "id"), origin.KeyOf("team", "s/m", "id2"), origin.KeyOf("teams", "/m", "id"),
	} {
		assert.Assert(t, own != other)
	}
}

// TestHistory plays releases. Only says what began a stream of which nothing else is known.
func TestHistory(t *testing.T) {
	start := time.Unix(1000, 0)

	for name, tc := range map[string]struct {
		// listed are the software on the list, ten seconds apart.
		listed [][]instance.Software
		want   origin.Origin
	}{
		"nothing was ever listed":          {nil, origin.Unknown()},
		"one":                              {[][]instance.Software{{"a"}, {"a"}}, origin.Of("a")},
		"side by side":                     {[][]instance.Software{{"a"}, {"a", "b"}}, origin.Unknown()},
		"the older has just gone":          {[][]instance.Software{{"a"}, {"a", "b"}, {"b"}}, origin.Unknown()},
		"rolled back":                      {[][]instance.Software{{"a"}, {"a", "b"}, {"a"}}, origin.Unknown()},
		"the list is empty for a while":    {[][]instance.Software{{"a"}, {}, {"a"}}, origin.Of("a")},
		"the older went long ago":          {[][]instance.Software{{"a"}, {"a", "b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}, {"b"}}, origin.Of("b")},
		"the older came back in between":   {[][]instance.Software{{"a"}, {"b"}, {"a", "b"}, {"b"}, {"b"}}, origin.Unknown()},
		"three, and then one of them":      {[][]instance.Software{{"a", "b", "c"}, {"c"}}, origin.Unknown()},
		"software without a name is one":   {[][]instance.Software{{""}}, origin.Of("")},
		"one with, another without a name": {[][]instance.Software{{"", "a"}}, origin.Unknown()},
	} {
		t.Run(name, func(t *testing.T) {
			var h origin.History

			for i, listed := range tc.listed {
				h, _ = h.Update(listed, true, start.Add(time.Duration(i)*10*time.Second))
			}

			assert.Equal(t, h.Only(), tc.want)
		})
	}
}

// TestSoftwareThatIsNotRecorded guards against a stream that is taken for one of the only software that is recorded, while targets already have another.
func TestSoftwareThatIsNotRecorded(t *testing.T) {
	h := origin.History{Spans: []origin.Span{{Software: "a"}}}

	assert.Equal(t, h.OnlyOf([]instance.Software{"a"}), origin.Of("a"))
	assert.Equal(t, h.OnlyOf(nil), origin.Of("a"))
	assert.Equal(t, h.OnlyOf([]instance.Software{"a", "b"}), origin.Unknown())
	assert.Equal(t, h.OnlyOf([]instance.Software{"b"}), origin.Unknown())
}

func TestOnlyHolderForgetsSoftware(t *testing.T) {
	h, _ := origin.History{}.Update([]instance.Software{"a", "b"}, true, time.Unix(0, 0))
	h, changed := h.Update([]instance.Software{"b"}, false, time.Unix(1000, 0))

	assert.Assert(t, !changed)
	assert.Assert(t, h.Lists("a"))
}

func TestBook(t *testing.T) {
	now := time.Unix(1000, 0)
	until := now.Add(10 * time.Second)
	record := func(k origin.Key) origin.Record { return origin.Record{Key: k, Software: "v1", Until: until} }

	var b origin.Book

	b.Begin("s", record(1), now)
	b.Begin("s", record(2), now)
	b.Begin("other", record(3), now)
	b.Tell([]origin.Record{{Key: 9, Software: "v2", Until: until}}, now)

	s, ok := b.Find(9)
	assert.Assert(t, ok && s == "v2")

	assert.Equal(t, len(b.TakeUnshared("s")), 2)
	assert.Equal(t, len(b.TakeUnshared("s")), 0)

	stored := b.TakeUnstored("s")
	assert.Equal(t, len(stored), 2)
	b.Unstore(stored[0].Key)
	assert.Equal(t, len(b.TakeUnstored("s")), 1)

	assert.Assert(t, b.End(1))

	_, ok = b.Find(1)
	assert.Assert(t, !ok)
	assert.Assert(t, !b.End(3), "the store has no row of it")

	assert.DeepEqual(t, b.Expired(until.Add(time.Second)), []origin.Key{2})
	b.Tell(nil, until.Add(time.Second))

	_, ok = b.Find(9)
	assert.Assert(t, !ok)
}

// TestChainIsOneStream guards against a stream that is taken up twice and is then recorded as begun by the target that went on with it.
func TestChainIsOneStream(t *testing.T) {
	var b origin.Book

	now := time.Unix(0, 0)
	b.Begin("s", origin.Record{Key: 1, Software: "v1", Until: now.Add(time.Hour)}, now)
	b.Begin("s", origin.Record{Key: 1, Software: "v2", Until: now.Add(time.Hour)}, now)

	s, _ := b.Find(1)
	assert.Equal(t, s, instance.Software("v1"))
}
