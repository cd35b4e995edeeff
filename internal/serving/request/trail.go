package request

import "time"

// Outcome is the known result of one attempt.
type Outcome int

// The outcomes of an attempt, ordered by how much the target may have done.
const (
	// NotReached means that no byte reached the target.
	NotReached Outcome = iota
	// ProvedNotRun means that the target reported that it did not run the
	// request.
	ProvedNotRun
	// Unanswered means that the request was sent and no answer was received.
	Unanswered
	// Begun means that part of an answer was received.
	Begun
	// Completed means that the complete answer was received.
	Completed
)

// AttemptLog records the outcome of each attempt of one request. It alone determines
// whether a refusal states that the request ran. The zero value has no
// attempts.
//
// It prevents a refusal that states "not run" for a request that ran: the
// client would send it again, and a stamp would be booked twice. Each attempt
// therefore counts as in doubt before its first byte is sent, until its outcome
// is proved.
type AttemptLog struct {
	fates []Outcome
}

// Begin records that an attempt begins and returns its number.
func (t *AttemptLog) Begin() int {
	t.fates = append(t.fates, Unanswered)

	return len(t.fates) - 1
}

// Record records the outcome of attempt n. An attempt whose answer has begun
// cannot become one that did not run.
func (t *AttemptLog) Record(n int, f Outcome) {
	if t.fates[n] < Begun || f > t.fates[n] {
		t.fates[n] = f
	}
}

// Count returns the number of attempts.
func (t *AttemptLog) Count() int { return len(t.fates) }

// Run returns what a refusal may state about whether the request ran.
func (t *AttemptLog) Run() Run {
	run := NotRun

	for _, f := range t.fates {
		switch f {
		case NotReached, ProvedNotRun:
		case Unanswered:
			if run == NotRun {
				run = MayHaveRun
			}
		case Begun, Completed:
			run = Ran
		}
	}

	return run
}

// Refuse returns a refusal that states only what the attempts prove.
func (t *AttemptLog) Refuse(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Run: t.Run(), RetryAfter: retryAfter, Message: message}
}
