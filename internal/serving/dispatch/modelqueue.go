package dispatch

import (
	"context"
	"slices"
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
	// predictive says that requests are ordered and refused by the prediction that all
	// entries share. It changes only while no request is queued.
	predictive bool
	returns    returns
	refused    refusedByPrediction
	// serving says that a goroutine runs serve.
	serving bool
	wakeUp  chan struct{}
	// startRate estimates how fast queued requests start.
	startRate startRate
	// retryAt is when the client that was refused last because of targets' rests or
	// rate limits may retry.
	retryAt time.Time
	// refusedAtRest counts the requests that were refused since the last report because
	// their targets rest until restEnd. Their clients come back, so they count as waiting.
	refusedAtRest int
	restEnd       time.Time
	// arrived counts the requests that arrived since the last report.
	arrived atomic.Int64
}

// waiter is one queued request.
type waiter struct {
	req     *request.Request
	query   router.Query
	since   time.Time
	granted chan grant
	// ahead is the number of requests of all entries that were assumed to start before it
	// at judgedAt, when it had class.
	ahead    float64
	judgedAt time.Time
	class    queue.Class
}

// grant ends the wait of a queued request: with a target or a refusal.
type grant struct {
	target  *router.Target
	refusal *request.Refusal
}

// startRate estimates the rate at which queued requests start.
type startRate struct {
	// gap is the smoothed time between two starts. Zero means unknown.
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

// answerMargin is how long before its deadline a request must be answered, so
// that the answer reaches the client in time.
const answerMargin = 50 * time.Millisecond

// countArrival counts a request's first attempt among the arrivals of its model.
func (d *Dispatcher) countArrival(req *request.Request, q *router.Query) {
	if len(q.Exclude) == 0 {
		d.queueOf(req.Model).arrived.Add(1)
	}
}

// acquire returns a target on which the request is counted, after queueing the
// request if no target accepts it at once. The returned bool says whether the
// model was cold.
func (d *Dispatcher) acquire(ctx context.Context, req *request.Request, q router.Query) (*router.Target, bool, error) {
	m := d.queueOf(req.Model)
	req.PredictedWait = 0
	q.Origin = req.Origin

	if t := m.tryImmediately(&q); t != nil {
		return t, false, nil
	}

	d.cfg.Log.Add(timeline.Event{Kind: timeline.Queued, Request: req.ID, Model: req.Model, Customer: req.Customer})

	cold := len(d.cfg.Table.Targets(req.Model)) == 0

	w := &waiter{req: req, query: q, since: time.Now(), granted: make(chan grant, 1)}
	item := m.newItem(req, w)

	if err := m.push(item); err != nil {
		return nil, cold, err
	}

	d.cfg.OnQueued(req.Model)

	select {
	case g := <-w.granted:
		return g.result(cold)
	case <-ctx.Done():
	}

	if m.remove(item) {
		return nil, cold, ctx.Err()
	}

	// The grant was sent while the context ended.
	g := <-w.granted

	return g.result(cold)
}

// newItem returns a request as an item of the queue.
func (m *modelQueue) newItem(req *request.Request, w *waiter) *queue.Item[*waiter] {
	return &queue.Item[*waiter]{
		Customer: req.Customer,
		Weight:   1 + req.Priority,
		Deadline: req.Deadline.Add(-m.d.latencyOf(req.Model).duration(req.MaxTokens) - answerMargin),
		Goal:     goalOf(req),
		Since:    req.Arrived,
		Priority: req.Priority,
		Tokens:   req.Tokens,
		Value:    w,
	}
}

// goalOf returns the time after which the request cannot meet its goal, or zero.
func goalOf(req *request.Request) time.Time {
	if req.Goal.IsZero() {
		return time.Time{}
	}

	return req.Goal.Add(-answerMargin)
}

func (g grant) result(cold bool) (*router.Target, bool, error) {
	if g.refusal != nil {
		return nil, cold, g.refusal
	}

	return g.target, cold, nil
}

// tryImmediately chooses a target without queueing and counts the request on it.
// It returns nil if no target accepts the request, or if other requests are
// queued, so that none of them is overtaken.
func (m *modelQueue) tryImmediately(q *router.Query) *router.Target {
	m.mu.Lock()
	waiting := m.q.Len()
	m.mu.Unlock()

	if waiting > 0 {
		return nil
	}

	return m.choose(q, 0)
}

// choose chooses a target and counts the request on it. waiting is the number
// of queued requests. It returns nil if no target accepts the request.
func (m *modelQueue) choose(q *router.Query, waiting int) *router.Target {
	q.Now, q.Waiting = time.Now(), waiting
	q.Entries = m.d.cfg.Entries()

	t := router.Choose(m.d.cfg.Table.Targets(m.model), q)
	if t == nil || !t.BeginQuery(q) {
		return nil
	}

	return t
}

// defaultRetryAfter is the time after which a client is told to retry if no
// longer time is predicted.
const defaultRetryAfter = time.Second

func (m *modelQueue) push(it *queue.Item[*waiter]) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if r := m.refuseUnavailable(it, time.Now()); r != nil {
		return r
	}

	if m.q.Len() == 0 {
		m.predictive = m.d.cfg.Predictive != nil && m.d.cfg.Predictive(m.model)
	}

	if m.predictive {
		if err := m.pushPredictive(it, time.Now()); err != nil {
			return err
		}

		m.startServing()

		return nil
	}

	if m.tooLate(it) {
		return request.Refuse(request.DeadlineUnreachable, m.drainTime(), "too many requests wait to meet its deadline")
	}

	displaced, err := m.q.Push(it)
	if err != nil {
		return request.Refuse(request.Overloaded, m.drainTime(), "too many requests wait for this model")
	}

	if displaced != nil {
		displaced.Value.refuse(request.Refuse(request.Overloaded, m.drainTime(),
			"displaced by a customer with fewer waiting requests"))
	}

	m.startServing()

	return nil
}

