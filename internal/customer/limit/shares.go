package limit

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Shares are one entry's shares of the limits of all plans. Its exported fields
// must be set before use.
type Shares struct {
	// RequestGrant requests a grant from the plan's limit owner.
	RequestGrant func(ctx context.Context, r Request) (Grant, error)
	// Entries returns the number of entries.
	Entries func() int

	shares sync.Map // shares maps a plan's name to its *Share.
}

// When this entry's grant or static share is used up and the owner does not answer or
// does not grant yet, a request waits: it requests a grant every grantRetryInterval
// for up to grantTimeout. After a grant that was smaller than requested, the
// limit counts as used up for grantRetryInterval from the time of that request.
const (
	grantRetryInterval = 100 * time.Millisecond
	grantTimeout       = GrantTTL + 500*time.Millisecond
)

// Of returns this entry's share of a plan's limits.
func (s *Shares) Of(name string) *Share {
	if got, ok := s.shares.Load(name); ok {
		return got.(*Share) //nolint:forcetypeassert // The map holds nothing else.
	}

	got, _ := s.shares.LoadOrStore(name, &Share{})

	return got.(*Share) //nolint:forcetypeassert // The map holds nothing else.
}

// Admit counts a request of the plan and, if necessary, requests a grant from the
// limit owner. It returns false and how long to wait before a retry if the limit is
// used up, if no grant arrives within grantTimeout, or if ctx has ended without one.
func (s *Shares) Admit(ctx context.Context, p plan.Plan) (retryAfter time.Duration, ok bool) {
	share := s.Of(p.Name)
	until := time.Now().Add(grantTimeout)

	for {
		v, retryAfter := share.Admit(p, s.Entries(), time.Now())

		switch v {
		case Allowed:
			return 0, true
		case Exhausted:
			return retryAfter, false
		case AskOwner:
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

		time.Sleep(grantRetryInterval)
	}
}

// refresh requests a grant once. It reports whether one was received.
func (s *Shares) refresh(ctx context.Context, p plan.Plan, share *Share) bool {
	requestedAt := time.Now()

	r, ok := share.NextRequest(p, requestedAt)
	if !ok {
		return false
	}

	g, err := s.RequestGrant(ctx, r)
	if err != nil || g.TTL == 0 {
		return false
	}

	share.Apply(g, r, requestedAt)

	return true
}

// Renew requests new grants for all plans that are in use, and deletes the shares of
// removed plans that have no running requests.
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
