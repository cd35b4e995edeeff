// Package crash finds what crashes targets: a request that is sent again and again, or
// something that many requests have in common. Entries observe their own runs with Runs;
// a Judge weighs what all of them have observed. It does no I/O and reads no clock.
package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// Settle is how long a target that crashes has ended by after it has begun to write.
	// A run that has written for longer did not crash its target.
	Settle = 200 * time.Millisecond
	// observation is how far apart entries may see the same death.
	observation = 500 * time.Millisecond
	// QuietAfter is how long a target must have sent nothing on the runs of a request until
	// it is asked for a connection, and quietAgain the time until it is asked again.
	QuietAfter = 100 * time.Millisecond
	quietAgain = 500 * time.Millisecond
	// retention is how long deaths count.
	retention = 20 * time.Minute
	// blockPeriod is how long a block lasts after the last death that counts for it.
	blockPeriod = 10 * time.Minute
	// probation is how long after the last death what is shared may be found to be sound by
	// probes, and probedAgain after what time its callers may come back meanwhile.
	probation   = 10 * time.Second
	probedAgain = time.Second
	// soundPeriod is the least time for which a sound run is remembered, unless more
	// than maxSound others are recorded in it.
	soundPeriod = time.Minute
	// maxSound bounds the fingerprints of each of the two periods.
	maxSound = 4096
	// copiedDeaths is the number of deaths at the same time from which copies of one request are
	// taken to have caused them.
	copiedDeaths = 3
	// maxDeaths bounds the deaths that are remembered.
	maxDeaths = 256
	// maxExposures bounds the fingerprints of one death, and maxBlocks the blocks of peers.
	maxExposures = 1024
	maxBlocks    = 1024
)

// Death identifies the death of one incarnation of a target.
type Death struct {
	Target      instance.ID
	Incarnation string
}

// Testimony is what one entry has observed of one death.
type Testimony struct {
	Death
	// At is a time at which the target still ran, zero if none is known, and Until one by
	// which it had ended. They are the same if the end was seen, and may be far apart if the
	// target fell silent. Until is zero if the target is silent and not known to have ended.
	At, Until time.Time
	// Exposed are the fingerprints of the requests that may have crashed it: those that
	// were sent to it and had neither been answered nor written for Settle. The time is
	// the earliest at which one with the fingerprint was sent.
	Exposed map[request.Fingerprint]time.Time
}

// silent reports whether the target is silent and not known to have ended.
func (t *Testimony) silent() bool { return t.Until.IsZero() }

// Withdrawal returns the testimony that a silent target ran at a time.
func Withdrawal(d Death, ranAt time.Time) Testimony { return Testimony{Death: d, At: ranAt} }

// limits are the numbers of deaths, one after the other, from which a fingerprint is
// blocked.
type limits struct {
	// unknown is for a fingerprint without a sound run lately, and sound for any other:
	// it is likelier that others crash its targets.
	unknown, sound int
}

// limitsOf returns the limits for a scope. What many requests share takes more deaths, since
// a block hits all of them.
func limitsOf(s request.Scope) limits {
	if s.Single() {
		return limits{unknown: 2, sound: 4}
	}

	return limits{unknown: 3, sound: 5}
}
