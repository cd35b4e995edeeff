package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/queue"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// modelQueue is the queue of one model on this entry.
type modelQueue struct {
	d     *Dispatcher
	model string

	mu sync.Mutex
	q  queue.Queue[*waiter]
	// serving says that a goroutine looks after the line.
	serving bool
	wakeUp  chan struct{}
	// startRate is how fast requests of the line start.
	startRate startRate
	// arrived counts the requests that came since the last report.
	arrived atomic.Int64
}

// waiter is one request in line.
type waiter struct {
	req     *request.Request
	query   router.Query
	since   time.Time
	granted chan grant
}

// grant is the end of a wait: a target or a refusal.
type grant struct {
	target  *router.Target
	refusal *request.Refusal
}

// startRate measures how often a waiting request of the line starts.
type startRate struct {
	// gap is the smoothed time between two starts; zero means unknown.
	gap  time.Duration
	last time.Time
}

func (r *startRate) record(now time.Time) {
	const gain = 0.1

	if !r.last.IsZero() {
		gap := now.Sub(r.last)
		if r.gap == 0 {
			r.gap = gap
		}

		r.gap += time.Duration(gain * float64(gap-r.gap))
	}

	r.last = now
}

func (d *Dispatcher) queueOf(model string) *modelQueue {
	if m, ok := d.queues.Load(model); ok {
		return m.(*modelQueue) //nolint:forcetypeassert // The map holds nothing else.
	}

	m := &modelQueue{d: d, model: model, wakeUp: make(chan struct{}, 1)}
	m.q.Limit = d.cfg.MaxWaiting
	got, _ := d.queues.LoadOrStore(model, m)

	return got.(*modelQueue) //nolint:forcetypeassert // The map holds nothing else.
}

// answerMargin is how long before its deadline a request must have its answer,
// so that the answer reaches the caller in time.
const answerMargin = 50 * time.Millisecond

// acquire returns a target on which the request was counted, after waiting
// for one if need be.
func (d *Dispatcher) acquire(ctx context.Context, req *request.Request, q router.Query) (*router.Target, bool, error) {
	m := d.queueOf(req.Model)
	if len(q.Exclude) == 0 {
		m.arrived.Add(1)
	}

	if t := m.tryImmediately(&q); t != nil {
		return t, false, nil
	}

	d.cfg.Log.Add(timeline.Event{Kind: timeline.Queued, Request: req.ID, Model: req.Model, Customer: req.Customer})

	cold := len(d.cfg.Table.Targets(req.Model)) == 0

	w := &waiter{req: req, query: q, since: time.Now(), granted: make(chan grant, 1)}
	item := &queue.Item[*waiter]{
		Customer: req.Customer,
		Weight:   1 + req.Priority,
		Deadline: req.Deadline.Add(-d.latencyOf(req.Model).duration(req.MaxTokens) - answerMargin),
		Value:    w,
	}

	if err := m.push(item); err != nil {
		return nil, cold, err
	}

	d.cfg.Demanded(req.Model)

	select {
	case g := <-w.granted:
		return g.result(cold)
	case <-ctx.Done():
	}

	if m.remove(item) {
		return nil, cold, ctx.Err()
	}

	// The grant came while the caller left.
	g := <-w.granted

	return g.result(cold)
}

func (g grant) result(cold bool) (*router.Target, bool, error) {
	if g.refusal != nil {
		return nil, cold, g.refusal
	}

	return g.target, cold, nil
}

// tryImmediately chooses a target without waiting. Nobody overtakes those who wait.
func (m *modelQueue) tryImmediately(q *router.Query) *router.Target {
	m.mu.Lock()
	waiting := m.q.Len()
	m.mu.Unlock()

	if waiting > 0 {
		return nil
	}

	return m.choose(q, 0)
}

// choose finds a target while so many requests wait.
func (m *modelQueue) choose(q *router.Query, waiting int) *router.Target {
	q.Now, q.Waiting = time.Now(), waiting
	q.Entries = m.d.cfg.Entries()

	t := router.Choose(m.d.cfg.Table.Targets(m.model), q)
	if t == nil || !t.Begin(q.Suspect) {
		return nil
	}

	return t
}

// defaultRetryAfter is what a caller is told when the queue is full and nothing
// better is known.
const defaultRetryAfter = time.Second

func (m *modelQueue) push(it *queue.Item[*waiter]) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.tooLate(it) {
		return request.Refuse(request.DeadlineAhead, m.drainTime(), "too many requests wait to meet its deadline")
	}

	displaced, err := m.q.Push(it)
	if err != nil {
		return request.Refuse(request.Overloaded, m.drainTime(), "too many requests wait for this model")
	}

	if displaced != nil {
		displaced.Value.refuse(request.Refuse(request.Overloaded, m.drainTime(),
			"displaced by a customer with fewer waiting requests"))
	}

	if !m.serving {
		m.serving = true

		go m.serve()
	}

	return nil
}

// minQueueForRate is from what length on the queue's rate predicts the wait.
const minQueueForRate = 8

// tooLate reports whether the request could not start in time even if the
// queue goes on as fast as of late.
func (m *modelQueue) tooLate(it *queue.Item[*waiter]) bool {
	n := m.q.Len()
	if n < minQueueForRate || len(m.d.cfg.Table.Targets(m.model)) == 0 {
		return false
	}

	// A customer with few waiting requests is served before the others' long
	// lines, so only the customer's own even share counts.
	ahead := min(n, m.q.Customers()*(m.q.Waiting(it.Customer)+1))

	return time.Now().Add(time.Duration(ahead) * m.startRate.gap).After(it.Deadline)
}

