package dispatch

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// Acquire queues the request until a target that holds its model accepts it,
// and counts the request on that target. The returned bool says whether the
// model was cold. The caller must release the target with Release.
//
// It is for requests that another package forwards. Do acquires its targets
// itself.
func (d *Dispatcher) Acquire(ctx context.Context, req *request.Request, q router.Query) (*router.Target, bool, error) {
	d.countArrival(req, &q)
	q.Tokens = req.Tokens

	anyCold := false

	for {
		t, cold, err := d.acquire(ctx, req, q)
		anyCold = anyCold || cold

		if err != nil {
			return nil, anyCold, err
		}

		if d.permitted(ctx, t) {
			u := d.useOf(t, req.Model)
			u.running.Add(1)
			u.tokens.Add(int64(req.Tokens))

			return t, anyCold, nil
		}

		t.EndQuery(q.Suspect, q.Tokens)

		if ctx.Err() != nil {
			return nil, anyCold, ctx.Err()
		}
	}
}

// permitted reports whether the target's rate limit leaves room for a request. If
// not, the target is paused on this entry.
func (d *Dispatcher) permitted(ctx context.Context, t *router.Target) bool {
	if d.cfg.Permit == nil {
		return true
	}

	wait, granted := d.cfg.Permit(ctx, t.ID)
	if !granted && ctx.Err() == nil {
		t.Pause(time.Now(), wait)
	}

	return granted
}

// Target returns a target that is listed, or nil.
func (d *Dispatcher) Target(id instance.ID) *router.Target { return d.cfg.Table.Target(id) }

// Entries returns the number of entries, at least 1.
func (d *Dispatcher) Entries() int { return max(1, d.cfg.Entries()) }

// TargetStates counts the targets that hold a model by their state for a request of the
// origin.
func (d *Dispatcher) TargetStates(model string, from origin.Origin) router.StateCounts {
	return router.CountStates(d.cfg.Table.Targets(model), &router.Query{Origin: from, Entries: d.cfg.Entries(), Now: time.Now()})
}

// Release releases a target that Acquire has returned.
func (d *Dispatcher) Release(t *router.Target, req *request.Request, suspect bool) {
	u := d.useOf(t, req.Model)
	left := u.running.Add(-1)
	u.served.Add(1)
	u.tokens.Add(-int64(req.Tokens))
	t.EndQuery(suspect, req.Tokens)
	d.queueOf(req.Model).wake()

	if left == 0 && d.cfg.OnReplicaIdle != nil {
		d.cfg.OnReplicaIdle()
	}
}
