package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// probePause is the time from a probe that was not sent to the next one.
const probePause = 200 * time.Millisecond

// probePauses are the times from one probe of what many requests share to the next. There are no
// further probes: what has crashed a target under each of them crashes targets.
var probePauses = []time.Duration{probePause, time.Second, 4 * time.Second}

// Probes are the probes of one block. The zero value has none.
type Probes struct {
	granted int
	last    time.Time
}

// TakeBack returns the probes without one that was not sent. One that a target has rejected has shown
// nothing, but it has reached a target.
func (p Probes) TakeBack(sent bool) Probes {
	if !sent {
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

// crashedProbes is the number of targets that may end under a restricted fingerprint until no more
// probes of it run, whoever grants them.
const crashedProbes = 2

// spent reports whether as many targets have ended under a fingerprint since it was restricted as its
// probes may crash. The deaths outlive the entry that grants probes: three entries know them.
func (j *Judge) spent(fp request.Fingerprint, now time.Time) bool {
	since, restricted := j.account.since[fp]
	if !restricted {
		return false
	}

	_, deaths := j.tallyOf(fp, now)
	n := 0

	for _, id := range deaths {
		if j.deaths[id].exposed[fp].After(since) {
			n++
		}
	}

	return n >= crashedProbes
}