// drainTime estimates how long the waiting requests take to start.
func (m *modelQueue) drainTime() time.Duration {
	return max(defaultRetryAfter, time.Duration(m.q.Len())*m.startRate.gap)
}

func (w *waiter) refuse(r *request.Refusal) { w.granted <- grant{refusal: r} }

func (m *modelQueue) remove(it *queue.Item[*waiter]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.q.Remove(it)
}

// Kick makes every line look for targets at once, because routing changed.
func (d *Dispatcher) Kick() {
	d.queues.Range(func(_, value any) bool {
		value.(*modelQueue).wake() //nolint:forcetypeassert // The map holds nothing else.

		return true
	})
}

func (m *modelQueue) wake() {
	select {
	case m.wakeUp <- struct{}{}:
	default:
	}
}

// serveInterval is how often a line looks for targets and hopeless requests when
// nothing wakes it.
const serveInterval = 20 * time.Millisecond

// serve grants targets to the waiting until nobody waits.
func (m *modelQueue) serve() {
	t := time.NewTicker(serveInterval)
	defer t.Stop()

	for m.serveOnce() {
		select {
		case <-m.wakeUp:
		case <-t.C:
		}
	}
}

// serveOnce grants what can be granted and refuses what is hopeless. It
// reports whether anybody still waits.
func (m *modelQueue) serveOnce() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	now := time.Now()

	m.refuseDenied()
	m.refuseLate(now)

	for m.q.Len() > 0 && m.grantNext() {
		m.startRate.record(now)
	}

	if m.q.Len() == 0 {
		m.serving = false

		return false
	}

	return true
}

// grantNext gives a target to the next request that can have one. A request
// with demands of its own, such as a suspect, does not hold up the others.
func (m *modelQueue) grantNext() bool {
	var t *router.Target

	full, waiting := false, m.q.Len()

	it := m.q.PopFunc(func(it *queue.Item[*waiter]) bool {
		q := &it.Value.query
		plain := !q.Suspect && len(q.Exclude) == 0

		if full && plain {
			return false
		}

		t = m.choose(q, waiting)
		if t == nil && len(q.Exclude) > 0 {
			// Nobody else can take it, so the target that failed may.
			q.Exclude = nil
			t = m.choose(q, waiting)
		}

		full = full || t == nil && plain

		return t != nil
	})
	if it == nil {
		return false
	}

	it.Value.granted <- grant{target: t}

	return true
}

// refuseDenied refuses the waiting when the cell's holder says that no
// replica can be had. A word from before the request counts for nothing.
func (m *modelQueue) refuseDenied() {
	wait, ok := m.d.cfg.Table.Wait(m.model)
	if !ok || wait.Reason == "" {
		return
	}

	at := m.d.cfg.Table.Position(m.d.cfg.CellOf(m.model)).At

	var denied []*queue.Item[*waiter]

	m.q.Each(func(it *queue.Item[*waiter]) {
		if at.After(it.Value.since) {
			denied = append(denied, it)
		}
	})

	for _, it := range denied {
		m.q.Remove(it)
		it.Value.refuse(request.Refuse(codeOf(wait.Reason), wait.RetryAfter, wait.Reason))
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

// refuseLate refuses requests as soon as they cannot be answered in time,
// rather than when their time is up.
func (m *modelQueue) refuseLate(now time.Time) {
	start, code := now, request.DeadlineAhead

	if !router.AnyUsable(m.d.cfg.Table.Targets(m.model)) {
		if wait, ok := m.modelWait(); ok {
			at := m.d.cfg.Table.Position(m.d.cfg.CellOf(m.model)).At
			start, code = at.Add(wait.Ready), request.TooCold
		}
	}

	if start.Before(now) {
		start = now
	}

	for _, it := range m.q.RemoveLate(start) {
		retry := max(start.Sub(now), m.drainTime())
		it.Value.refuse(request.Refuse(code, retry, "it could not be answered before its deadline"))
	}
}

// modelWait says when the line's model can be had, or else what it needs.
func (m *modelQueue) modelWait() (router.Wait, bool) {
	wait, ok := m.d.cfg.Table.Wait(m.model)
	if ok || m.d.cfg.Needs == nil {
		return wait, ok
	}

	return m.d.cfg.Table.Wait(m.d.cfg.Needs(m.model))
}

func (m *modelQueue) demand(model string) (replica.Demand, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	now := time.Now()
	d := replica.Demand{Model: model, Waiting: m.q.Len(), Arrived: int(m.arrived.Swap(0))}

	m.q.Each(func(it *queue.Item[*waiter]) {
		req := it.Value.req

		if d.Plan == "" || req.Priority > d.Priority {
			d.Plan, d.Priority = req.Plan, req.Priority
		}

		d.Deadline = replica.Soonest(d.Deadline, it.Deadline)

		if req.Goal.After(now) {
			d.Goal = replica.Soonest(d.Goal, req.Goal)
		}
	})

	return d, d.Waiting > 0 || d.Arrived > 0
}

func (m *modelQueue) countPlans(n map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.q.Each(func(it *queue.Item[*waiter]) { n[it.Value.req.Plan]++ })
}

func (m *modelQueue) refuseWaiting(why func(*request.Request) *request.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()

	refusals := make(map[*queue.Item[*waiter]]*request.Refusal)

	m.q.Each(func(it *queue.Item[*waiter]) {
		if r := why(it.Value.req); r != nil {
			refusals[it] = r
		}
	})

	for it, r := range refusals {
		m.q.Remove(it)
		it.Value.refuse(r)
	}
}
