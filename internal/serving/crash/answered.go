package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// answeredPeriod is the least time for which an answer counts, unless more than
	// maxAnswered others are recorded in it.
	answeredPeriod = time.Minute
	// maxAnswered bounds the requests of each of the two periods.
	maxAnswered = 4096
)

// answeredRequests holds the requests that were answered whole lately, those of the
// current period and of the one before. The zero value is empty.
type answeredRequests struct {
	current, previous map[request.Fingerprint]bool
	// began is when the current period began.
	began time.Time
}

func (a *answeredRequests) add(fp request.Fingerprint, now time.Time) {
	a.expire(now)

	if len(a.current) >= maxAnswered {
		a.next(now)
	}

	if a.current == nil {
		a.current = make(map[request.Fingerprint]bool)
	}

	a.current[fp] = true
}

func (a *answeredRequests) has(fp request.Fingerprint, now time.Time) bool {
	a.expire(now)

	return a.current[fp] || a.previous[fp]
}

// expire ends periods that are over.
func (a *answeredRequests) expire(now time.Time) {
	if now.Sub(a.began) >= 2*answeredPeriod {
		a.current = nil
	}

	if now.Sub(a.began) >= answeredPeriod {
		a.next(now)
	}
}

// next begins a period.
func (a *answeredRequests) next(now time.Time) {
	a.previous, a.current, a.began = a.current, nil, now
}
