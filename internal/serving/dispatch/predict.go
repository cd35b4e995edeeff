package dispatch

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/queue"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// PredictionSpread is the factor between the predicted wait and the one that is
	// exceeded by one request in twenty. Entries share the free slots at random, and
	// requests whose goals are reachable overtake others, so waits are spread about
	// exponentially around their mean. In the played overload 5 to 7 of 100 refused clients
	// had waited over 250 ms with a factor of 3, and 12 to 34 with 2; the replicas were as
	// busy with both, and more requests met their goals with 3.
	PredictionSpread = 3
	// behindFactor is how much longer than the backlog needs to drain the first request of
	// an entry must have waited for the entry to take more of the free slots. Without it 7
	// to 15 of 100 refused clients had waited in the played overload.
	behindFactor = 1.25
)

// forecast predicts when queued requests of a model start, by the sums over all entries
// that the lease holder publishes.
type forecast struct {
	// waiting is the number of queued requests on all entries, and perSecond the rate at
	// which they start.
	waiting   int
	perSecond float64
	// readyIn is the time until another replica is ready. If it is above zero, the
	// replica serves slots requests at once and then as many as each of the replicas
	// that are ready.
	readyIn         time.Duration
	slots, replicas int
}

// forecast returns the forecast of the queue's model. It returns false if nothing may be
// refused by it: the service has no shared prediction, the last one is too old or
// unknown, or a replica has an idle slot. The caller holds the lock.
func (m *modelQueue) forecast(now time.Time) (forecast, bool) {
	if !m.predictive {
		return forecast{}, false
	}

	wait, ok := m.backlog()
	if !ok || wait.Reason != "" || wait.Waiting <= 0 || wait.StartsPerSecond <= 0 || now.Sub(wait.BacklogAt) >= router.MaxBacklogAge {
		return forecast{}, false
	}

	targets := m.d.cfg.Table.Targets(m.model)
	if len(targets) == 0 || m.anyIdleSlot(targets, now) {
		return forecast{}, false
	}

	f := forecast{waiting: wait.Waiting, perSecond: wait.StartsPerSecond, slots: targets[0].Info().Slots, replicas: len(targets)}
	if wait.Ready > 0 {
		at := m.d.cfg.Table.Position(m.d.cfg.CellOf(m.model)).At
		f.readyIn = max(1, at.Add(wait.Ready).Sub(now))
	}

	return f, true
}

// backlog returns the Wait with the backlog of the queue's model. An adapter's requests
// are part of the backlog of its model, since they use the same slots.
func (m *modelQueue) backlog() (router.Wait, bool) {
	if m.d.cfg.Prerequisite != nil {
		return m.d.cfg.Table.Wait(m.d.cfg.Prerequisite(m.model))
	}

	return m.d.cfg.Table.Wait(m.model)
}

// anyIdleSlot reports whether a target that this entry may use has a free slot by the
// newest counts.
func (m *modelQueue) anyIdleSlot(targets []*router.Target, now time.Time) bool {
	q := &router.Query{Entries: m.d.cfg.Entries(), Waiting: m.q.Len(), Now: now}

	for _, t := range targets {
		switch t.Decide(q, false).Reason {
		case router.Available, router.Full:
			info := t.Info()
			if max(info.Running, t.InFlight()) < info.Slots {
				return true
			}
		case router.Leaving, router.Dead, router.OtherSoftware, router.Resting, router.Ejected, router.Limited:
		}
	}

	return false
}

// startIn predicts the time until a request starts that the given number of requests
// start before.
func (f forecast) startIn(ahead float64) time.Duration { return f.startWithin(ahead, 1) }

