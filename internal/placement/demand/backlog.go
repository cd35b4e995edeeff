package demand

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Load is the load of a model as the entries have reported it.
type Load struct {
	// Queued and Running count the requests of all entries.
	Queued, Running int
}

// Loads returns the load by model of the reports that are at most maxAge old. group
// maps the key of a demand or a use to its model.
func (r *Reports) Loads(now time.Time, maxAge time.Duration, group func(key string) string) map[string]Load {
	out := make(map[string]Load)

	add := func(model string, queued, running int) {
		if queued > 0 || running > 0 {
			key := group(model)
			l := out[key]
			l.Queued += queued
			l.Running += running
			out[key] = l
		}
	}

	for _, e := range r.entries {
		if now.Sub(e.at) > maxAge {
			continue
		}

		for _, d := range e.Waiting {
			add(d.Model, d.Waiting, 0)
		}

		for _, u := range e.Uses {
			add(u.Model, 0, u.Running)
		}
	}

	return out
}

// RunningByTarget returns the number of requests that run on each target, over all reports
// that Merged has not deleted yet.
func (r *Reports) RunningByTarget() map[instance.ID]int {
	out := make(map[instance.ID]int)

	for _, e := range r.entries {
		for i := range e.Uses {
			out[e.Uses[i].Target] += e.Uses[i].Running
		}
	}

	return out
}
