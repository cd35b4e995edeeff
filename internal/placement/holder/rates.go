package holder

import (
	"math"
	"time"
)

const (
	// shortRateSpan is the time constant for smoothing a model's request rate.
	// It is long enough to distinguish frequently requested models from rarely
	// requested ones, and short compared to the time in which the set of
	// frequently requested models changes.
	shortRateSpan = 6 * time.Second
	// longRateSpan is the time constant for decisions with a longer effect: a
	// load from the weight store serves the demand of the next half minute.
	longRateSpan = 20 * time.Second
)

// rates are the smoothed request rates by model. Set span before use.
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
