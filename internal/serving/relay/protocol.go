// Package relay takes callers' HTTP requests to targets and the answers back,
// byte for byte. It repeats only what may be repeated, checks that an answer
// belongs to its request and is whole, and never lets a broken one look
// complete.
package relay

import (
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Protocol knows the headers that callers and targets use.
type Protocol interface {
	// Parse reads what a caller's headers ask for. It fails with a
	// *BadRequestError.
	Parse(h http.Header) (Ask, error)
	// Outgoing returns the headers of a request to a target, without those
	// that the caller must not set.
	Outgoing(in http.Header, s Sending) http.Header
	// Incoming returns the headers of an answer that go on to the caller.
	Incoming(in http.Header) http.Header
	// Answer reads what a target's answer says of itself.
	Answer(status int, h http.Header) Mark
}

// Ask is what a caller's headers say.
type Ask struct {
	// ID is unique to this attempt of the caller.
	ID string
	// Left is how long the caller waits; zero means that it did not say.
	Left time.Duration
	// Model is a model, or a model and an adapter with a slash between.
	Model string
	// Prompt names the parts of the prompt, Shared those that other requests
	// have too.
	Prompt, Shared string
	// TokensIn and TokensOut are the prompt's size and the most that the
	// answer may have. Neither is negative.
	TokensIn, TokensOut int
	// TokensNamed says that the caller named them.
	TokensNamed bool
	// Credentials are the lines that say who the caller is. They are secret.
	Credentials []string
	// After is the last event that the caller has of a broken stream.
	After string
}

// Sending is what this process says to a target about one sending.
type Sending struct {
	// Left is how long the target may work.
	Left   time.Duration
	Target instance.ID
	// After is the last event that the caller has.
	After string
	// Ranked says that the target orders its work by Priority.
	Ranked   bool
	Priority int
	// Keyed says that callers' keys open the routes, so that none may go on, and
	// Team is the caller's team, if it is known.
	Keyed bool
	Team  string
}

// Mark is what an answer says of itself.
type Mark struct {
	// ID is that of the request that the answer belongs to, if it says so.
	ID string
	// Signed says that a target's program wrote the answer.
	Signed bool
	// NotRun is the target's word that it did not run the request.
	NotRun bool
	// Misdirected says that another instance has the address, or that the
	// target does not hold the model.
	Misdirected bool
	// Instance is who answered, if it says so.
	Instance instance.ID
	// KeepAlive is after what time the target closes an idle connection; zero
	// means that it did not say.
	KeepAlive time.Duration
}

// BadRequestError says that a request cannot be understood.
type BadRequestError struct{ Reason string }

func (e *BadRequestError) Error() string { return "bad request: " + e.Reason }
