package dispatch

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/queue"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// refuseDenied refuses queued requests if the cell's lease holder has published
// that no replica can be loaded. A request is refused only if the last snapshot
// arrived after the request was queued.
func (m *modelQueue) refuseDenied() {
	wait, ok := m.d.cfg.Table.Wait(m.model)
	if !ok || wait.Reason == "" {
		return
	}

	at := m.d.cfg.Table.Position(m.d.cfg.CellOf(m.model)).At

	m.refuseEach(func(w *waiter) *request.Refusal {
		if at.After(w.since) {
			return request.Refuse(codeOf(wait.Reason), wait.RetryAfter, wait.Reason)
		}

		return nil
	})
}

// refuseEach refuses the queued requests for which why returns a refusal. The caller holds
// the lock.
func (m *modelQueue) refuseEach(why func(*waiter) *request.Refusal) {
	var (
		refused  []*queue.Item[*waiter]
		refusals []*request.Refusal
	)

	m.q.Each(func(it *queue.Item[*waiter]) {
		if r := why(it.Value); r != nil {
			refused, refusals = append(refused, it), append(refusals, r)
		}
	})

	for i, it := range refused {
		m.q.Remove(it)
		it.Value.refuse(refusals[i])
	}
}

func codeOf(reason string) request.Code {
	switch reason {
	case replica.ReasonUnknown:
		return request.UnknownModel
	case replica.ReasonBusy, replica.ReasonThrash:
		return request.Overloaded
	case replica.ReasonFailing, replica.ReasonTooLarge, replica.ReasonNoTarget:
		return request.NoTarget
	}

	return request.StoreDown
}

// refuseLate refuses requests as soon as they cannot be answered before their
// deadline, rather than when it passes.
func (m *modelQueue) refuseLate(now time.Time) {
	start, code := now, request.DeadlineUnreachable

	if !router.AnyUsable(m.d.cfg.Table.Targets(m.model), origin.Origin{}) {
		if wait, ok := m.modelWait(); ok && !onlyBacklog(wait) {
			at := m.d.cfg.Table.Position(m.d.cfg.CellOf(m.model)).At
			start, code = at.Add(wait.Ready), request.TooCold
		}
	}

	if start.Before(now) {
		start = now
	}

	for _, it := range m.q.RemoveLate(start) {
		retry := max(start.Sub(now), m.drainTime())
		if m.predictive && code == request.DeadlineUnreachable {
			f, _ := m.forecast(now)
			retry = m.returnAfter(it, f, now)
		}

		it.Value.refuse(request.Refuse(code, retry, "it could not be answered before its deadline"))
	}
}

// onlyBacklog reports whether a Wait states nothing but how many requests are queued.
func onlyBacklog(w router.Wait) bool {
	return w.Ready == 0 && w.Reason == "" && !w.BacklogAt.IsZero()
}

// modelWait returns the published Wait of the queue's model, or else of the
// model that must be loaded first.
func (m *modelQueue) modelWait() (router.Wait, bool) {
	wait, ok := m.d.cfg.Table.Wait(m.model)
	if ok || m.d.cfg.Prerequisite == nil {
		return wait, ok
	}

	return m.d.cfg.Table.Wait(m.d.cfg.Prerequisite(m.model))
}

func (m *modelQueue) refuseWaiting(why func(*request.Request) *request.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refuseEach(func(w *waiter) *request.Refusal { return why(w.req) })
}
