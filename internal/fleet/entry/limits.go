package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
)

// homes grants the limits of the plans whose home this entry is.
type homes struct {
	mu   sync.Mutex
	home limit.Owner
}

func (h *homes) membershipChanged(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.home.MembershipChanged(now)
}

// grant answers an ask for a plan whose home is this entry.
func (e *Entry) grant(a limit.Request) limit.Grant {
	p, ok := e.lists.Current().Plan(a.Plan)
	if !ok {
		return limit.Grant{}
	}

	e.home.mu.Lock()
	defer e.home.mu.Unlock()

	return e.home.home.Grant(p, a, len(e.fleet.Entries()), time.Now())
}

// askHome asks the plan's home entry for a grant.
func (e *Entry) askHome(ctx context.Context, a limit.Request) (limit.Grant, error) {
	const timeout = 300 * time.Millisecond

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if err := e.gate.Wait(ctx); err != nil {
		return limit.Grant{}, err
	}

	a.Entry = e.cfg.ID

	home := instance.Rank("plan/"+a.Plan, e.fleet.Entries())[0]
	if home == e.cfg.ID {
		return e.grant(a), nil
	}

	c, err := e.peer(home)
	if err != nil {
		return limit.Grant{}, err
	}

	return c.Ask(ctx, a)
}

// askShare asks the holder of the first cell for a part of the loads.
func (e *Entry) askShare(ctx context.Context, a share.Request) (share.Loads, error) {
	if err := e.gate.Wait(ctx); err != nil {
		return share.Loads{}, err
	}

	holder := e.holder(0)
	if holder == e.cfg.ID {
		return e.cells[0].GrantShare(a), nil
	}

	c, err := e.peer(holder)
	if err != nil {
		return share.Loads{}, err
	}

	return c.GrantShare(ctx, a)
}

const renewEvery = limit.GrantTTL / 4

func (e *Entry) renewGrants(ctx context.Context) {
	every(ctx, renewEvery, func() { e.shares.Renew(ctx, e.lists.Current()) })
}
