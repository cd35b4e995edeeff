package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
)

// TestRefusals lists requests that get no target. Each must be refused with the
// right code as soon as it cannot be answered in time.
func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		wait    *router.Wait
		timeout time.Duration
		code    request.Code
		within  time.Duration
		retry   time.Duration
	}{
		"no replica can be loaded": {
			&router.Wait{Model: model, Reason: replica.ReasonBusy, RetryAfter: 7 * time.Second},
			time.Minute, request.Overloaded, time.Second, 7 * time.Second,
		},
		"no such checkpoint": {
			&router.Wait{Model: model, Reason: replica.ReasonUnknown}, time.Minute, request.UnknownModel, time.Second, 0,
		},
		"the load would end after the deadline": {
			&router.Wait{Model: model, Ready: 30 * time.Second}, 10 * time.Second, request.TooCold, time.Second, 20 * time.Second,
		},
		"no Wait is published": {nil, 5 * time.Second, request.DeadlineUnreachable, 5100 * time.Millisecond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 0)

				if tc.wait != nil {
					time.AfterFunc(100*time.Millisecond, func() { fx.publish(*tc.wait) })
				}

				began := time.Now()
				_, refusal, err := fx.do(t.Context(), newRequest("p", tc.timeout))
				assert.Assert(t, refusal != nil, err)
				assert.Equal(t, refusal.Code, tc.code)
				assert.Equal(t, refusal.Run, request.NotRun)
				assert.Assert(t, refusal.RetryAfter >= tc.retry, "retry after %s", refusal.RetryAfter)
				assert.Assert(t, time.Since(began) <= tc.within, "took %s", time.Since(began))
				assert.Assert(t, fx.queuedCalls > 0)
			})
		})
	}
}

// TestWaitOfPrerequisite sends a request for an adapter while the only target
// with its base model is leaving and the base model is predicted in 30 seconds.
// The request must be refused at once with the time after which to retry. It
// could otherwise be queued until its client disconnects, because a leaving
// target still holds the model and no Wait is published for the adapter itself.
func TestWaitOfPrerequisite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		fx.cfg.Prerequisite = func(string) string { return "base" }
		fx.table.Targets(model)[0].MarkLeaving()
		fx.publish(router.Wait{Model: "base", Ready: 30 * time.Second})

		began := time.Now()
		_, refusal, err := fx.do(t.Context(), newRequest("p", 10*time.Second))
		assert.Assert(t, refusal != nil, err)
		assert.Equal(t, refusal.Code, request.TooCold)
		assert.Equal(t, refusal.Run, request.NotRun)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "took %s", time.Since(began))
		assert.Assert(t, refusal.RetryAfter > 29*time.Second, "retry after %s", refusal.RetryAfter)
	})
}

// TestStaleDenial guards against a request being refused because of a snapshot
// that arrived before it and says that no replica of its model can be loaded.
func TestStaleDenial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.publish(router.Wait{Model: model, Reason: replica.ReasonBusy})
		time.Sleep(100 * time.Millisecond)

		began := time.Now()
		_, refusal, _ := fx.do(t.Context(), newRequest("p", 3*time.Second))
		assert.Equal(t, refusal.Code, request.TooCold)
		assert.Assert(t, time.Since(began) > 2*time.Second, "refused after %s", time.Since(began))
	})
}

// TestColdStart checks that requests queued for a cold model are all served
// once it is ready, and that their number and earliest deadline are reported to
// the lease holder.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		e := fx.engines[0]
		fx.engines = nil
		fx.publish()

		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				_, _, err := fx.do(t.Context(), newRequest(fmt.Sprint(i), time.Duration(20+i)*time.Second))
				assert.Check(t, err)
			})
		}

		synctest.Wait()

		waiting, _ := fx.Report(0)
		assert.Equal(t, len(waiting), 1)
		assert.Equal(t, waiting[0].Waiting, 3)
		assert.Assert(t, time.Until(waiting[0].Deadline) <= 20*time.Second)
		assert.Equal(t, fx.QueuedByPlan()["p"], 3)

		fx.engines = []*engine.Engine{e}
		fx.publish()
		wg.Wait()

		_, uses := fx.Report(0)
		assert.Equal(t, uses[0].Served, 3)
	})
}

// TestOverload sends up to three times as many requests as the targets can
// serve. Complete answers must use nine tenths of the capacity, every request
// must be answered or refused, and a customer with few requests must get
// answers too.
func TestOverload(t *testing.T) {
	for _, factor := range []float64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 30

			fx := newFixture(t, 2)

			// One answer takes about 0.35 s on a full engine, so 8 slots give
			// this many answers a second.
			const capacity = 8 / (0.05 + 20*0.010*1.4)

			var (
				wg            sync.WaitGroup
				mu            sync.Mutex
				answered      = make(map[string]int)
				refused       int
				cutAtDeadline int
				sent          = make(map[string]int)
			)

			gap := time.Duration(float64(time.Second) / (capacity * factor))

			for n := range int(seconds * capacity * factor) {
				req := newRequest(fmt.Sprint("overload ", n), 3*time.Second)

				req.Customer = "flood"
				if n%20 == 0 {
					req.Customer = "few"
				}

				sent[req.Customer]++

				wg.Go(func() {
					_, refusal, err := fx.do(t.Context(), req)

					mu.Lock()
					defer mu.Unlock()

					switch {
					case err == nil:
						answered[req.Customer]++
					case refusal != nil:
						refused++

						if refusal.Run != request.NotRun && refusal.Code == request.DeadlinePassed {
							cutAtDeadline++
						}
					}
				})
				time.Sleep(gap)
			}

			wg.Wait()

			total := answered["flood"] + answered["few"]
			goodput := float64(total) / (seconds * capacity)
			t.Logf("load %.0fx: goodput %.2f of capacity, %d answered, %d refused, %d cut at the deadline, few %d of %d",
				factor, goodput, total, refused, cutAtDeadline, answered["few"], sent["few"])
			assert.Assert(t, goodput >= 0.9, "goodput %.2f", goodput)
			assert.Assert(t, answered["few"]*10 >= sent["few"]*9, "few %d of %d", answered["few"], sent["few"])
			assert.Equal(t, total+refused, sent["flood"]+sent["few"])
		})
	}
}

// TestOnReplicaIdle checks that OnReplicaIdle is called when the last request on
// a replica ends, because other models may wait for its memory, and not for each
// request of a busy model.
func TestOnReplicaIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		idle := 0
		fx.cfg.OnReplicaIdle = func() { idle++ }

		req := newRequest("p", 10*time.Second)

		first, _, err := fx.Acquire(t.Context(), req, router.Query{})
		assert.NilError(t, err)

		second, _, err := fx.Acquire(t.Context(), req, router.Query{})
		assert.NilError(t, err)

		fx.Release(first, req, false)
		assert.Equal(t, idle, 0, "one still runs")
		fx.Release(second, req, false)
		assert.Equal(t, idle, 1)
	})
}
