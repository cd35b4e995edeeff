package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
)

// fixture is a dispatcher with some engines in memory, in a synctest bubble.
type fixture struct {
	*Dispatcher

	table   router.Table
	engines []*engine.Engine
	log     timeline.Log

	mu          sync.Mutex
	number      uint64
	queuedCalls int
	notices     []Notice
	refreshes   int
	// software are the versions of the engines' programs.
	software map[instance.ID]instance.Software
}

const model = "m"

// newFixture returns a fixture with engines on which the model is ready.
func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()

	fx := &fixture{}

	// Background goroutines need time to end before the test does.
	t.Cleanup(func() { time.Sleep(time.Minute) })

	for i := range engines {
		e := engine.New(engine.Options{
			ID: instance.ID(fmt.Sprint("t", i)), Memory: 100, Slots: 4, Restart: time.Second,
			FirstToken: 50 * time.Millisecond, PerToken: 10 * time.Millisecond,
		})
		fx.engines = append(fx.engines, e)
		fx.load(t, e)
	}

	fx.Dispatcher = New(Config{
		Table:  &fx.table,
		Engine: func(rt *router.Target) target.Engine { return fx.engineOf(rt.ID) },
		Probe: func(ctx context.Context, rt *router.Target) (target.Inventory, error) {
			return fx.engineOf(rt.ID).Inventory(ctx)
		},
		Refresh: func(*router.Target) {
			fx.mu.Lock()
			defer fx.mu.Unlock()

			fx.refreshes++
		},
		Entries: func() int { return 1 },
		CellOf:  func(string) int { return 0 },
		OnQueued: func(string) {
			fx.mu.Lock()
			defer fx.mu.Unlock()

			fx.queuedCalls++
		},
		OnNotice: func(n Notice) {
			fx.mu.Lock()
			defer fx.mu.Unlock()

			fx.notices = append(fx.notices, n)
		},
		Log:        &fx.log,
		MaxWaiting: 64,
	})
	fx.publish()

	return fx
}

func (fx *fixture) engineOf(id instance.ID) *engine.Engine {
	for _, e := range fx.engines {
		if e.ID() == id {
			return e
		}
	}

	return nil
}

func (fx *fixture) load(t *testing.T, e *engine.Engine) {
	t.Helper()

	inv, _ := e.Inventory(t.Context())
	_, err := e.Submit(t.Context(), target.Order{ID: "load/" + inv.Incarnation, Action: target.Load{Model: model}})
	assert.NilError(t, err)
	synctest.Wait()
}

// publish applies a snapshot of the engines' present state to the routing
// table.
func (fx *fixture) publish(waits ...router.Wait) {
	fx.number++
	s := &router.Snapshot{Token: 1, Number: fx.number, Waits: waits}

	for i, e := range fx.engines {
		inv, err := e.Inventory(context.Background())
		s.Targets = append(s.Targets, router.TargetInfo{
			ID: e.ID(), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), Slots: 4, Speed: 1,
			Incarnation: inv.Incarnation, Software: fx.software[e.ID()], Down: err != nil,
		})

		if e.Holds(model) {
			s.Added = append(s.Added, router.Replica{Target: e.ID(), Model: model})
		}
	}

	fx.table.Apply(s, time.Now())

	if fx.Dispatcher != nil {
		fx.WakeQueues()
	}
}

// text collects an answer.
type text struct{ strings.Builder }

// Token implements Sink.
func (s *text) Token(token string) error {
	_, err := s.WriteString(token)

	return err
}

var requests atomic.Int64

func newRequest(prompt string, timeout time.Duration) *request.Request {
	n := requests.Add(1)

	return &request.Request{
		ID: fmt.Sprint("r", n), EngineID: fmt.Sprint("e", n), Customer: "c", Plan: "p", Model: model,
		Prompt: prompt, MaxTokens: 20, Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	}
}

// do sends a request and returns its answer, its refusal and its error.
func (fx *fixture) do(ctx context.Context, req *request.Request) (string, *request.Refusal, error) {
	var out text

	_, err := fx.Do(ctx, req, &out)
	refusal, _ := asRefusal(err)

	return out.String(), refusal, err
}

// faults are failures while a request is answered. In each, the client must get
// the complete answer to its own request, with each token once.
var faults = map[string]struct {
	engines int
	before  func(fx *fixture)
	during  func(fx *fixture)
	within  time.Duration
}{
	"none": {engines: 2, within: time.Second},
	// An open stream carries no more data, for example because a middlebox has
	// dropped the connection. The client would see an answer that stops. The
	// target answers on a new connection, so the stream is resumed there.
	"stream goes silent": {
		engines: 1, during: func(fx *fixture) { fx.engines[0].Silence() }, within: 2 * time.Second,
	},
	// The stream ends cleanly in the middle, which looks like a short answer.
	"stream is cut short": {
		engines: 1, before: func(fx *fixture) { fx.engines[0].SetFaults(engine.Faults{Truncate: true}) }, within: time.Second,
	},
	// The target's process dies, and another target has the model.
	"target dies": {engines: 2, during: func(fx *fixture) {
		for _, e := range fx.engines {
			if _, running := e.Use(); running > 0 {
				e.Crash()

				return
			}
		}
	}, within: time.Second},
	// The only target dies and restarts, and its model is loaded again.
	"only target dies and comes back": {engines: 1, during: func(fx *fixture) {
		fx.engines[0].Crash()
		time.AfterFunc(1200*time.Millisecond, func() {
			inv, _ := fx.engines[0].Inventory(context.Background())
			_, _ = fx.engines[0].Submit(context.Background(), target.Order{
				ID: "again/" + inv.Incarnation, Action: target.Load{Model: model},
			})

			time.AfterFunc(50*time.Millisecond, func() { fx.publish() })
		})
	}, within: 3 * time.Second},
	// The routing table is stale: the model has just been unloaded.
	"model was unloaded": {engines: 2, before: func(fx *fixture) {
		_, _ = fx.engines[0].Submit(context.Background(), target.Order{ID: "u", Action: target.Unload{Model: model}})
	}, within: time.Second},
	// During an answer, its target is marked as leaving, and it stops soon
	// after. The answer is resumed on another target with the engine's state.
	"target leaves mid-answer": {engines: 2, during: func(fx *fixture) {
		for _, e := range fx.engines {
			if _, running := e.Use(); running > 0 {
				fx.table.Target(e.ID()).MarkLeaving()
				time.AfterFunc(50*time.Millisecond, e.Stop)
			}
		}
	}, within: time.Second},
	// The target refuses the request because it is leaving.
	"target is leaving": {engines: 2, before: func(fx *fixture) { fx.engines[0].Leave() }, within: time.Second},
}

