// Package dispatch forwards admitted requests to targets and relays their
// answers. It queues requests per model, chooses targets, checks every frame
// and resumes broken streams. Requests that cannot be answered are refused, and
// the refusal states only what is proved about whether they ran.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/stream"
)

// Config configures a Dispatcher.
type Config struct {
	Table *router.Table
	// Engine returns a client of the target, which may be shared.
	Engine func(t *router.Target) target.Engine
	// Probe requests a target's inventory over a new connection.
	Probe func(ctx context.Context, t *router.Target) (target.Inventory, error)
	// Refresh makes the next call to the target use a new connection.
	Refresh func(t *router.Target)
	// Reserve reserves a target for a suspect, so that no other suspect of any
	// entry runs there until it is released or the time has passed. It may be
	// nil if there is only one entry.
	Reserve func(ctx context.Context, id instance.ID, until time.Time) (release func(), ok bool)
	// Permit decides whether a request may be sent to a target now. If not, it
	// returns how long to wait until the target is asked for again. It may be nil.
	Permit func(ctx context.Context, id instance.ID) (wait time.Duration, granted bool)
	// Placeable reports whether the model can be loaded on a target without a rate
	// limit. Nil means that no model can.
	Placeable func(model string) bool
	// ReloadTime returns how long a load of the model takes at a target that may go on
	// with streams of the origin and needs no weight store for it. It returns false if there
	// is none. It may be nil if there never is.
	ReloadTime func(model string, from origin.Origin) (time.Duration, bool)
	// Entries returns the number of entries.
	Entries func() int
	// CellOf returns the cell whose lease holder decides on the model.
	CellOf func(model string) int
	// Prerequisite returns the model that must be loaded before this one, such
	// as the base model of an adapter. It may be nil.
	Prerequisite func(model string) string
	// Predictive reports whether the requests of a model are ordered by their goals, and
	// refused, by the prediction that all entries share. Nil means those of no model.
	Predictive func(model string) bool
	// OnQueued is called when a request is queued because no replica of its
	// model accepts it or other requests are queued before it.
	OnQueued func(model string)
	// OnReplicaIdle is called when Release ends the last of this entry's requests
	// on a replica, since the replica may then be evicted. It may be nil.
	OnReplicaIdle func()
	// OnNotice is called with events that all entries must receive at once.
	OnNotice func(Notice)
	Log      *timeline.Log
	Metrics  tally.Scope
	// MaxWaiting bounds the queued requests of one model.
	MaxWaiting int
}

// Notice is an event that was detected while a request was forwarded. Exactly
// one field is set.
type Notice struct {
	Leaving  instance.ID
	Poisoned request.Fingerprint
	Dead     crash.Death
}

// Sink receives an answer's tokens in order.
type Sink interface {
	// Token writes one token. An error means that the client has disconnected
	// or reads too slowly.
	Token(text string) error
}

// Dispatcher serves requests for models. Create it with New.
type Dispatcher struct {
	cfg       Config
	queues    sync.Map // queues maps a model to its *modelQueue.
	uses      sync.Map // uses maps a ledger.Key to its *replicaUse.
	latencies sync.Map // latencies maps a model to its *modelLatency.
	budget    retryBudget

	// Crashes knows which requests crash targets.
	Crashes Crashes

	running atomic.Int64
}

// replicaUse counts one replica's requests in flight, and the attempts that ended
// there since the last report, failed ones included.
type replicaUse struct {
	running atomic.Int64
	served  atomic.Int64
	tokens  atomic.Int64
	pauses  Pauses
}

// modelLatency estimates the times between the events of a model's answers.
type modelLatency struct {
	mu       sync.Mutex
	first    stream.GapEstimator
	perToken stream.GapEstimator
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}

	d := &Dispatcher{cfg: cfg}
	d.Crashes.OnConviction = func(fp request.Fingerprint) { cfg.OnNotice(Notice{Poisoned: fp}) }
	d.budget.level.Store(maxRetryBudget)

	return d
}

// Result describes an answered request.
type Result struct {
	Tokens int
	// FirstToken is the time from the request's arrival to its first token.
	FirstToken time.Duration
	// Cold says that the request waited for a replica to be loaded.
	Cold bool
}

// Do writes the answer to the request into sink or returns a *request.Refusal.
// If the client has disconnected or reads too slowly, it returns the context's
// error, or one that wraps the sink's.
func (d *Dispatcher) Do(ctx context.Context, req *request.Request, sink Sink) (Result, error) {
	if refusal := d.Crashes.Refusal(req); refusal != nil {
		return Result{}, refusal
	}

	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()

	d.running.Add(1)
	defer d.running.Add(-1)

	d.budget.deposit()

	f := &forwarder{
		Dispatcher: d,
		req:        req,
		sink:       sink,
		checker:    stream.Checker{RequestID: req.EngineID, Max: req.MaxTokens},
		latency:    d.latencyOf(req.Model),
	}

	return f.run(ctx)
}

