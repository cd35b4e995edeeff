package holder_test

import (
	"math/rand/v2"
	"sync"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
)

// lateAnswers make engines answer some calls twice. The second answer stands where that to the
// next call is expected, and so do all after it until a call fails. The zero value has none.
type lateAnswers struct {
	// reports and orders are the shares of the calls that are answered twice.
	reports, orders float64
	draw            *rand.Rand

	mu sync.Mutex
	// waiting are the answers of each engine that nobody has read.
	waiting map[instance.ID][]*answer
}

// answer is an engine's answer to a call. That to an order has no report.
type answer struct {
	outcome holder.Outcome
	report  *holder.Report
}

// take takes the answer to a call, if there is one, and returns the first that waits.
func (l *lateAnswers) take(id instance.ID, a *answer, share *float64) *answer {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.waiting == nil {
		l.waiting = make(map[instance.ID][]*answer)
	}

	waiting := l.waiting[id]
	if a != nil {
		waiting = append(waiting, a)
	}

	if a != nil && l.draw != nil && l.draw.Float64() < *share {
		waiting = append(waiting, a)
	}

	if len(waiting) == 0 {
		return nil
	}

	l.waiting[id] = waiting[1:]

	return waiting[0]
}

// set sets how many calls are answered twice.
func (l *lateAnswers) set(reports, orders float64, draw *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reports, l.orders, l.draw = reports, orders, draw
}

// fail drops what waits on a connection that is given up.
func (l *lateAnswers) fail(id instance.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()

	delete(l.waiting, id)
}

// order returns the outcome of an order as its sender reads it: a report has the status of an
// order that was already done. It returns false if there is none.
func (l *lateAnswers) order(id instance.ID, out holder.Outcome, answered bool) (holder.Outcome, bool) {
	var own *answer
	if answered {
		own = &answer{outcome: out}
	}

	switch told := l.take(id, own, &l.orders); {
	case told == nil:
		l.fail(id)

		return holder.Rejected, false
	case told.report != nil:
		return holder.AlreadyDone, true
	default:
		return told.outcome, true
	}
}

// report returns a report as its receiver reads it. The answer to an order is none.
func (l *lateAnswers) report(id instance.ID, r holder.Report) (holder.Report, error) {
	told := l.take(id, &answer{report: &r}, &l.reports)
	if told.report == nil {
		l.fail(id)

		return holder.Report{}, errNoAnswer
	}

	return *told.report, nil
}
