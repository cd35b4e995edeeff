package gateway

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// planTotals counts answers, tokens and refusals by plan. The zero value is
// ready to use.
type planTotals struct{ plans sync.Map }

// planTotal holds the totals of one plan.
type planTotal struct {
	answered atomic.Int64
	tokens   atomic.Int64
	refused  sync.Map // refused maps a request.Code to its *atomic.Int64.
}

func (t *planTotals) of(name string) *planTotal {
	if got, ok := t.plans.Load(name); ok {
		return got.(*planTotal) //nolint:forcetypeassert // The map holds nothing else.
	}

	got, _ := t.plans.LoadOrStore(name, &planTotal{})

	return got.(*planTotal) //nolint:forcetypeassert // The map holds nothing else.
}

func (t *planTotals) answered(name string, tokens int) {
	p := t.of(name)
	p.answered.Add(1)
	p.tokens.Add(int64(tokens))
}

// refused counts a refusal. Requests without a plan are counted under "".
func (t *planTotals) refused(name string, code request.Code) {
	n, _ := t.of(name).refused.LoadOrStore(code, &atomic.Int64{})
	n.(*atomic.Int64).Add(1) //nolint:forcetypeassert // The map holds nothing else.
}

// snapshot returns the totals of each plan that has an answer or a refusal, with
// the numbers of its unanswered requests (Running, queued ones included) and of
// its queued requests.
func (t *planTotals) snapshot(shares *limit.Shares, waiting map[string]int) []peer.PlanCount {
	var out []peer.PlanCount

	t.plans.Range(func(key, value any) bool {
		name, _ := key.(string)
		p, _ := value.(*planTotal)

		count := peer.PlanCount{
			Plan:     name,
			Running:  shares.Of(name).Running(),
			Waiting:  waiting[name],
			Answered: p.answered.Load(),
			Tokens:   p.tokens.Load(),
			Refused:  make(map[request.Code]int64),
		}

		p.refused.Range(func(key, value any) bool {
			code, _ := key.(request.Code)
			n, _ := value.(*atomic.Int64)
			count.Refused[code] = n.Load()

			return true
		})

		out = append(out, count)

		return true
	})

	slices.SortFunc(out, func(a, b peer.PlanCount) int { return strings.Compare(a.Plan, b.Plan) })

	return out
}
