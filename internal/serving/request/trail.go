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

// AttemptLog records the outcome of each attempt of one request. Once a request
// may have been sent, only its AttemptLog determines what a refusal states about
// whether it ran. The zero value has no attempts.
//
// It prevents a refusal that states "not run" for a request that ran: the client
// would send it again, it would run twice, and a booking, for example, would be
// made twice. Each attempt therefore counts as in doubt before its first byte is
// sent, until its outcome is proved.
type AttemptLog struct {
	outcomes []Outcome
}

// Begin records that an attempt begins and returns its number.
func (l *AttemptLog) Begin() int {
	l.outcomes = append(l.outcomes, Unanswered)

	return len(l.outcomes) - 1
}

// Record records the outcome of attempt n. An attempt whose answer has begun
// cannot become one that did not run.
func (l *AttemptLog) Record(n int, o Outcome) {
	if l.outcomes[n] < Begun || o > l.outcomes[n] {
		l.outcomes[n] = o
	}
}

// Count returns the number of attempts.
func (l *AttemptLog) Count() int { return len(l.outcomes) }

// Run returns what a refusal may state about whether the request ran.
func (l *AttemptLog) Run() Run {
	run := NotRun

	for _, o := range l.outcomes {
		switch o {
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
func (l *AttemptLog) Refuse(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Run: l.Run(), RetryAfter: retryAfter, Message: message}
}
