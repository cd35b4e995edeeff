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

// line is the queue of one model on this entry.
type line struct {
	d     *Dispatcher
	model string

	mu sync.Mutex
	q  queue.Queue[*waiter]
	// pumping says that a goroutine looks after the line.
	pumping bool
	kick    chan struct{}
	// rate is how fast requests of the line start.
	rate rate
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

// rate measures how often a waiting request of the line starts.
type rate struct {
	// gap is the smoothed time between two starts; zero means unknown.
	gap  time.Duration
	last time.Time
}

func (r *rate) note(now time.Time) {
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

func (d *Dispatcher) lineOf(model string) *line {
	if l, ok := d.lines.Load(model); ok {
		return l.(*line) //nolint:forcetypeassert // The map holds nothing else.
	}

	l := &line{d: d, model: model, kick: make(chan struct{}, 1)}
	l.q.Limit = d.cfg.MaxWaiting
	got, _ := d.lines.LoadOrStore(model, l)

	return got.(*line) //nolint:forcetypeassert // The map holds nothing else.
}

// answerMargin is how long before its deadline a request must have its answer,
// so that the answer reaches the caller in time.
const answerMargin = 50 * time.Millisecond

// acquire returns a target on which the request was counted, after waiting
// for one if need be.
func (d *Dispatcher) acquire(ctx context.Context, req *request.Request, q router.Query) (*router.Target, bool, error) {
	l := d.lineOf(req.Model)
	if len(q.Exclude) == 0 {
		l.arrived.Add(1)
	}

	if t := l.tryNow(&q); t != nil {
		return t, false, nil
	}

	d.cfg.Log.Add(timeline.Event{Kind: timeline.Queued, Request: req.ID, Model: req.Model, Customer: req.Customer})

	cold := len(d.cfg.Table.Targets(req.Model)) == 0

	w := &waiter{req: req, query: q, since: time.Now(), granted: make(chan grant, 1)}
	item := &queue.Item[*waiter]{
		Customer: req.Customer,
		Weight:   1 + req.Priority,
		Deadline: req.Deadline.Add(-d.paceOf(req.Model).duration(req.MaxTokens) - answerMargin),
		Value:    w,
	}

	if err := l.push(item); err != nil {
		return nil, cold, err
	}

	d.cfg.Demanded(req.Model)

	select {
	case g := <-w.granted:
		return g.take(cold)
	case <-ctx.Done():
	}

	if l.leave(item) {
		return nil, cold, ctx.Err()
	}

	// The grant came while the caller left.
	g := <-w.granted

	return g.take(cold)
}

func (g grant) take(cold bool) (*router.Target, bool, error) {
	if g.refusal != nil {
		return nil, cold, g.refusal
	}

	return g.target, cold, nil
}

// tryNow chooses a target without waiting. Nobody overtakes those who wait.
func (l *line) tryNow(q *router.Query) *router.Target {
	l.mu.Lock()
	waiting := l.q.Len()
	l.mu.Unlock()

	if waiting > 0 {
		return nil
	}

	return l.choose(q, 0)
}

// choose finds a target while so many requests wait.
func (l *line) choose(q *router.Query, waiting int) *router.Target {
	q.Now, q.Waiting = time.Now(), waiting
	q.Entries = l.d.cfg.Entries()

	t := router.Choose(l.d.cfg.Table.Targets(l.model), q)
	if t == nil || !t.Begin(q.Suspect) {
		return nil
	}

	return t
}

// overloadRetry is what a caller is told when the queue is full and nothing
// better is known.
const overloadRetry = time.Second

func (l *line) push(it *queue.Item[*waiter]) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.tooLate(it) {
		return request.Refuse(request.DeadlineAhead, l.drainTime(), "too many requests wait to meet its deadline")
	}

	displaced, err := l.q.Push(it)
	if err != nil {
		return request.Refuse(request.Overloaded, l.drainTime(), "too many requests wait for this model")
	}

	if displaced != nil {
		displaced.Value.refuse(request.Refuse(request.Overloaded, l.drainTime(),
			"displaced by a customer with fewer waiting requests"))
	}

	if !l.pumping {
		l.pumping = true

		go l.pump()
	}

	return nil
}

// longQueue is from what length on the queue's rate predicts the wait.
const longQueue = 8

// tooLate reports whether the request could not start in time even if the
// queue goes on as fast as of late.
func (l *line) tooLate(it *queue.Item[*waiter]) bool {
	n := l.q.Len()
	if n < longQueue || len(l.d.cfg.Table.Targets(l.model)) == 0 {
		return false
	}

	// A customer with few waiting requests is served before the others' long
	// lines, so only the customer's own even share counts.
	ahead := min(n, l.q.Customers()*(l.q.Waiting(it.Customer)+1))

	return time.Now().Add(time.Duration(ahead) * l.rate.gap).After(it.Deadline)
}

// drainTime estimates how long the waiting requests take to start.
func (l *line) drainTime() time.Duration {
	return max(overloadRetry, time.Duration(l.q.Len())*l.rate.gap)
}

func (w *waiter) refuse(r *request.Refusal) { w.granted <- grant{refusal: r} }

func (l *line) leave(it *queue.Item[*waiter]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.q.Remove(it)
}

// Kick makes every line look for targets at once, because routing changed.
func (d *Dispatcher) Kick() {
	d.lines.Range(func(_, value any) bool {
		value.(*line).poke() //nolint:forcetypeassert // The map holds nothing else.

		return true
	})
}

func (l *line) poke() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// pumpEvery is how often a line looks for targets and hopeless requests when
// nothing wakes it.
const pumpEvery = 20 * time.Millisecond

// pump grants targets to the waiting until nobody waits.
func (l *line) pump() {
	t := time.NewTicker(pumpEvery)
	defer t.Stop()

	for l.serveOnce() {
		select {
		case <-l.kick:
		case <-t.C:
		}
	}
}

// serveOnce grants what can be granted and refuses what is hopeless. It
// reports whether anybody still waits.
func (l *line) serveOnce() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	l.refuseDenied()
	l.refuseHopeless(now)

	for l.q.Len() > 0 && l.grantNext() {
		l.rate.note(now)
	}

	if l.q.Len() == 0 {
		l.pumping = false

		return false
	}

	return true
}

