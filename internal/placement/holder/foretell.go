package holder

import (
	"slices"
	"strings"
	"time"
)

// foretellStep is by how much the time must move from which a model can be
// had for entries to be told again.
const foretellStep = 300 * time.Millisecond

// foretell notes from when on models of a service can be had that the weight
// store cannot load yet, so that entries refuse at once who cannot wait for
// them, and say when to come back.
func (h *Holder) foretell(service string, ready map[string]time.Duration, now time.Time) {
	var waits []Wait

	for _, w := range h.waits {
		if name, _, _ := splitKey(w.Key); name != service {
			waits = append(waits, w)
		}
	}

	promised := h.promised(service)

	for model, in := range ready {
		w := Wait{Key: service + "/" + model, Ready: now.Add(in), Since: now}
		if since, ok := promised[model]; ok {
			w.Since = since
		}

		waits = append(waits, w)
	}

	slices.SortFunc(waits, func(a, b Wait) int { return strings.Compare(a.Key, b.Key) })

	if !slices.EqualFunc(waits, h.waits, func(a, b Wait) bool {
		apart := a.Ready.Sub(b.Ready)

		return a.Key == b.Key && max(apart, -apart) < foretellStep
	}) {
		h.waits, h.published = waits, false
	}
}

// promised returns since when entries tell their callers from when on models of
// a service can be had.
func (h *Holder) promised(service string) map[string]time.Time {
	out := make(map[string]time.Time, len(h.waits))

	for _, w := range h.waits {
		if name, model, _ := splitKey(w.Key); name == service {
			out[model] = w.Since
		}
	}

	return out
}
