package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// TestResumedStreamWaitsForALoad guards against resumed streams that are refused although their model can be loaded where they may go on, and against clients that wait where it can't.
func TestResumedStreamWaitsForALoad(t *testing.T) {
	const load = 300 * time.Millisecond

	for name, tc := range map[string]struct {
		// possible says that a target of the stream's software can load the model, and
		// loadedAfter when one has, unless it is zero.
		possible    bool
		loadedAfter time.Duration
		timeout     time.Duration
		goesOn      bool
		// within is how soon the client knows.
		within time.Duration
	}{
		"loaded in time":             {true, 400 * time.Millisecond, time.Minute, true, 500 * time.Millisecond},
		"no target can load it":      {false, 0, time.Minute, false, 0},
		"the client leaves before":   {true, 0, load, false, 0},
		"the holder does not act":    {true, 0, time.Minute, false, load + reloadGrace + serveInterval},
		"loaded late is still taken": {true, load + reloadGrace, time.Minute, true, load + reloadGrace + serveInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 2)
				fx.software = map[instance.ID]instance.Software{"t0": "v2", "t1": "v2"}
				fx.publish()

				fx.cfg.ReloadTime = func(string, origin.Origin) (time.Duration, bool) { return load, tc.possible }

				if tc.loadedAfter > 0 {
					time.AfterFunc(tc.loadedAfter, func() {
						assert.DeepEqual(t, fx.Resumed(), []demand.Resumed{{Model: model, Software: "v1"}})
						fx.mu.Lock()
						fx.software = map[instance.ID]instance.Software{"t0": "v1", "t1": "v2"}
						fx.mu.Unlock()
						fx.publish()
					})
				}

				req := newRequest("p", tc.timeout)
				req.Origin = origin.Of("v1")
				began := time.Now()
				got, _, err := fx.Acquire(t.Context(), req, router.Query{})
				took := time.Since(began)

				assert.Equal(t, err == nil, tc.goesOn, "%v", err)
				assert.Assert(t, took <= tc.within, "%s", took)
				assert.Equal(t, len(fx.Resumed()), 0)

				if tc.goesOn {
					assert.Equal(t, got.ID, instance.ID("t0"))

					return
				}

				var refusal *request.Refusal

				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Code, request.OtherSoftware)
			})
		})
	}
}
