package dispatch

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// Acquire waits in line for a target that holds the request's model and counts
// the request on it. It reports whether the model was cold. The caller ends
// what it was lent with Return.
//
// It is for requests whose answers another package carries; Do acquires and
// carries itself.
func (d *Dispatcher) Acquire(ctx context.Context, req *request.Request, q router.Query) (*router.Target, bool, error) {
	t, cold, err := d.acquire(ctx, req, q)
	if err == nil {
		d.useOf(t, req.Model).running.Add(1)
	}

	return t, cold, err
}

// Standing says why the targets that hold a model do not take a request.
func (d *Dispatcher) Standing(model string) router.Standing {
	return router.Stand(d.cfg.Table.Targets(model), &router.Query{Entries: d.cfg.Entries(), Now: time.Now()})
}

// Return ends a request's use of a target.
func (d *Dispatcher) Return(t *router.Target, req *request.Request, suspect bool) {
	u := d.useOf(t, req.Model)
	left := u.running.Add(-1)
	u.served.Add(1)
	t.End(suspect)
	d.queueOf(req.Model).wake()

	if left == 0 && d.cfg.Idle != nil {
		d.cfg.Idle()
	}
}

// Stopped reports whether the request is known to crash the targets that run
// it, and for how long it is refused.
func (d *Dispatcher) Stopped(fp request.Fingerprint) (time.Duration, bool) { return d.isBlocked(fp) }

// Suspect reports whether a target died under the request lately.
func (d *Dispatcher) Suspect(fp request.Fingerprint) bool { return d.isSuspect(fp) }

// Died records that a target died while it ran the request. It reports whether
// the request is refused from now on.
func (d *Dispatcher) Died(fp request.Fingerprint, death crash.Death) bool {
	return d.recordDeath(fp, death)
}

// Cleared records that a suspect ran to its end.
func (d *Dispatcher) Cleared(fp request.Fingerprint) { d.clearSuspect(fp) }
