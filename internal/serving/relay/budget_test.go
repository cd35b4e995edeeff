package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestBudgetsKeepTheBound checks that the retries of all entries together stay
// within the operators' limit in every window, when targets fail in large
// numbers and every entry retries as much as its budget allows. Entries also
// crash and restart meanwhile, and start with empty budgets then: with full
// budgets, 83 entries that restart at once could make 684 retries in a window
// whose limit is 649.
func TestBudgetsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second

		allowed := RetryLimit{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Burst: rapid.Float64Range(20, 100).Draw(t, "burst"), Window: window,
		}
		entries := rapid.IntRange(1, 16).Draw(t, "entries")
		all := make([]RetryBudgets, entries)

		for i := range all {
			all[i].Limit = allowed
			all[i].SetEntries(entries)
		}

		var requests, retries []time.Time

		now := time.Unix(0, 0)

		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gapMs")) * time.Millisecond)
			b := &all[rapid.IntRange(0, entries-1).Draw(t, "entry")]

			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				*b = RetryBudgets{Limit: allowed, Started: now}
				b.SetEntries(entries)
			}

			b.Credit("s", now)

			requests = append(requests, now)

			for b.TryDebit("s", now) {
				retries = append(retries, now)
			}
		}

		for i, from := range retries {
			n := 0
			for n < len(retries)-i && retries[i+n].Sub(from) < window {
				n++
			}

			// The limit counts the requests of this window and of the window
			// before it.
			requestCount := 0

			for _, at := range requests {
				if at.After(from.Add(-window)) && at.Before(from.Add(window)) {
					requestCount++
				}
			}

			assert.Assert(t, float64(n) <= allowed.Ratio*float64(requestCount)+allowed.Burst, "%d retries for %d requests", n, requestCount)
		}
	})
}

// retryPlay is a play of entries that retry as much as they may.
type retryPlay struct {
	limit   RetryLimit
	entries []RetryBudgets
	now     time.Time
	// requests are when clients sent requests, and retries when entries sent some again.
	requests, retries []time.Time
}

func newRetryPlay(entries int, burst float64) *retryPlay {
	p := &retryPlay{limit: RetryLimit{Ratio: 0.2, Burst: burst, Window: 10 * time.Second}, entries: make([]RetryBudgets, entries), now: time.Unix(1000, 0)}
	for i := range p.entries {
		p.entries[i].Limit = p.limit
		p.entries[i].SetEntries(entries)
	}

	return p
}

// ask has an entry get a request.
func (p *retryPlay) ask(i int) {
	p.requests = append(p.requests, p.now)
	p.entries[i].Credit("s", p.now)
}

// fail makes all entries retry for a time as often as they may.
func (p *retryPlay) fail(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(50 * time.Millisecond) {
		for i := range p.entries {
			for p.entries[i].TryDebit("s", p.now) {
				p.retries = append(p.retries, p.now)
			}
		}
	}
}

// restart gives all entries new processes.
func (p *retryPlay) restart() {
	for i := range p.entries {
		p.entries[i] = RetryBudgets{Limit: p.limit, Started: p.now}
		p.entries[i].SetEntries(len(p.entries))
	}
}

// broken returns the first window with more retries than the users' rule allows.
func (p *retryPlay) broken() string {
	between := func(all []time.Time, from, to time.Time) (n int) {
		for _, at := range all {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}

		return n
	}

	for _, from := range p.retries {
		to := from.Add(p.limit.Window)
		requests := 0

		for _, before := range []time.Duration{0, p.limit.Window / 2, p.limit.Window} {
			requests = max(requests, between(p.requests, from.Add(-before), to.Add(-before)))
		}

		allowed := p.limit.Ratio*float64(requests) + p.limit.Burst
		if n := between(p.retries, from, to); float64(n) > allowed {
			return fmt.Sprintf("%d retries for %d requests, %.0f are allowed", n, requests, allowed)
		}
	}

	return ""
}

// TestRetriesInAWindow guards against retries beyond the users' limit where many entries share a small burst, and where all entries are started anew while targets fail.
func TestRetriesInAWindow(t *testing.T) {
	for _, entries := range []int{4, 7, 10, 28, 60, 87, 300} {
		for _, burst := range []float64{5, 54} {
			for name, play := range map[string]func(*retryPlay){
				"targets fail":             func(p *retryPlay) { p.fail(30 * time.Second) },
				"targets fail after calm":  func(p *retryPlay) { p.now = p.now.Add(time.Minute); p.fail(15 * time.Second) },
				"all restart as they fail": func(p *retryPlay) { p.fail(3 * time.Second); p.restart(); p.fail(20 * time.Second) },
			} {
				t.Run(fmt.Sprintf("%d entries, burst %v, %s", entries, burst, name), func(t *testing.T) {
					p := newRetryPlay(entries, burst)
					for i := range 100 {
						p.ask(i % entries)
					}

					play(p)
					assert.Equal(t, p.broken(), "")
				})
			}
		}
	}
}

// TestRequestIsCreditedOnce guards against retries that are allowed for a request long after its client sent it, or at two entries for one request.
func TestRequestIsCreditedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		handler func(*Server) http.Handler
		header  []string
		want    float64
	}{
		"a client's own":           {func(s *Server) http.Handler { return s }, nil, 1},
		"passed on by a neighbour": {(*Server).PassedOn, []string{headerRuns, "1"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *fixture

				f = newFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) {
					requests, _ := f.server.Budgets.buckets["s"].counts()
					assert.Check(t, requests == tc.want, "%v requests are credited", requests)
					writeAnswer(w, "200 OK", "", "done")
				}, route.Route{Kind: route.Idempotent, Timeout: 5 * time.Second})
				defer f.close()

				f.server.Budgets.TryDebit("s", time.Now())

				rec, _ := f.doWith(t.Context(), tc.handler(f.server), "body", tc.header...)
				assert.Equal(t, rec.Code, http.StatusOK)
			})
		})
	}
}

// counts returns what the bucket has counted in all of its slots.
func (b *bucket) counts() (requests, retries float64) {
	for _, s := range b.recent.slots {
		requests, retries = requests+s.requests, retries+s.retries
	}

	return requests, retries
}