func TestFaults(t *testing.T) {
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, f.engines)

				// Answers without faults provide the samples for the silence bounds.
				for range 3 {
					_, _, err := fx.do(t.Context(), newRequest("calm", time.Minute))
					assert.NilError(t, err)
				}

				if f.before != nil {
					f.before(fx)
				}

				if f.during != nil {
					time.AfterFunc(120*time.Millisecond, func() { f.during(fx) })
				}

				began := time.Now()
				got, _, err := fx.do(t.Context(), newRequest(name, time.Minute))
				assert.NilError(t, err)
				assert.Equal(t, got, engine.Answer(model, name, 20))
				assert.Assert(t, time.Since(began) < f.within, "took %s", time.Since(began))
			})
		})
	}
}

// TestSwappedAnswers guards against an engine that swaps two answers: each
// client must get its own answer, complete.
func TestSwappedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)

		var wg sync.WaitGroup

		for i := range 2 {
			prompt := fmt.Sprint("prompt ", i)

			wg.Go(func() {
				got, _, err := fx.do(t.Context(), newRequest(prompt, time.Minute))
				assert.Check(t, err)
				assert.Check(t, got == engine.Answer(model, prompt, 20), "%s got %q", prompt, got)
			})
			time.Sleep(70 * time.Millisecond)
			fx.engines[0].SetFaults(engine.Faults{SwapAnswers: i == 0})
		}

		wg.Wait()
	})
}

// TestPoisonAmongHarmless sends a poison request among harmless ones. It must
// be blocked after the second target that it crashes, and refused at once when
// its client sends it again. The other requests must be answered.
func TestPoisonAmongHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 4)

		var wg sync.WaitGroup

		for i := range 8 {
			prompt := fmt.Sprint("innocent ", i)

			wg.Go(func() {
				got, _, err := fx.do(t.Context(), newRequest(prompt, time.Minute))
				assert.Check(t, err)
				assert.Check(t, got == engine.Answer(model, prompt, 20))
			})
		}

		time.Sleep(80 * time.Millisecond)

		_, refusal, _ := fx.do(t.Context(), newRequest(engine.Poison, time.Minute))
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Code, request.Poisoned)
		assert.Equal(t, refusal.Run, request.MayHaveRun)

		crashes := 0
		for _, e := range fx.engines {
			crashes += e.PoisonCrashes()
		}

		assert.Equal(t, crashes, 2)

		_, refusal, _ = fx.do(t.Context(), newRequest(engine.Poison, time.Minute))
		assert.Equal(t, refusal.Code, request.Poisoned)
		assert.Equal(t, refusal.Run, request.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		wg.Wait()

		poisoned := 0

		for _, n := range fx.notices {
			if n.Poisoned != 0 {
				poisoned++
			}
		}

		assert.Equal(t, poisoned, 1, "peers are notified once")
	})
}

// TestClientDisconnects checks that an engine's slot is released at once when the
// client disconnects.
func TestClientDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)

		_, refusal, err := fx.do(ctx, newRequest("p", time.Minute))
		assert.Assert(t, refusal == nil)
		assert.ErrorIs(t, err, context.Canceled)
		synctest.Wait()

		_, running := fx.engines[0].Use()
		assert.Equal(t, running, 0)
	})
}

// slowSink is a client that stops reading after some tokens.
type slowSink struct{ after int }

func (s *slowSink) Token(string) error {
	if s.after--; s.after < 0 {
		return errors.New("write timed out")
	}

	return nil
}

func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)

		_, err := fx.Do(t.Context(), newRequest("p", time.Minute), &slowSink{after: 3})
		assert.ErrorContains(t, err, "write timed out")
		synctest.Wait()

		_, running := fx.engines[0].Use()
		assert.Equal(t, running, 0)
	})
}

// TestPlanRemoved checks that a queued request is refused at once, as not run,
// when RefuseWaiting is called because its plan was removed.
func TestPlanRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)

		time.AfterFunc(time.Second, func() {
			fx.RefuseWaiting(func(req *request.Request) *request.Refusal {
				return request.Refuse(request.PlanRemoved, 0, req.Plan)
			})
		})

		began := time.Now()
		_, refusal, _ := fx.do(t.Context(), newRequest("p", time.Minute))
		assert.Equal(t, refusal.Code, request.PlanRemoved)
		assert.Equal(t, refusal.Run, request.NotRun)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
