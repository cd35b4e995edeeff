package limit

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Shares are one entry's shares of all plans' limits. Set Ask and Entries
// before use.
type Shares struct {
	// Ask asks the plan's home for a grant.
	Ask func(ctx context.Context, a Ask) (Grant, error)
	// Entries returns how many entries there are.
	Entries func() int

	shares sync.Map // shares maps a plan's name to its *Share.
}

// The times for which a request waits for a grant when this entry's static
// share is used up and the home does not answer or does not grant yet.
const (
	askAgain = 100 * time.Millisecond
	askFor   = GrantFor + 500*time.Millisecond
)

// Of returns this entry's share of a plan's limits.
func (s *Shares) Of(name string) *Share {
	if got, ok := s.shares.Load(name); ok {
		return got.(*Share) //nolint:forcetypeassert // The map holds nothing else.
	}

	got, _ := s.shares.LoadOrStore(name, &Share{})

	return got.(*Share) //nolint:forcetypeassert // The map holds nothing else.
}

// Admit counts a request of the plan, asking the plan's home if need be. When
// the limit is used up it returns false and when to try again.
func (s *Shares) Admit(ctx context.Context, p plan.Plan) (retryAfter time.Duration, ok bool) {
	share := s.Of(p.Name)
	until := time.Now().Add(askFor)

	for {
		v, retryAfter := share.Admit(p, s.Entries(), time.Now())

		switch v {
		case Allowed:
			return 0, true
		case Exhausted:
			return retryAfter, false
		case AskHome:
		}

		if s.refresh(ctx, p, share) {
			v, retryAfter = share.Admit(p, s.Entries(), time.Now())
			if v == Allowed {
				return 0, true
			}

			return retryAfter, false
		}

		if time.Now().After(until) || ctx.Err() != nil {
			return retryAfter, false
		}

		time.Sleep(askAgain)
	}
}

// refresh asks the home once. It reports whether a grant came.
func (s *Shares) refresh(ctx context.Context, p plan.Plan, share *Share) bool {
	asked := time.Now()

	a, ok := share.Ask(p, asked)
	if !ok {
		return false
	}

	g, err := s.Ask(ctx, a)
	if err != nil || g.For == 0 {
		return false
	}

	share.Take(g, a, asked)

	return true
}

// Renew asks the homes of all plans that are in use for new grants.
func (s *Shares) Renew(ctx context.Context, lists plan.State) {
	s.shares.Range(func(key, value any) bool {
		name, _ := key.(string)
		share, _ := value.(*Share)

		if p, ok := lists.Plan(name); ok {
			s.refresh(ctx, p, share)
		} else if share.Running() == 0 {
			s.shares.Delete(name)
		}

		return ctx.Err() == nil
	})
}
