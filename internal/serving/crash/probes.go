package crash

import "time"

// probePauses are the times from one probe of what many requests share to the next. There are no
// further probes: what has crashed a target under each of them crashes targets.
var probePauses = []time.Duration{probePause, time.Second, 4 * time.Second}

// probePause is the time from a probe that has not run to the next one.
const probePause = 200 * time.Millisecond

// Probes are the probes of one block. The zero value has none.
type Probes struct {
	granted int
	last    time.Time
}

// TakeBack returns the probes without one that has not run.
func (p Probes) TakeBack() Probes {
	return Probes{granted: max(0, p.granted-1), last: p.last}
}

// Grant returns the probes with one more, and whether that is due.
func (p Probes) Grant(now time.Time) (Probes, bool) {
	if p.granted >= len(probePauses) || now.Sub(p.last) < probePauses[p.granted] {
		return p, false
	}

	return Probes{granted: p.granted + 1, last: now}, true
}
