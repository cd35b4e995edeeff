package holder

import (
	"slices"
	"strings"
	"time"
)

// predictionStep is the change in a predicted time from which a new snapshot
// is published.
const predictionStep = 300 * time.Millisecond

// predict records the predicted ready times of those of a service's models that
// must wait for the weight store. Entries refuse at once the requests that
// cannot wait that long, and return the predicted time for a retry.
func (h *Holder) predict(service string, ready map[string]time.Duration, now time.Time) {
	var predictions []Prediction

	for _, p := range h.predictions {
		if name, _, _ := splitKey(p.Key); name != service {
			predictions = append(predictions, p)
		}
	}

	since := h.predictedSince(service)

	for model, delay := range ready {
		p := Prediction{Key: service + "/" + model, Ready: now.Add(delay), Since: now}
		if first, ok := since[model]; ok {
			p.Since = first
		}

		predictions = append(predictions, p)
	}

	slices.SortFunc(predictions, func(a, b Prediction) int { return strings.Compare(a.Key, b.Key) })

	if !slices.EqualFunc(predictions, h.predictions, func(a, b Prediction) bool {
		diff := a.Ready.Sub(b.Ready)

		return a.Key == b.Key && max(diff, -diff) < predictionStep
	}) {
		h.predictions, h.published = predictions, false
	}
}

// predictedSince returns, for each predicted model of a service, since when it
// has been predicted without interruption.
func (h *Holder) predictedSince(service string) map[string]time.Time {
	out := make(map[string]time.Time, len(h.predictions))

	for _, p := range h.predictions {
		if name, model, _ := splitKey(p.Key); name == service {
			out[model] = p.Since
		}
	}

	return out
}
