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

// Counts counts answers and refusals by plan. The zero value is ready to use.
type Counts struct{ plans sync.Map }

// planCount holds the counts of one plan.
type planCount struct {
	answered atomic.Int64
	tokens   atomic.Int64
	refused  sync.Map // refused maps a request.Code to its *atomic.Int64.
}

func (c *Counts) of(name string) *planCount {
	if got, ok := c.plans.Load(name); ok {
		return got.(*planCount) //nolint:forcetypeassert // The map holds nothing else.
	}

	got, _ := c.plans.LoadOrStore(name, &planCount{})

	return got.(*planCount) //nolint:forcetypeassert // The map holds nothing else.
}

func (c *Counts) answered(name string, tokens int) {
	p := c.of(name)
	p.answered.Add(1)
	p.tokens.Add(int64(tokens))
}

// refused counts a refusal. Requests without a plan are counted under "".
func (c *Counts) refused(name string, code request.Code) {
	n, _ := c.of(name).refused.LoadOrStore(code, &atomic.Int64{})
	n.(*atomic.Int64).Add(1) //nolint:forcetypeassert // The map holds nothing else.
}

func (c *Counts) planCounts(shares *limit.Shares, waiting map[string]int) []peer.PlanCount {
	var out []peer.PlanCount

	c.plans.Range(func(key, value any) bool {
		name, _ := key.(string)
		p, _ := value.(*planCount)

		line := peer.PlanCount{
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
			line.Refused[code] = n.Load()

			return true
		})

		out = append(out, line)

		return true
	})

	slices.SortFunc(out, func(a, b peer.PlanCount) int { return strings.Compare(a.Plan, b.Plan) })

	return out
}
