package worker

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/platform"
)

// The users' rule on a target's rate limit: from Contact after the target first
// states it, the entries that it has told may send it, within limitWindow,
// limitFactor times what it allows and limitExtra requests more. An entry counts
// as told toldAfter after it received such an answer.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	toldAfter   = 500 * time.Millisecond
)

// limitRecord is what a target has stated of its rate limit, and every request
// that has arrived.
type limitRecord struct {
	statements []statement
	arrivals   []*arrival
}

// statement is the limit that the target states from a time on.
type statement struct {
	limit ratelimit.Limit
	from  time.Time
}

// arrival is a request that has arrived.
type arrival struct {
	id string
	at time.Time
	// timeout is what the sender says is left.
	timeout time.Duration
	// stated is set if its answer states a limit, and answered is when the answer
	// began.
	stated   bool
	answered time.Time
	// leaving is set if its answer says that the target leaves, and rest is what its
	// answer asks for. process is the target's process that it reached.
	leaving bool
	rest    time.Duration
	process int
}

// SetRateLimit makes the target state this limit in its answers from now on, or
// none.
func (w *Worker) SetRateLimit(l ratelimit.Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.limits.statements = append(w.limits.statements, statement{limit: l, from: time.Now()})
}

// arrive records a request and makes its answer state the limit.
func (w *Worker) arrive(r platform.Request, a *platform.Answer) *arrival {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	limit := w.limits.at(now)
	a.StateRateLimit(limit)

	in := &arrival{id: r.ID, at: now, timeout: r.Timeout, stated: limit.Stated, leaving: w.states.leaving, process: w.states.process}
	w.limits.arrivals = append(w.limits.arrivals, in)

	return in
}

// Arrival is a request that has arrived at a target, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
	// Timeout is what the sender says is left.
	Timeout time.Duration
}

// Arrivals returns the requests that have arrived, in order.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := make([]Arrival, len(w.limits.arrivals))
	for i, a := range w.limits.arrivals {
		out[i] = Arrival{ID: a.id, At: a.at, Timeout: a.timeout}
	}

	return out
}

// answered records that the answer to a request has begun.
func (w *Worker) answered(in *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if in.answered.IsZero() {
		in.answered = time.Now()
	}
}

// at returns the limit that is stated at a time.
func (r *limitRecord) at(t time.Time) ratelimit.Limit {
	var limit ratelimit.Limit

	for _, s := range r.statements {
		if !s.from.After(t) {
			limit = s.limit
		}
	}

	return limit
}

// LimitRule judges what arrived at a target that states a rate limit.
type LimitRule struct {
	// Contact is the time from the first statement of a limit after which it is
	// judged, and after a lower one until which the former counts.
	Contact time.Duration
	// Sender returns the entry that sent a request.
	Sender func(id string) string
	// Excused reports that an entry's requests do not count, because it was
	// restarted, frozen or cut off between the two times. It may be nil.
	Excused func(sender string, from, to time.Time) bool
}

// Arrived returns how many requests arrived between two times.
func (w *Worker) Arrived(from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	n := 0

	for _, a := range w.limits.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}

	return n
}

// Exceeded returns the first window in which more requests arrived than the rule
// allows, or an empty text.
func (w *Worker) Exceeded(rule LimitRule) string {
	w.mu.Lock()
	defer w.mu.Unlock()

	counted := w.limits.fromTold(rule.Sender)
	first := 0

	for i, last := range counted {
		for last.at.Sub(counted[first].at) > limitWindow {
			first++
		}

		most, judged := w.limits.allowed(last.at, rule.Contact)
		if !judged {
			continue
		}

		n := 0

		for _, a := range counted[first : i+1] {
			if rule.Excused == nil || !rule.Excused(rule.Sender(a.id), last.at.Add(-limitWindow-rule.Contact), last.at) {
				n++
			}
		}

		if float64(n) > most {
			return fmt.Sprintf("%d requests in %v from entries that were told, %.1f are allowed", n, limitWindow, most)
		}
	}

	return ""
}

// told is an entry that was told of a limit, in the period that begins with its first
// statement.
type told struct {
	sender string
	since  time.Time
}

// fromTold returns the requests of entries that had been told of the limit when they
// arrived. Where a target states a limit again, they must have been told again.
func (r *limitRecord) fromTold(sender func(id string) string) []*arrival {
	first := make(map[told]time.Time)

	for _, a := range r.arrivals {
		if !a.stated || a.answered.IsZero() {
			continue
		}

		key := told{sender: sender(a.id), since: r.statedSince(a.at)}
		if at, known := first[key]; !known || a.answered.Before(at) {
			first[key] = a.answered
		}
	}

	var out []*arrival

	for _, a := range r.arrivals {
		at, known := first[told{sender: sender(a.id), since: r.statedSince(a.at)}]
		if known && a.at.Sub(at) >= toldAfter {
			out = append(out, a)
		}
	}

	return out
}

// statedSince returns when the target began to state a limit without interruption
// until t, or zero if it states none then.
func (r *limitRecord) statedSince(t time.Time) time.Time {
	var since time.Time

	for _, s := range r.statements {
		switch {
		case s.from.After(t):
			return since
		case !s.limit.Stated:
			since = time.Time{}
		case since.IsZero():
			since = s.from
		}
	}

	return since
}

// allowed returns how many requests may arrive in the window that ends at a time,
// or false if the window is not judged because a limit has not been stated for long
// enough. Of several limits in the window and Contact before it the highest counts.
func (r *limitRecord) allowed(end time.Time, contact time.Duration) (float64, bool) {
	since := r.statedSince(end)
	if since.IsZero() || end.Sub(since) < contact {
		return 0, false
	}

	highest := 0.0

	for i, s := range r.statements {
		last := i+1 == len(r.statements)
		current := last || r.statements[i+1].from.After(end.Add(-limitWindow-contact))

		if s.limit.Stated && !s.from.After(end) && current {
			highest = max(highest, s.limit.PerSecond)
		}
	}

	return limitFactor*highest*limitWindow.Seconds() + limitExtra, true
}
