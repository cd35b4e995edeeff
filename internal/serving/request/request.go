// Package request describes callers' requests, the refusals they may get, and
// the one place that decides what a refusal may say about whether the request
// ran.
package request

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one admitted request for a model.
type Request struct {
	// ID is the caller's name for the request, or one that was made for it.
	// Callers may use a name twice.
	ID string
	// EngineID is unique, so that frames of two requests cannot be mixed up.
	EngineID string
	Customer string
	Plan     string
	Model    string
	Prompt   string
	// MaxTokens is positive.
	MaxTokens int
	Priority  int
	Deadline  time.Time
	Arrived   time.Time
	// Goal is until when a first token is on time; zero means that nothing is
	// said of it.
	Goal time.Time
}

// Fingerprint identifies what a request asks for, so that the same request
// sent again by its caller is recognised.
type Fingerprint uint64

// Fingerprint returns the digest of the model, the prompt and the length.
func (r *Request) Fingerprint() Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(r.Prompt)

	return Fingerprint(d.Sum64())
}

// Run says whether a refused request ran.
type Run string

// What a refusal may say. NotRun is a promise, the others are not.
const (
	NotRun     Run = "notRun"
	MayHaveRun Run = "mayHaveRun"
	Ran        Run = "ran"
)

// Code says why a request was refused.
type Code string

// The codes of refusals.
const (
	BadRequest    Code = "badRequest"
	Unauthorized  Code = "unauthorized"
	NotAllowed    Code = "notAllowed"
	UnknownModel  Code = "unknownModel"
	KeyMissing    Code = "idempotencyKeyMissing"
	KeyConflict   Code = "idempotencyKeyConflict"
	InDoubt       Code = "inDoubt"
	TooLarge      Code = "tooLarge"
	Limited       Code = "limited"
	Overloaded    Code = "overloaded"
	TooCold       Code = "tooCold"
	NoTarget      Code = "noTarget"
	Poisoned      Code = "crashesTargets"
	StoreDown     Code = "storeUnavailable"
	ShuttingDown  Code = "shuttingDown"
	PlanRemoved   Code = "planRemoved"
	TargetFailed  Code = "targetFailed"
	DeadlineAhead Code = "deadlineCannotBeMet"
	DeadlinePast  Code = "deadlinePassed"
)

// Refusal is the final answer to a request that gets no other.
type Refusal struct { //nolint:errname // A refusal is an answer first.
	Code Code
	Run  Run
	// RetryAfter is when the same request may succeed. Zero means that a
	// repeat is pointless or that nothing is known.
	RetryAfter time.Duration
	Message    string
}

func (e *Refusal) Error() string {
	return fmt.Sprintf("refused: %s, %s: %s", e.Code, e.Run, e.Message)
}

// Refuse returns a refusal of a request that was never sent.
func Refuse(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Run: NotRun, RetryAfter: retryAfter, Message: message}
}
