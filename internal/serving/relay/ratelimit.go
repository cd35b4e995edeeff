package relay

import (
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// observeRateLimit passes on what an answer states about its target's rate limit.
// sent is when the request was sent.
func (d *delivery) observeRateLimit(t *router.Target, a *answer, sent time.Time) {
	if d.OnRateLimit == nil {
		return
	}

	if from := a.info.Instance; from != "" && from != t.ID {
		return // Another instance has the address.
	}

	o := ratelimit.Observation{Target: t.ID, Limit: a.info.RateLimit, At: clock.Now()}

	switch limit := a.info.RateLimit; {
	case limit.Stated && (a.info.Signed || a.info.NotRun):
		d.OnRateLimit(o)
	case !limit.Stated && a.info.Signed && !a.info.NotRun && a.StatusCode < http.StatusInternalServerError:
		// Only an answer of a target that works shows that the limit has ended.
		o.At = o.At.Add(-time.Since(sent))
		d.OnRateLimit(o)
	}
}
