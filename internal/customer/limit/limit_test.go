package limit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSumOfGrants guards against grants that exceed a plan's limits when its requests
// come through many entries. Whatever the entries request, in any order, the
// unexpired grants and the static shares of entries without one stay within the
// limits.
func TestSumOfGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 8

		p := plan.Plan{
			Name: "p", Concurrency: rapid.IntRange(1, 64).Draw(t, "concurrency"),
			RequestsPerSecond: rapid.IntRange(1, 500).Draw(t, "rate"), TokensPerMinute: 60000,
		}
		all, static := Whole(p), Static(p, entries)

		var owner Owner

		clock := now.Add(time.Hour)
		granted := make(map[instance.ID]Amount)
		until := make(map[instance.ID]time.Time)

		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			id := instance.ID(fmt.Sprint("e", rapid.IntRange(0, entries-1).Draw(t, "entry")))

			running := 0
			if clock.Before(until[id]) {
				running = rapid.IntRange(0, granted[id].Concurrency).Draw(t, "running")
			}

			g := owner.Grant(p, Request{Entry: id, Plan: "p", Running: running, Demand: Amount{
				Rate:        rapid.Float64Range(0, 600).Draw(t, "rate demanded"),
				Concurrency: rapid.IntRange(0, 100).Draw(t, "concurrency demanded"),
				Tokens:      rapid.Float64Range(0, 2000).Draw(t, "tokens demanded"),
			}}, entries, clock)
			granted[id], until[id] = g.Amount, clock.Add(g.TTL)

			var sum Amount

			for i := range entries {
				e := instance.ID(fmt.Sprint("e", i))

				share := static
				if clock.Before(until[e]) {
					share = granted[e]
				}

				sum.Rate += share.Rate
				sum.Concurrency += share.Concurrency
				sum.Tokens += share.Tokens
			}

			const rounding = 1e-6

			if sum.Concurrency > all.Concurrency || sum.Rate > all.Rate+rounding || sum.Tokens > all.Tokens+rounding {
				t.Fatalf("granted %+v of %+v", sum, all)
			}
		}
	})
}

// TestNewOwner checks that after a change of the membership an owner grants nothing
// until the previous owner's grants have expired.
func TestNewOwner(t *testing.T) {
	var owner Owner

	p := plan.Plan{Name: "p", Concurrency: 10}
	r := Request{Entry: "e", Plan: "p", Demand: Amount{Concurrency: 5}}

	owner.MembershipChanged(now)
	assert.Equal(t, owner.Grant(p, r, 2, now.Add(GrantTTL)).TTL, time.Duration(0))
	assert.Equal(t, owner.Grant(p, r, 2, now.Add(GrantTTL+clockMargin)).Concurrency, 5)
}

// TestGrantsFollowDemand checks that an idle entry's part is granted to a busy one and
// is available again within the lifetime of a grant.
func TestGrantsFollowDemand(t *testing.T) {
	var owner Owner

	p := plan.Plan{Name: "p", Concurrency: 8}
	grant := func(id string, demand, running int, at time.Duration) int {
		r := Request{Entry: instance.ID(id), Plan: "p", Demand: Amount{Concurrency: demand}, Running: running}

		return owner.Grant(p, r, 2, now.Add(time.Hour+at)).Concurrency
	}

	assert.Equal(t, grant("a", 8, 0, 0), 7, "all but the static share of b")
	assert.Equal(t, grant("b", 8, 0, 500*time.Millisecond), 1, "the rest")
	assert.Equal(t, grant("a", 8, 2, time.Second), 4, "half, since b demands as much")
	assert.Equal(t, grant("b", 8, 2, 1100*time.Millisecond), 4)
}

// fixture is one entry's shares and a limit owner that may be unreachable.
type fixture struct {
	Shares

	owner       Owner
	plan        plan.Plan
	unreachable bool
}

func newFixture(p plan.Plan) *fixture {
	f := &fixture{plan: p}
	f.Entries = func() int { return 4 }
	f.RequestGrant = func(_ context.Context, r Request) (Grant, error) {
		if f.unreachable {
			return Grant{}, context.DeadlineExceeded
		}

		r.Entry = "e"

		return f.owner.Grant(f.plan, r, 4, time.Now()), nil
	}

	return f
}

func TestConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(plan.Plan{Name: "p", Concurrency: 16})

		admitted := 0

		for range 30 {
			if _, ok := f.Admit(t.Context(), f.plan); ok {
				admitted++
			}
		}

		assert.Equal(t, admitted, 13, "all but the static shares of three others")

		retry, ok := f.Admit(t.Context(), f.plan)
		assert.Assert(t, !ok && retry > 0)

		f.Of("p").Done(0)

		_, ok = f.Admit(t.Context(), f.plan)
		assert.Assert(t, ok)
	})
}

// TestOwnerUnreachable covers a plan whose limit owner has died: its requests continue
// within the static share, and a small plan without a static share waits for the
// next owner instead of being refused at once.
func TestOwnerUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(plan.Plan{Name: "p", Concurrency: 16})
		f.unreachable = true

		_, ok := f.Admit(t.Context(), f.plan)
		assert.Assert(t, ok)

		_, ok = f.Admit(t.Context(), f.plan)
		assert.Assert(t, !ok)

		small := newFixture(plan.Plan{Name: "q", Concurrency: 2})
		small.owner.MembershipChanged(time.Now())

		began := time.Now()
		_, ok = small.Admit(t.Context(), small.plan)
		assert.Assert(t, ok)
		assert.Assert(t, time.Since(began) <= GrantTTL+200*time.Millisecond, "waited %s", time.Since(began))
	})
}

// TestRate checks the rate limit against a plain count: over ten seconds no more
// requests are admitted than the rate and one burst allow.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(plan.Plan{Name: "p", RequestsPerSecond: 40})

		admitted := 0

		for range 2000 {
			share := f.Of("p")
			if v, _ := share.Admit(f.plan, 4, time.Now()); v == Allowed {
				admitted++

				share.Done(0)
			}

			f.Renew(t.Context(), plan.Restore(1, []plan.Plan{f.plan}, nil))
			time.Sleep(5 * time.Millisecond)
		}

		assert.Assert(t, admitted <= 40*11, "%d in ten seconds", admitted)
		assert.Assert(t, admitted >= 40*5, "%d in ten seconds", admitted)
	})
}

func TestTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(plan.Plan{Name: "p", TokensPerMinute: 6000})
		share := f.Of("p")

		v, _ := share.Admit(f.plan, 1, time.Now())
		assert.Equal(t, v, Allowed)
		share.Done(5000)

		v, retry := share.Admit(f.plan, 1, time.Now())
		assert.Assert(t, v != Allowed)
		assert.Assert(t, retry > 10*time.Second, "retry after %s", retry)
		time.Sleep(retry + time.Second)

		v, _ = share.Admit(f.plan, 1, time.Now())
		assert.Equal(t, v, Allowed)
	})
}
