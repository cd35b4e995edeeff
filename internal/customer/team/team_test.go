package team

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
)

func keys(names ...string) []key.Digest {
	out := make([]key.Digest, len(names))
	for i, name := range names {
		out[i] = key.DigestOf(name)
	}

	return out
}

func TestSet(t *testing.T) {
	s, err := NewSet([]Team{{Name: "a", Keys: keys("a1", "a2", "a1")}, {Name: "b", Keys: keys("b1")}, {Name: "c"}})
	assert.NilError(t, err)
	assert.Equal(t, s.Len(), 3)
	assert.Equal(t, s.ByKey(key.DigestOf("a2")).Name, "a")
	assert.Equal(t, s.ByKey(key.DigestOf("b1")).Name, "b")
	assert.Assert(t, s.ByKey(key.DigestOf("b2")) == nil)
	assert.Equal(t, s.ByName("c").Name, "c")
	assert.Assert(t, s.ByName("d") == nil)

	var none Set

	assert.Assert(t, none.ByKey(key.DigestOf("a")) == nil && none.ByName("a") == nil && none.Len() == 0)
}

func TestNewSetFails(t *testing.T) {
	for name, tc := range map[string]struct {
		teams []Team
		want  string
	}{
		"team twice":        {[]Team{{Name: "a"}, {Name: "a"}}, "team a: named twice"},
		"key of two":        {[]Team{{Name: "a", Keys: keys("k")}, {Name: "b", Keys: keys("k")}}, "team b: has a key of team a"},
		"team without name": {[]Team{{}}, "team : no name"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewSet(tc.teams)

			var invalid *InvalidError

			assert.Assert(t, errors.As(err, &invalid))
			assert.Error(t, err, tc.want)
		})
	}
}

func TestCheckBursts(t *testing.T) {
	s, err := NewSet([]Team{
		{Name: "ample", Limit: Limit{PerSecond: 5, Burst: 5}},
		{Name: "none"},
		{Name: "requests", Limit: Limit{PerSecond: 0.5, Burst: 0.5}},
		{Name: "tokens", Limit: Limit{PerSecond: 100, Burst: 100, Unit: Tokens, DefaultCost: 200}},
	})
	assert.NilError(t, err)

	errs := fmt.Sprint(s.CheckBursts())
	assert.Equal(t, len(s.CheckBursts()), 2, errs)
	assert.Assert(t, strings.Contains(errs, "team requests: the burst of 0.5 does not allow one request of 1"), errs)
	assert.Assert(t, strings.Contains(errs, "team tokens: the burst of 100 does not allow one request of 200"), errs)
}

func TestCost(t *testing.T) {
	tokens := Limit{Unit: Tokens, DefaultCost: 200}

	assert.Equal(t, Limit{}.Cost(1500, true), 1.0)
	assert.Equal(t, tokens.Cost(1500, true), 1500.0)
	assert.Equal(t, tokens.Cost(0, true), 0.0)
	assert.Equal(t, tokens.Cost(0, false), 200.0)
}

// BenchmarkByKey measures one lookup among 100 teams with 100 keys each, including
// the digest.
func BenchmarkByKey(b *testing.B) {
	teams := make([]Team, 100)
	for i := range teams {
		teams[i].Name = fmt.Sprint("team-", i)
		for j := range 100 {
			teams[i].Keys = append(teams[i].Keys, key.DigestOf(fmt.Sprint(i, "-", j)))
		}
	}

	s, err := NewSet(teams)
	assert.NilError(b, err)

	for b.Loop() {
		if s.ByKey(key.DigestOf("57-31")) == nil {
			b.Fatal("not found")
		}
	}
}
