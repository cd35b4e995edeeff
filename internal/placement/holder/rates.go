package holder

import (
	"math"
	"time"
)

const (
	// rateSpan is over what time the rate of a model's requests is smoothed:
	// long enough to tell a busy model from a rare one, short against the time
	// in which the busy models change.
	rateSpan = 6 * time.Second
	// habitSpan is the same for decisions that last: a load from the weight store
	// is for what is asked for in the next half minute.
	habitSpan = 20 * time.Second
)

// rates are the smoothed rates of requests by model. Set span before use.
type rates struct {
	span      time.Duration
	perSecond map[string]float64
	at        time.Time
}

func (r *rates) add(model string, n int) {
	if n == 0 {
		return
	}

	if r.perSecond == nil {
		r.perSecond = make(map[string]float64)
	}

	r.perSecond[model] += float64(n) / r.span.Seconds()
}

func (r *rates) decay(now time.Time) {
	keep := math.Exp(-now.Sub(r.at).Seconds() / r.span.Seconds())
	for model := range r.perSecond {
		r.perSecond[model] *= keep
	}

	r.at = now
}