// grantNext gives a target to the next request that can have one. A request
// with demands of its own, such as a suspect, does not hold up the others.
func (l *line) grantNext() bool {
	var t *router.Target

	full, waiting := false, l.q.Len()

	it := l.q.PopFunc(func(it *queue.Item[*waiter]) bool {
		q := &it.Value.query
		plain := !q.Suspect && len(q.Exclude) == 0

		if full && plain {
			return false
		}

		t = l.choose(q, waiting)
		if t == nil && len(q.Exclude) > 0 {
			// Nobody else can take it, so the target that failed may.
			q.Exclude = nil
			t = l.choose(q, waiting)
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
func (l *line) refuseDenied() {
	wait, ok := l.d.cfg.Table.Wait(l.model)
	if !ok || wait.Reason == "" {
		return
	}

	at := l.d.cfg.Table.Position(l.d.cfg.CellOf(l.model)).At

	var denied []*queue.Item[*waiter]

	l.q.Each(func(it *queue.Item[*waiter]) {
		if at.After(it.Value.since) {
			denied = append(denied, it)
		}
	})

	for _, it := range denied {
		l.q.Remove(it)
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

// refuseHopeless refuses requests as soon as they cannot be answered in time,
// rather than when their time is up.
func (l *line) refuseHopeless(now time.Time) {
	start, code := now, request.DeadlineAhead

	if !router.Usable(l.d.cfg.Table.Targets(l.model)) {
		if wait, ok := l.wait(); ok {
			at := l.d.cfg.Table.Position(l.d.cfg.CellOf(l.model)).At
			start, code = at.Add(wait.Ready), request.TooCold
		}
	}

	if start.Before(now) {
		start = now
	}

	for _, it := range l.q.Hopeless(start) {
		retry := max(start.Sub(now), l.drainTime())
		it.Value.refuse(request.Refuse(code, retry, "it could not be answered before its deadline"))
	}
}

// wait says when the line's model can be had, or else what it needs.
func (l *line) wait() (router.Wait, bool) {
	wait, ok := l.d.cfg.Table.Wait(l.model)
	if ok || l.d.cfg.Needs == nil {
		return wait, ok
	}

	return l.d.cfg.Table.Wait(l.d.cfg.Needs(l.model))
}

func (l *line) demand(model string) (replica.Demand, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()
	d := replica.Demand{Model: model, Waiting: l.q.Len(), Arrived: int(l.arrived.Swap(0))}

	l.q.Each(func(it *queue.Item[*waiter]) {
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

func (l *line) countPlans(n map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.q.Each(func(it *queue.Item[*waiter]) { n[it.Value.req.Plan]++ })
}

func (l *line) refuseWaiting(why func(*request.Request) *request.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()

	refusals := make(map[*queue.Item[*waiter]]*request.Refusal)

	l.q.Each(func(it *queue.Item[*waiter]) {
		if r := why(it.Value.req); r != nil {
			refusals[it] = r
		}
	})

	for it, r := range refusals {
		l.q.Remove(it)
		it.Value.refuse(r)
	}
}
