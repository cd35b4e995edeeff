package demand

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Resumed is a model that resumed streams wait for, while none of the targets of the software
// that began them holds it.
type Resumed struct {
	Model    string
	Software instance.Software
}

// resumedExpiry is how long an entry's word on resumed streams counts, more than two
// intervals between reports.
const resumedExpiry = time.Second

// ResumedModels are the models that all entries have told of. The zero value is empty. It is
// not safe for concurrent use.
type ResumedModels struct {
	told map[Resumed]time.Time
}

// Record records what an entry has told.
func (m *ResumedModels) Record(resumed []Resumed, now time.Time) {
	if m.told == nil {
		m.told = make(map[Resumed]time.Time)
	}

	for _, r := range resumed {
		m.told[r] = now
	}
}

// Software returns the software that each model is wanted at, sorted. It forgets what
// has expired.
func (m *ResumedModels) Software(now time.Time) map[string][]instance.Software {
	if len(m.told) == 0 {
		return nil
	}

	out := make(map[string][]instance.Software)

	for r, at := range m.told {
		if now.Sub(at) > resumedExpiry {
			delete(m.told, r)

			continue
		}

		out[r.Model] = append(out[r.Model], r.Software)
	}

	for _, software := range out {
		slices.Sort(software)
	}

	return out
}
