// Package request describes clients' requests, their refusals, and what a
// refusal may state about whether the request ran.
package request

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// Request is one admitted request for a model.
type Request struct {
	// ID is the client's name for the request, or a generated one. Clients may
	// use a name more than once.
	ID string
	// EngineID is unique, so that frames of two requests cannot be confused.
	EngineID string
	Customer string
	Plan     string
	Model    string
	Prompt   string
	// Common are fingerprints that other requests may have too, the narrowest first.
	Common []Fingerprint
	// MaxTokens is positive.
	MaxTokens int
	// Priority is higher for more urgent requests. The customer's share of a
	// model's queue is proportional to 1 + Priority, and engines serve higher
	// priorities first. route.Route.Priority is the opposite: its 0 is the most
	// urgent.
	Priority int
	Deadline time.Time
	Arrived  time.Time
	// Tokens is the memory for the prompt and the answer that the request may take on
	// a target, in tokens. Zero means unknown.
	Tokens int
	// Goal is the time until which a first token is on time. Zero means that
	// there is no goal.
	Goal time.Time
	// Origin is what is known of the software that began the stream.
	Origin origin.Origin
	// PredictedWait is the wait that was predicted when the request was queued last. Zero
	// means that none was.
	PredictedWait time.Duration
}

// Run states whether a refused request ran.
type Run string

// Values of Run. NotRun is a guarantee, the others are not.
const (
	NotRun     Run = "notRun"
	MayHaveRun Run = "mayHaveRun"
	Ran        Run = "ran"
)

// Code says why a request was refused.
type Code string

// Codes of refusals.
const (
	BadRequest          Code = "badRequest"
	Unauthorized        Code = "unauthorized"
	NotAllowed          Code = "notAllowed"
	UnknownModel        Code = "unknownModel"
	KeyMissing          Code = "idempotencyKeyMissing"
	KeyConflict         Code = "idempotencyKeyConflict"
	InDoubt             Code = "inDoubt"
	TooLarge            Code = "tooLarge"
	Limited             Code = "limited"
	Overloaded          Code = "overloaded"
	TargetLimited       Code = "targetLimited"
	TargetResting       Code = "targetResting"
	OtherSoftware       Code = "otherSoftware"
	UnknownOrigin       Code = "unknownOrigin"
	TooCold             Code = "tooCold"
	NoTarget            Code = "noTarget"
	Poisoned            Code = "crashesTargets"
	StoreDown           Code = "storeUnavailable"
	ShuttingDown        Code = "shuttingDown"
	PlanRemoved         Code = "planRemoved"
	TargetFailed        Code = "targetFailed"
	DeadlineUnreachable Code = "deadlineCannotBeMet"
	DeadlinePassed      Code = "deadlinePassed"
)

// Refusal is the answer to a request that could not be served.
type Refusal struct { //nolint:errname // A refusal is an answer first.
	Code Code
	Run  Run
	// RetryAfter is the time after which the same request may succeed. Zero
	// means that a retry is pointless or that no time is known.
	RetryAfter time.Duration
	Message    string
	// Prediction is what a refusal with the message PredictedLate is based on.
	Prediction Prediction
}

// Prediction is a prediction of when a queued request starts.
type Prediction struct {
	// Start is the predicted wait. Waiting is the number of queued requests of the model
	// on all entries, and StartsPerSecond the rate at which they start.
	Start           time.Duration
	Waiting         int
	StartsPerSecond float64
}

func (e *Refusal) Error() string {
	return fmt.Sprintf("refused: %s, %s: %s", e.Code, e.Run, e.Message)
}

// PredictedLate is the message of a refusal by the prediction that all entries share.
const PredictedLate = "predicted to start after its deadline"

// Refuse returns a refusal of a request that was never sent.
func Refuse(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Run: NotRun, RetryAfter: retryAfter, Message: message}
}