// startWithin does the same, with factor times the predicted duration of the other
// requests' starts. The time until a replica is ready is not part of that.
func (f forecast) startWithin(ahead, factor float64) time.Duration {
	alone := seconds(factor * ahead / f.perSecond)
	if f.readyIn <= 0 || alone <= f.readyIn {
		return alone
	}

	left := ahead - f.perSecond*f.readyIn.Seconds() - float64(f.slots)
	if left <= 0 {
		return f.readyIn
	}

	return min(alone, f.readyIn+seconds(factor*left/f.perSecond*float64(f.replicas)/float64(f.replicas+1)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// aheadOf returns how many requests of all entries start before one that own of this
// entry's queued requests precede, others being its number of other queued requests.
// The requests on other entries are assumed to be ordered before and after it in the same
// proportion as those on this one.
func (f forecast) aheadOf(own, others int) float64 {
	elsewhere := max(0, f.waiting-others)

	return float64(own) + float64(elsewhere)*float64(own+1)/float64(others+1)
}

// pushPredictive queues a request of a service with a shared prediction, or refuses it.
// The caller holds the lock.
func (m *modelQueue) pushPredictive(it *queue.Item[*waiter], now time.Time) error {
	it.Returned = m.returns.returned(it.Value.req, now)

	displaced, err := m.q.PushOrdered(it, now)
	if err != nil {
		return m.overloaded(it, now)
	}

	if displaced != nil {
		displaced.Value.refuse(m.overloaded(displaced, now))
	}

	f, ok := m.forecast(now)
	if !ok {
		if !m.anyIdleSlot(m.d.cfg.Table.Targets(m.model), now) && m.tooLate(it) {
			m.q.Remove(it)

			return request.Refuse(request.DeadlineUnreachable, m.returnAfter(it, f, now), "too many requests wait to meet its deadline")
		}

		return nil
	}

	ahead := m.judge(it, slices.Index(m.q.Order(now), it), f, now)
	it.Value.req.PredictedWait = f.startIn(ahead)

	if refusable(it) && now.Add(f.startWithin(ahead, PredictionSpread)).After(it.Deadline) {
		m.q.Remove(it)

		return m.predictedRefusal(it, f, f.startIn(ahead), now)
	}

	return nil
}

func (m *modelQueue) overloaded(it *queue.Item[*waiter], now time.Time) *request.Refusal {
	f, _ := m.forecast(now)

	return request.Refuse(request.Overloaded, m.returnAfter(it, f, now), "too many requests wait for this model")
}

// predictedRefusal refuses a request that is predicted to start after its deadline.
func (m *modelQueue) predictedRefusal(it *queue.Item[*waiter], f forecast, start time.Duration, now time.Time) *request.Refusal {
	m.refused.add(it.Deadline, now)

	r := request.Refuse(request.DeadlineUnreachable, m.returnAfter(it, f, now), request.PredictedLate)
	r.Prediction = request.Prediction{Start: start, Waiting: f.waiting, StartsPerSecond: f.perSecond}

	return r
}

// returnAfter returns the time after which the client of a refused request may return.
func (m *modelQueue) returnAfter(it *queue.Item[*waiter], f forecast, now time.Time) time.Duration {
	if f.perSecond <= 0 {
		return m.returns.after(it.Value.req, m.drainTime(), m.startRate.gap, now)
	}

	gap := seconds(float64(m.d.Entries()) / (f.perSecond * returnShare))

	return m.returns.after(it.Value.req, f.startIn(float64(max(f.waiting, m.q.Len()))), gap, now)
}

// judge returns how many requests of all entries are assumed to start before a queued one
// at the given place of this entry's order. As long as the request keeps its class, none
// is assumed to overtake it. The caller holds the lock.
func (m *modelQueue) judge(it *queue.Item[*waiter], place int, f forecast, now time.Time) float64 {
	w, class := it.Value, it.Class(now)
	ahead := f.aheadOf(place, m.q.Len()-1)

	if !w.judgedAt.IsZero() && class <= w.class {
		started := f.perSecond * now.Sub(w.judgedAt).Seconds()
		ahead = min(ahead, max(w.ahead-started, 0))
	}

	w.ahead, w.judgedAt, w.class = ahead, now, class

	return ahead
}

// refusePredicted refuses the queued requests that are predicted to start after their
// deadlines, the last in the order first. The caller holds the lock.
func (m *modelQueue) refusePredicted(now time.Time) {
	f, ok := m.forecast(now)
	if !ok {
		return
	}

	for place, it := range slices.Backward(m.q.Order(now)) {
		ahead := m.judge(it, place, f, now)
		if !refusable(it) || !now.Add(f.startWithin(ahead, 1.0/PredictionSpread)).After(it.Deadline) {
			continue
		}

		m.q.Remove(it)
		it.Value.refuse(m.predictedRefusal(it, f, f.startIn(ahead), now))
	}
}

// pop removes the first request in the queue's order that accept accepts.
func (m *modelQueue) pop(accept func(*queue.Item[*waiter]) bool) *queue.Item[*waiter] {
	if m.predictive {
		return m.q.PopOrdered(time.Now(), accept)
	}

	return m.q.PopFunc(accept)
}

// refusable reports whether a prediction may refuse the request. One that was sent before
// is not refused, since its client has waited for longer than its place in the queue says,
// nor one whose client returns when it was told to, nor one that resumes a stream, since the
// prediction is not for the few targets that may go on with it.
func refusable(it *queue.Item[*waiter]) bool {
	q := &it.Value.query

	return !it.Returned && len(q.Exclude) == 0 && !q.Suspect && !q.Origin.Begun()
}

// behind reports whether the first request of this entry has waited for much longer than
// the queued requests of all entries need to start. The entry then takes the share of the
// free slots that it would take if no requests were queued: one of maxCompetitors of
// package router instead of one of all entries with queued requests. So it takes at most
// that many times as much, and never more than its window.
func (m *modelQueue) behind(now time.Time) bool {
	if !m.predictive {
		return false
	}

	wait, ok := m.backlog()
	if !ok || wait.StartsPerSecond <= 0 || now.Sub(wait.BacklogAt) >= router.MaxBacklogAge {
		return false
	}

	order := m.q.Order(now)

	return len(order) > 0 && now.Sub(order[0].Value.since) > seconds(behindFactor*float64(wait.Waiting)/wait.StartsPerSecond)
}

// refusedByPrediction are the deadlines of requests that were refused by a prediction.
// Until then they are reported as demand: the lease holder would otherwise load no replica
// for a model whose requests are refused.
type refusedByPrediction struct{ until []time.Time }

// maxRefused bounds the counted requests of one model.
const maxRefused = 1024

func (r *refusedByPrediction) add(deadline, now time.Time) {
	if len(r.until) < maxRefused || r.count(now) < maxRefused {
		r.until = append(r.until, deadline)
	}
}

// count returns the number of requests whose deadlines have not passed.
func (r *refusedByPrediction) count(now time.Time) int {
	r.until = slices.DeleteFunc(r.until, func(deadline time.Time) bool { return !deadline.After(now) })

	return len(r.until)
}
