package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// limitedWait is the cost, as a delay, of a load on a target that states a rate limit.
const limitedWait = 5 * time.Second

// replica is a model on a target.
type replica struct {
	target instance.ID
	model  string
}

// countLimitedReplicas counts the replicas on targets that state a rate limit. Such a
// target keeps the models with the lowest rates, as many as its limit serves; the
// others need a replica elsewhere. Models that a target without a limit holds are
// served there.
func (d *decider) countLimitedReplicas() {
	d.uncounted = make(map[replica]bool)
	served := make(map[string]int)

	for i := range d.Targets {
		t := &d.Targets[i]
		if !t.Serving || !t.RateLimit.Stated || t.RestEndsIn > 0 {
			continue
		}

		rest := t.RateLimit.PerSecond

		for _, model := range d.byRate(t) {
			if d.replicas[model] == 0 {
				rest -= d.Rate[model]
			}

			if rest < 0 || d.replicas[model] > 0 {
				d.uncounted[replica{t.ID, model}] = true

				continue
			}

			served[model]++
		}
	}

	for model, n := range served {
		d.replicas[model] += n
	}
}

// byRate returns the models on a target, those with the lowest arrival rate first.
func (d *decider) byRate(t *Target) []string {
	models := make([]string, len(t.Resident))
	for i, r := range t.Resident {
		models[i] = r.Model
	}

	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.Rate[a], d.Rate[b]), cmp.Compare(a, b))
	})

	return models
}
