package request

import "time"

// Fate is what is known of one sending of a request to a target.
type Fate int

// The fates of a sending, from the least to the most that may have happened.
const (
	// NotReached means that no byte reached the target.
	NotReached Fate = iota
	// ProvedNotRun means that the target said that it did not run it.
	ProvedNotRun
	// InDoubtFate means that the request went out and no answer came.
	InDoubtFate
	// Begun means that part of an answer came.
	Begun
	// Completed means that the whole answer came.
	Completed
)

// Trail records what became of each sending of one request. It alone decides
// what a refusal says. The zero value is a request that was never sent.
//
// The failure it guards against is a refusal that says "not run" of a request
// that ran: the caller repeats it and a stamp is booked twice. The guard
// holds because a sending counts as in doubt from before its first byte, and
// only a proof lowers that.
type Trail struct {
	fates []Fate
}

// Send records that a sending begins and returns its number.
func (t *Trail) Send() int {
	t.fates = append(t.fates, InDoubtFate)

	return len(t.fates) - 1
}

// Learn records what became of sending n. A sending that has begun cannot
// become one that did not run.
func (t *Trail) Learn(n int, f Fate) {
	if t.fates[n] < Begun || f > t.fates[n] {
		t.fates[n] = f
	}
}

// Sends returns how often the request was sent.
func (t *Trail) Sends() int { return len(t.fates) }

// Verdict returns what may be said of the request.
func (t *Trail) Verdict() Run {
	run := NotRun

	for _, f := range t.fates {
		switch f {
		case NotReached, ProvedNotRun:
		case InDoubtFate:
			if run == NotRun {
				run = MayHaveRun
			}
		case Begun, Completed:
			run = Ran
		}
	}

	return run
}

// Refuse returns a refusal that says no more than the trail proves.
func (t *Trail) Refuse(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Run: t.Verdict(), RetryAfter: retryAfter, Message: message}
}