func (m *modelQueue) startServing() {
	if !m.serving {
		m.serving = true

		go m.serve()
	}
}

// minQueueForRate is the length from which startRate is used to predict the
// wait.
const minQueueForRate = 8

// tooLate reports whether the request would start too late to be answered before
// its deadline if queued requests continue to start at the recent rate. It
// returns false while the queue is shorter than minQueueForRate or no target
// holds the model.
func (m *modelQueue) tooLate(it *queue.Item[*waiter]) bool {
	n := m.q.Len()
	if n < minQueueForRate || len(m.d.cfg.Table.Targets(m.model)) == 0 {
		return false
	}

	return time.Now().Add(time.Duration(m.ahead(it)) * m.startRate.gap).After(it.Deadline)
}

// ahead returns how many queued requests are assumed to start before a new one.
//
// Customers take turns, so a customer with few queued requests is served before
// the rest of longer queues. If the new request's customer has k requests,
// including the new one, at most k requests of each customer with queued requests
// are assumed to start first.
func (m *modelQueue) ahead(it *queue.Item[*waiter]) int {
	return min(m.q.Len(), m.q.Customers()*(m.q.Waiting(it.Customer)+1))
}

// drainTime predicts how long it takes to start all queued requests. It returns
// at least defaultRetryAfter.
func (m *modelQueue) drainTime() time.Duration {
	return max(defaultRetryAfter, time.Duration(m.q.Len())*m.startRate.gap)
}

func (w *waiter) refuse(r *request.Refusal) { w.granted <- grant{refusal: r} }

func (m *modelQueue) remove(it *queue.Item[*waiter]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.q.Remove(it)
}

// WakeQueues makes every queue look for targets immediately, after a change of
// the routing table.
func (d *Dispatcher) WakeQueues() {
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

// serveInterval is how often a queue looks for targets, and for requests that
// cannot be answered in time, if nothing wakes it.
const serveInterval = 20 * time.Millisecond

// serve grants targets to queued requests until the queue is empty.
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

// serveOnce grants available targets and refuses requests that cannot be
// answered. It reports whether requests are still queued.
func (m *modelQueue) serveOnce() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	now := time.Now()

	m.refuseDenied()
	m.refuseLate(now)
	m.refusePredicted(now)
	m.refuseAllUnavailable(now)

	for m.q.Len() > 0 && m.grantNext() {
		m.startRate.record(now)
	}

	if m.q.Len() == 0 {
		m.serving = false

		return false
	}

	return true
}

// grantNext grants a target to the first queued request that can have one.
// Requests with special conditions, such as suspects, do not delay the others.
func (m *modelQueue) grantNext() bool {
	var t *router.Target

	full, waiting := false, m.q.Len()
	if m.behind(time.Now()) {
		waiting = 0
	}

	it := m.pop(func(it *queue.Item[*waiter]) bool {
		q := &it.Value.query
		plain := !q.Suspect && len(q.Exclude) == 0 && !q.Origin.Begun()

		if full && plain {
			return false
		}

		t = m.choose(q, waiting)
		if t == nil && len(q.Exclude) > 0 {
			// No other target accepts the request, so the one that failed may
			// be used again.
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

		d.Deadline = replica.EarlierNonZero(d.Deadline, it.Deadline)

		if req.Goal.After(now) {
			d.Goal = replica.EarlierNonZero(d.Goal, req.Goal)
		}
	})

	if d.Refused = m.refused.count(now); d.Refused > 0 {
		d.Deadline = replica.EarlierNonZero(d.Deadline, slices.MinFunc(m.refused.until, time.Time.Compare))
	}

	if m.refusedAtRest > 0 {
		d.Waiting += m.refusedAtRest
		d.Deadline = replica.EarlierNonZero(d.Deadline, m.restEnd)
		m.refusedAtRest = 0
	}

	return d, d.Waiting > 0 || d.Arrived > 0 || d.Refused > 0
}

func (m *modelQueue) countPlans(n map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.q.Each(func(it *queue.Item[*waiter]) { n[it.Value.req.Plan]++ })
}
