package worker

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/platform"
)

// The users' rules on what a target states in its answers. From drain after an entry
// has received an answer that says that the target leaves, no request that a client
// sends may reach it from that entry. From restMargin after a target asked an entry for
// rest, at most restExtra requests may reach it from that entry until the end.
const (
	drain      = 2 * time.Second
	restMargin = 500 * time.Millisecond
	restExtra  = 2
)

// statements are what a target states in its answers besides its rate limit.
type statements struct {
	leaving bool
	// rest is what it asks for while it turns requests away, until restUntil. If
	// turnedAway is not nil, it turns away only the requests whose ids it accepts.
	rest       time.Duration
	restUntil  time.Time
	turnedAway func(id string) bool
	// process counts the target's processes.
	process int
}

// Leave makes the target say in its answers that it leaves.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.states.leaving = true
}

// Leaving implements platform.Worker.
func (w *Worker) Leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.states.leaving
}

// TurnAway makes the target turn away the requests whose ids match accepts, or all if it
// is nil, for the given time, and ask for rest in each of these answers.
func (w *Worker) TurnAway(rest, length time.Duration, match func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.states.rest, w.states.restUntil, w.states.turnedAway = rest, time.Now().Add(length), match
}

// Restart makes the target a new process, which neither leaves nor asks for rest.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.states = statements{process: w.states.process + 1}
}

// turnAway answers a request that the target turns away. It reports whether it did.
func (w *Worker) turnAway(in *arrival, a *platform.Answer) bool {
	w.mu.Lock()
	rest := w.states.rest
	turned := time.Now().Before(w.states.restUntil) && (w.states.turnedAway == nil || w.states.turnedAway(in.id))
	w.mu.Unlock()

	if !turned {
		return false
	}

	a.TurnAway(rest)

	w.mu.Lock()
	defer w.mu.Unlock()

	in.answered, in.rest = time.Now(), rest

	return true
}

// StatementRule judges what arrived at a target that said that it leaves or asked for
// rest.
type StatementRule struct {
	// Sender returns the entry that sent a request.
	Sender func(id string) string
	// Sent returns when a client sent a request. Requests of unknown clients are not
	// judged.
	Sent func(id string) (time.Time, bool)
	// RestartExcused reports that an entry was restarted or frozen between two times,
	// and Excused that it was also cut off. They may be nil.
	RestartExcused, Excused func(sender string, from, to time.Time) bool
}

// SentAfterLeaving returns the first request that arrived from an entry although a
// client sent it later than the rule allows after the target had told that entry that it
// leaves, or an empty text.
func (w *Worker) SentAfterLeaving(rule StatementRule) string {
	w.mu.Lock()
	defer w.mu.Unlock()

	type entryProcess struct {
		sender  string
		process int
	}

	told := make(map[entryProcess]time.Time)

	for _, a := range w.limits.arrivals {
		key := entryProcess{rule.Sender(a.id), a.process}
		since, known := told[key]
		sent, judged := rule.Sent(a.id)

		if known && judged && sent.Sub(since) > drain && !excused(rule.RestartExcused, key.sender, since, a.at) {
			return fmt.Sprintf("%s, sent %v after its entry was told that the target leaves, %v are allowed", a.id, sent.Sub(since).Round(time.Millisecond), drain)
		}

		if a.leaving && !a.answered.IsZero() && (!known || a.answered.Before(since)) {
			told[key] = a.answered
		}
	}

	return ""
}

// SentDuringRest returns the first rest in which more requests arrived from the entry
// that it was asked of than the rule allows, or an empty text.
func (w *Worker) SentDuringRest(rule StatementRule) string {
	w.mu.Lock()
	defer w.mu.Unlock()

	for i, asked := range w.limits.arrivals {
		if asked.rest == 0 {
			continue
		}

		sender := rule.Sender(asked.id)
		from, to := asked.answered.Add(restMargin), asked.answered.Add(asked.rest)
		n := 0

		for _, a := range w.limits.arrivals[i+1:] {
			if a.process == asked.process && !a.at.Before(from) && a.at.Before(to) && rule.Sender(a.id) == sender {
				n++
			}
		}

		if n > restExtra && !excused(rule.Excused, sender, asked.answered, to) {
			return fmt.Sprintf("%d requests of %s in a rest of %v, %d are allowed", n, sender, asked.rest, restExtra)
		}
	}

	return ""
}

func excused(rule func(string, time.Time, time.Time) bool, sender string, from, to time.Time) bool {
	return rule != nil && rule(sender, from, to)
}

// Told returns how many answers of the target said that it leaves, and how many asked
// for rest.
func (w *Worker) Told() (leaving, rest int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, a := range w.limits.arrivals {
		if a.leaving && !a.answered.IsZero() {
			leaving++
		}

		if a.rest > 0 {
			rest++
		}
	}

	return leaving, rest
}
