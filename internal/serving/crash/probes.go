package crash

import "time"

// probePause is the time from a probe that was not sent to the next one.
const probePause = 200 * time.Millisecond

// probePauses are the times from one probe of what many requests share to the next. There are no
// further probes: what has crashed a target under each of them crashes targets.
var probePauses = []time.Duration{probePause, time.Second, 4 * time.Second}

// maxRejected bounds the probes that targets rejected and that are granted again.
const maxRejected = 1

// Probes are the probes of one block. The zero value has none.
type Probes struct {
	granted, rejected int
	last              time.Time
}

// TakeBack returns the probes without one that has not run. It may have been sent to a target,
// which rejected it.
func (p Probes) TakeBack(sent bool) Probes {
	if sent {
		p.rejected++
	}

	if !sent || p.rejected <= maxRejected {
		p.granted = max(0, p.granted-1)
	}

	return p
}

// Grant returns the probes with one more, and whether that is due.
func (p Probes) Grant(now time.Time) (Probes, bool) {
	if p.granted >= len(probePauses) || now.Sub(p.last) < probePauses[p.granted] {
		return p, false
	}

	p.granted, p.last = p.granted+1, now

	return p, true
}
