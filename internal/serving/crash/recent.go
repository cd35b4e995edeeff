package crash

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// recentPeriod is for how long each sound run of this entry is remembered.
	recentPeriod = 16 * time.Second
	// maxRecent bounds these runs.
	maxRecent = 8192
)

// recentRuns are the last sound runs of this entry, in the order in which they became known. Those of
// peers are none of them: they are told again and again. The zero value is empty.
type recentRuns []recentRun

type recentRun struct {
	model        string
	began        time.Time
	fingerprints []request.Fingerprint
}

func (r *recentRuns) add(model string, fps []request.Fingerprint, began, now time.Time) {
	if len(*r) >= maxRecent {
		*r = slices.Clone((*r)[maxRecent/2:])
	}

	*r = append(*r, recentRun{model, began, fps})
	if over := now.Add(-recentPeriod); (*r)[0].began.Before(over) && (*r)[len(*r)/2].began.Before(over) {
		*r = slices.Clone((*r)[len(*r)/2:])
	}
}

// since counts the runs of each model that began after a time, if that is no longer ago than
// recentPeriod, and otherwise those of this period.
func (r *recentRuns) since(fp request.Fingerprint, at, now time.Time) map[string]SoundRuns {
	out := make(map[string]SoundRuns)

	at = clock.Later(at, now.Add(-recentPeriod))

	for _, run := range *r {
		if !run.began.After(at) {
			continue
		}

		n := SoundRuns{All: 1}
		if slices.Contains(run.fingerprints, fp) {
			n.With = 1
		}

		out[run.model] = out[run.model].Add(n)
	}

	return out
}
