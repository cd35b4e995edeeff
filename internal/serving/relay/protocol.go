// Package relay is a reverse proxy: it forwards clients' HTTP requests to
// targets and returns the bodies of their answers unchanged, except that a stream
// may be resumed at another target. It retries only requests that may be retried,
// checks that an answer is complete and belongs to its request, and never lets a
// broken answer look complete.
package relay

import (
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

// Protocol reads and writes the headers that clients and targets use.
type Protocol interface {
	// Parse reads a client's headers. It fails with a *BadRequestError.
	Parse(h http.Header) (RequestInfo, error)
	// Outgoing returns the headers of a request to a target, without those that
	// a client must not set.
	Outgoing(in http.Header, a Attempt) http.Header
	// Onward returns the headers of a request that is passed on to another entry, whose
	// client has received the events up to lastEvent, if that is not empty.
	Onward(in http.Header, timeout time.Duration, lastEvent string) http.Header
	// Incoming returns the headers of an answer that are forwarded to the
	// client.
	Incoming(in http.Header) http.Header
	// Answer reads the headers by which a target describes its answer.
	Answer(status int, h http.Header) AnswerInfo
}

// RequestInfo is the information about a request in a client's headers.
type RequestInfo struct {
	// ID is unique to this request; a client that sends the same content again
	// uses a new one.
	ID string
	// Timeout is how long the client waits, or zero if it states no timeout.
	Timeout time.Duration
	// Model is a model, or a model and an adapter, separated by a slash.
	Model string
	// Prompt identifies all parts of the prompt. SharedPrompt identifies only the
	// parts that the prompts of other requests also contain.
	Prompt, SharedPrompt string
	// SharedParts identify each of the parts that the prompts of other requests also
	// contain, in order.
	SharedParts []string
	// TokensIn is the size of the prompt, TokensOut the maximum size of the
	// answer. Neither is negative.
	TokensIn, TokensOut int
	// TokensGiven is set if the client stated these sizes.
	TokensGiven bool
	// Credentials are the header lines that identify the client. They are
	// secret.
	Credentials []string
	// LastEvent is the id of the last event that the client received before its
	// stream broke off; it is empty if the request resumes no stream.
	LastEvent string
	// FirstAttempt is the id of the client's attempt that brought the first event of the stream;
	// it is empty if the client names none.
	FirstAttempt string
}

// Attempt describes one attempt of a request at a target, for Protocol.Outgoing.
type Attempt struct {
	// Timeout is how long the target may work.
	Timeout time.Duration
	Target  instance.ID
	// LastEvent is the id of the last event that the client received.
	LastEvent string
	// Prioritised is set if the target orders its work by Priority.
	Prioritised bool
	Priority    int
	// DropCredentials is set if clients authenticate with keys, which must not be
	// forwarded.
	DropCredentials bool
	// Team is the name of the client's team, or empty.
	Team string
}

// AnswerInfo describes an answer, as its headers state.
type AnswerInfo struct {
	// ID is the id of the request that the answer belongs to, if stated.
	ID string
	// Signed is set if the answer carries the header that only a target's own
	// program sets. An answer without it may come from something else at the
	// target's address.
	Signed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Misdirected is set if another instance has the address, or if the target
	// does not hold the model.
	Misdirected bool
	// Instance is the instance that answered, if stated.
	Instance instance.ID
	// KeepAlive is how long the target keeps an idle connection open, or zero if
	// it does not state that.
	KeepAlive time.Duration
	// Statement is what the target states about itself.
	Statement statement.Statement
}

// BadRequestError reports that a request's headers are invalid.
type BadRequestError struct{ Reason string }

func (e *BadRequestError) Error() string { return "bad request: " + e.Reason }
