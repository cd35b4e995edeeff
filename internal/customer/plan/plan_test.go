package plan

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
)

func planOf(name string, keys ...string) Plan {
	p := Plan{Name: name, Customer: name, RequestTimeout: time.Second}
	for _, k := range keys {
		p.Keys = append(p.Keys, key.DigestOf(k))
	}

	return p
}

func TestAuthenticate(t *testing.T) {
	s := State{}.Apply(Edit{Version: 1, Changes: []Change{
		SetPlan{planOf("a", "k1", "k2")},
		SetPlan{planOf("b", "k3")},
		Allow{Allowance{"a", Model, "m"}},
		Allow{Allowance{"a", Service, "s"}},
	}})

	p, ok := s.Authenticate(key.DigestOf("k2"))
	assert.Assert(t, ok && p.Name == "a")

	_, ok = s.Authenticate(key.DigestOf("k4"))
	assert.Assert(t, !ok)
	assert.Assert(t, s.Allows("a", Model, "m") && !s.Allows("a", Service, "m") && !s.Allows("b", Model, "m"))
	assert.Equal(t, len(s.Allowances("a")), 2)

	// A key that moves to another plan stays with that plan, whatever the order of
	// the changes.
	next := s.Apply(Edit{Version: 2, Changes: []Change{SetPlan{planOf("b", "k2", "k3")}, SetPlan{planOf("a", "k1")}}})

	p, _ = next.Authenticate(key.DigestOf("k2"))
	assert.Equal(t, p.Name, "b")

	p, _ = s.Authenticate(key.DigestOf("k2"))
	assert.Equal(t, p.Name, "a", "an old state does not change")

	gone := next.Apply(Edit{Version: 3, Changes: []Change{RemovePlan{"a"}, Disallow{Allowance{"a", Model, "m"}}}})

	_, ok = gone.Authenticate(key.DigestOf("k1"))
	assert.Assert(t, !ok && !gone.Allows("a", Model, "m"))
	assert.Equal(t, gone.Version(), uint64(3))
}

// TestDiff checks that applying the difference between two lists leads from one to
// the other, and that equal lists have no difference.
func TestDiff(t *testing.T) {
	randomState := func(t *rapid.T) State {
		var (
			plans      []Plan
			allowances []Allowance
		)

		for i := range rapid.IntRange(0, 4).Draw(t, "plans") {
			p := planOf(fmt.Sprint("p", i), fmt.Sprint("k", i))
			p.Concurrency = rapid.IntRange(0, 2).Draw(t, "concurrency")
			plans = append(plans, p)

			for m := range rapid.IntRange(0, 4).Draw(t, "models") {
				allowances = append(allowances, Allowance{p.Name, Model, fmt.Sprint("m", m)})
			}
		}

		return Restore(7, plans, allowances)
	}

	rapid.Check(t, func(t *rapid.T) {
		from, to := randomState(t), randomState(t)
		got := from.Apply(Edit{Version: 8, Changes: Diff(from, to)})

		if rest := Diff(got, to); len(rest) > 0 {
			t.Fatalf("left over: %v", rest)
		}

		if again := Diff(to, to); len(again) > 0 {
			t.Fatalf("between equal lists: %v", again)
		}
	})
}

// lists builds lists of n adapters, spread over n/1000+1 plans.
func lists(n int) State {
	var (
		plans      []Plan
		allowances []Allowance
	)

	const perPlan = 1000

	for i := range n/perPlan + 1 {
		plans = append(plans, planOf(fmt.Sprintf("plan-%04d", i), fmt.Sprint("key ", i)))
	}

	for i := range n {
		allowances = append(allowances, Allowance{
			Plan: fmt.Sprintf("plan-%04d", i/perPlan), Kind: Model, Name: fmt.Sprintf("adapter-%06d", i),
		})
	}

	return Restore(1, plans, allowances)
}

// BenchmarkApply measures the change of one allowance; its cost must not grow with
// the lists.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{880, 8800, 88000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			s := lists(n)
			e := Edit{Version: 2, Changes: []Change{Allow{Allowance{"plan-0000", Model, "one-more"}}}}

			b.ReportAllocs()

			for b.Loop() {
				s.Apply(e)
			}
		})
	}
}

// BenchmarkMemory measures the memory of one copy of the lists.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{880, 8800, 88000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			s := lists(n)

			runtime.GC()
			runtime.ReadMemStats(&after)
			perAdapter := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)

			for b.Loop() {
				s.Allows("plan-0000", Model, "adapter-000001")
			}

			b.ReportMetric(perAdapter, "bytes/adapter")
			runtime.KeepAlive(s)
		})
	}
}