// Running returns the number of requests that are in flight or queued.
func (d *Dispatcher) Running() int { return int(d.running.Load()) }

func (d *Dispatcher) latencyOf(model string) *modelLatency {
	if l, ok := d.latencies.Load(model); ok {
		return l.(*modelLatency) //nolint:forcetypeassert // The map holds nothing else.
	}

	l, _ := d.latencies.LoadOrStore(model, &modelLatency{})

	return l.(*modelLatency) //nolint:forcetypeassert // The map holds nothing else.
}

func (d *Dispatcher) useOf(t *router.Target, model string) *replicaUse {
	k := ledger.Key{Target: t.ID, Model: model}
	if u, ok := d.uses.Load(k); ok {
		return u.(*replicaUse) //nolint:forcetypeassert // The map holds nothing else.
	}

	u, _ := d.uses.LoadOrStore(k, &replicaUse{})

	return u.(*replicaUse) //nolint:forcetypeassert // The map holds nothing else.
}

// duration predicts how long an answer of n tokens takes.
func (l *modelLatency) duration(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.first.Mean() + time.Duration(n)*l.perToken.Mean()
}

// silenceBounds returns how long the first token and each further one may take.
func (l *modelLatency) silenceBounds() (first, next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return max(l.first.Bound(), minFirstBound), l.perToken.Bound()
}

// minFirstBound is the shortest silence before the first token after which a
// stream counts as stalled. Engines may queue a request behind others.
const minFirstBound = time.Second

func (l *modelLatency) observe(first time.Duration, perToken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if first > 0 {
		l.first.Observe(first)
	}

	if perToken > 0 {
		l.perToken.Observe(perToken)
	}
}

// Report returns this entry's demand and its use of replicas, for a cell's
// lease holder.
func (d *Dispatcher) Report(cell int) ([]replica.Demand, []demand.Use) {
	var waiting []replica.Demand

	d.queues.Range(func(key, value any) bool {
		model, _ := key.(string)
		if d.cfg.CellOf(model) != cell {
			return true
		}

		if dem, ok := value.(*modelQueue).demand(model); ok { //nolint:forcetypeassert // The map holds nothing else.
			waiting = append(waiting, dem)
		}

		return true
	})

	var uses []demand.Use

	d.uses.Range(func(key, value any) bool {
		k, _ := key.(ledger.Key)
		u, _ := value.(*replicaUse)

		if d.cfg.CellOf(k.Model) != cell {
			return true
		}

		running, served := int(u.running.Load()), int(u.served.Swap(0))
		events, eventTime := u.pauses.take()

		if running > 0 || served > 0 || events > 0 {
			uses = append(uses, demand.Use{Key: k, Running: running, Served: served, Tokens: int(u.tokens.Load()), Events: events, EventTime: eventTime})
		}

		return true
	})

	return waiting, uses
}

// Resumed returns the models that this entry's resumed streams wait for and that no target
// holds which may go on with them.
func (d *Dispatcher) Resumed() []demand.Resumed {
	var out []demand.Resumed

	d.queues.Range(func(_, value any) bool {
		out = append(out, value.(*modelQueue).resumed()...) //nolint:forcetypeassert // The map holds nothing else.

		return true
	})

	return out
}

// QueuedByPlan returns the number of queued requests of each plan.
func (d *Dispatcher) QueuedByPlan() map[string]int {
	n := make(map[string]int)

	d.queues.Range(func(_, value any) bool {
		value.(*modelQueue).countPlans(n) //nolint:forcetypeassert // The map holds nothing else.

		return true
	})

	return n
}

// RefuseWaiting refuses all queued requests for which why returns a refusal.
func (d *Dispatcher) RefuseWaiting(why func(*request.Request) *request.Refusal) {
	d.queues.Range(func(_, value any) bool {
		value.(*modelQueue).refuseWaiting(why) //nolint:forcetypeassert // The map holds nothing else.

		return true
	})
}

// retryBudget limits retries to a share of the requests, so that they cannot
// multiply the load when many targets fail.
type retryBudget struct{ level atomic.Int64 }

// The retry budget is counted in tenths of a retry: ten requests earn one retry.
const (
	// maxRetryBudget is 100 retries.
	maxRetryBudget = 1000
	requestCredit  = 1
	retryCost      = 10
)

func (b *retryBudget) deposit() {
	if n := b.level.Load(); n < maxRetryBudget {
		b.level.Add(requestCredit)
	}
}

func (b *retryBudget) consume() bool {
	if b.level.Add(-retryCost) >= 0 {
		return true
	}

	b.level.Add(retryCost)

	return false
}

// asRefusal returns err as a refusal if it is one.
func asRefusal(err error) (*request.Refusal, bool) {
	var r *request.Refusal

	return r, errors.As(err, &r)
}
