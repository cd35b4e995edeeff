package holder

import (
	"slices"
	"strings"
	"time"
)

// predictionStep is the change in a predicted time from which a new snapshot
// is published.
const predictionStep = 300 * time.Millisecond

// predict records when models of a service become ready that the weight store
// cannot load yet. Entries refuse at once the requests that cannot wait so
// long, and return that time for a retry.
func (h *Holder) predict(service string, ready map[string]time.Duration, now time.Time) {
	var predictions []Prediction

	for _, w := range h.predictions {
		if name, _, _ := splitKey(w.Key); name != service {
			predictions = append(predictions, w)
		}
	}

	firstPublished := h.predictedSince(service)

	for model, delay := range ready {
		w := Prediction{Key: service + "/" + model, Ready: now.Add(delay), Since: now}
		if since, ok := firstPublished[model]; ok {
			w.Since = since
		}

		predictions = append(predictions, w)
	}

	slices.SortFunc(predictions, func(a, b Prediction) int { return strings.Compare(a.Key, b.Key) })

	if !slices.EqualFunc(predictions, h.predictions, func(a, b Prediction) bool {
		diff := a.Ready.Sub(b.Ready)

		return a.Key == b.Key && max(diff, -diff) < predictionStep
	}) {
		h.predictions, h.published = predictions, false
	}
}

// predictedSince returns when the holder first published the current
// prediction for each model of a service.
func (h *Holder) predictedSince(service string) map[string]time.Time {
	out := make(map[string]time.Time, len(h.predictions))

	for _, w := range h.predictions {
		if name, model, _ := splitKey(w.Key); name == service {
			out[model] = w.Since
		}
	}

	return out
}
