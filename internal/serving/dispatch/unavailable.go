package dispatch

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/queue"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// refuseUnavailable refuses a request that is about to be queued if it is known that no
// target will accept it before its deadline: all targets of its model leave, or rest or
// are paused because of their rate limits for too long. The caller holds the lock.
func (m *modelQueue) refuseUnavailable(it *queue.Item[*waiter], now time.Time) error {
	if m.allLeave() {
		return leavingRefusal()
	}

	if m.cannotGoOn(it.Value, now) {
		return originRefusal()
	}

	pause, all := m.pause(now)
	if !all {
		return nil
	}

	start := pause.Until.Add(time.Duration(m.ahead(it)) * pause.Interval)
	if !start.After(it.Deadline) {
		return nil
	}

	return m.pauseRefusal(start, pause, now)
}

// RefuseUnavailable returns a refusal if it is known that no target will accept the
// request before its deadline, and nil otherwise.
func (d *Dispatcher) RefuseUnavailable(req *request.Request) error {
	m := d.queueOf(req.Model)

	m.mu.Lock()
	defer m.mu.Unlock()

	now := time.Now()

	return m.refuseUnavailable(m.newItem(req, &waiter{req: req, since: now}), now)
}

// allLeave reports whether all targets of the model leave and no other can load it.
func (m *modelQueue) allLeave() bool {
	targets := m.d.cfg.Table.Targets(m.model)
	if len(targets) == 0 || slices.ContainsFunc(targets, func(t *router.Target) bool { return !t.Leaving() }) {
		return false
	}

	return m.d.cfg.Placeable != nil && !m.d.cfg.Placeable(m.model)
}

// leavingRefusal refuses a request whose targets all leave. A target that replaces them
// appears at an unknown time.
func leavingRefusal() *request.Refusal {
	return request.Refuse(request.NoTarget, defaultRetryAfter, "all of its targets leave")
}

// refuseAllUnavailable does the same for the queued requests. The caller holds the lock.
func (m *modelQueue) refuseAllUnavailable(now time.Time) {
	if m.allLeave() {
		for it := m.q.Pop(); it != nil; it = m.q.Pop() {
			it.Value.refuse(leavingRefusal())
		}
	}

	m.refuseEach(func(w *waiter) *request.Refusal {
		if m.cannotGoOn(w, now) {
			return originRefusal()
		}

		return nil
	})

	pause, all := m.pause(now)
	if !all {
		return
	}

	for _, it := range m.q.RemoveLate(pause.Until) {
		it.Value.refuse(m.pauseRefusal(pause.Until, pause, now))
	}
}

// pause returns the pause that ends first if all targets of the model rest or are paused.
// While rate limits pause them it returns false if the model can be loaded elsewhere: its
// queued requests then make the lease holder do that. A rest is shorter than most loads,
// so only a load that is predicted to be ready before its end counts.
func (m *modelQueue) pause(now time.Time) (router.Pause, bool) {
	pause, all := router.PauseOf(m.d.cfg.Table.Targets(m.model), now)

	switch {
	case !all:
		return router.Pause{}, false
	case !pause.Resting:
		return pause, m.d.cfg.Placeable == nil || !m.d.cfg.Placeable(m.model)
	}

	if wait, ok := m.modelWait(); ok && wait.Reason == "" && wait.Ready > 0 {
		ready := m.d.cfg.Table.Position(m.d.cfg.CellOf(m.model)).At.Add(wait.Ready)
		pause.Until = clock.Earlier(pause.Until, clock.Later(ready, now))
	}

	return pause, true
}

// pauseRefusal refuses a request that could start at start at the earliest. Each refused
// client gets a time of its own to retry, so that they do not all return when the next
// request may be sent.
func (m *modelQueue) pauseRefusal(start time.Time, pause router.Pause, now time.Time) *request.Refusal {
	at := start
	if m.retryAt.After(at) {
		at = m.retryAt
	}

	m.retryAt = at.Add(pause.Interval)
	if latest := now.Add(maxSpreadRetry); m.retryAt.After(latest) {
		m.retryAt = latest
	}

	if pause.Resting {
		m.refusedAtRest++
		m.restEnd = pause.Until

		return request.Refuse(request.TargetResting, at.Sub(now), "its targets asked for rest until after its deadline")
	}

	return request.Refuse(request.TargetLimited, at.Sub(now), "the rate limits of its targets leave no room before its deadline")
}

// maxSpreadRetry limits the time over which refused clients are spread.
const maxSpreadRetry = 10 * time.Second
