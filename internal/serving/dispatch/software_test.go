package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
)

// TestAnswerMixesSoftware guards against an answer that goes on at another version of a target's program than began it.
func TestAnswerMixesSoftware(t *testing.T) {
	crash := func(_ *fixture, e *engine.Engine) { e.Crash() }
	leave := func(fx *fixture, e *engine.Engine) { fx.table.Target(e.ID()).MarkLeaving() }

	for name, tc := range map[string]struct {
		software []instance.Software
		during   func(fx *fixture, running *engine.Engine)
		// whole says that the answer is complete, and sends how many targets it was sent to.
		whole bool
		sends int
	}{
		"target dies, others have its software":       {[]instance.Software{"v1", "v1", "v1"}, crash, true, 2},
		"target dies, others have other software":     {[]instance.Software{"v1", "v2", "v3"}, crash, false, 1},
		"target leaves, others have its software":     {[]instance.Software{"v1", "v1", "v1"}, leave, true, 2},
		"target leaves, others have other software":   {[]instance.Software{"v1", "v2", "v3"}, leave, true, 1},
		"target dies, half of the others may go on":   {[]instance.Software{"v1", "v2", "v1", "v2"}, crash, true, 2},
		"target leaves, half of the others may do so": {[]instance.Software{"v1", "v2", "v1", "v2"}, leave, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, len(tc.software))
				fx.software = make(map[instance.ID]instance.Software)

				for i, s := range tc.software {
					fx.software[instance.ID(fmt.Sprint("t", i))] = s
				}

				fx.publish()
				time.AfterFunc(120*time.Millisecond, func() {
					for _, e := range fx.engines {
						if _, running := e.Use(); running > 0 {
							tc.during(fx, e)

							return
						}
					}
				})

				req := newRequest(name, time.Minute)
				began := time.Now()
				got, refusal, err := fx.do(t.Context(), req)

				assert.Equal(t, err == nil, tc.whole)
				assert.Assert(t, time.Since(began) < time.Second)

				if tc.whole {
					assert.Equal(t, got, engine.Answer(model, name, 20))
				} else {
					assert.Equal(t, refusal.Code, request.OtherSoftware)
					assert.Equal(t, refusal.Run, request.Ran)
				}

				made := make(map[instance.Software]bool)
				sends := 0

				for _, e := range fx.log.Query(timeline.Filter{Request: req.ID}) {
					if e.Kind == timeline.Sent || e.Kind == timeline.Resumed {
						made[fx.software[e.Target]] = true
						sends++
					}
				}

				assert.Equal(t, sends, tc.sends)
				assert.Equal(t, len(made), 1)
			})
		})
	}
}
