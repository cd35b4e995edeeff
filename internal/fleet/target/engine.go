// Package target describes the back ends: model engines that batch requests and
// load checkpoints, and what they report about themselves.
package target

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Engine is one model engine. The tests of internal/standin/engine check its
// contract, against the stand-in in memory and over TCP.
type Engine interface {
	// Generate starts a generation. An error of type *NotLoadedError,
	// *NotReachedError or *LeavingError proves that nothing ran.
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Cancel stops a generation. Cancelling an unknown one succeeds.
	Cancel(ctx context.Context, requestID string) error
	// Submit sends an order. An order with an id that the engine has received before
	// is not carried out again. An engine that checks fencing tokens refuses an old
	// one with a *StaleTokenError.
	Submit(ctx context.Context, o Order) (Inventory, error)
	// Inventory returns the engine's current inventory.
	Inventory(ctx context.Context) (Inventory, error)
	// Report returns the engine's load as last measured, which may be out of date.
	Report(ctx context.Context) (Report, error)
	// Events returns the cache events numbered above after. Numbers may be missing.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	// ExportKV returns the state (KV cache) of a running generation.
	ExportKV(ctx context.Context, requestID string) ([]byte, error)
	// ImportKV imports a generation's state, so that a generation resumed on this
	// engine need not process its prompt again.
	ImportKV(ctx context.Context, requestID string, state []byte) error
}

// Generation is one request to an engine.
type Generation struct {
	RequestID string
	// Model is the name of the model or adapter to run.
	Model  string
	Prompt string
	// MaxTokens is positive.
	MaxTokens int
	// Offset is the index of the first token to send. It is above zero when a broken
	// stream is resumed.
	Offset int
	// Priority orders the requests that wait for a slot, highest first.
	Priority int
}

// Stream yields a generation's tokens in order.
type Stream interface {
	// Next returns the next frame. io.EOF before a frame with End set means that the
	// stream was cut.
	Next() (Frame, error)
	Close() error
}

// Frame is one token of a stream.
type Frame struct {
	// RequestID is the request to which the token belongs, as the engine reports it.
	RequestID string
	// Index is the token's position in the answer, from zero.
	Index int
	Text  string
	// End marks the frame after the last token. It carries no text.
	End bool
}

// Order is an instruction to an engine.
type Order struct {
	// ID is unique, so that an order that is sent twice is carried out once.
	ID string
	// Token is the fencing token of the lease under which the order was decided.
	Token  uint64
	Action Action
}

// Action is what an order asks for.
type Action interface{ action() }

// Load asks to load a model, or an adapter next to its base model.
type Load struct {
	Model string
	Base  string
	Bytes int64
}

// Unload asks to free a model or an adapter.
type Unload struct{ Model string }

// ChangeRole asks the engine to take another role in serving generations.
type ChangeRole struct{ Role string }

// RaiseToken asks only that older fencing tokens be refused from now on.
type RaiseToken struct{}

func (Load) action()       {}
func (Unload) action()     {}
func (ChangeRole) action() {}
func (RaiseToken) action() {}

// Phase is the phase of loading or unloading a checkpoint.
type Phase string

// The phases of a checkpoint on an engine.
const (
	Loading   Phase = "loading"
	Ready     Phase = "ready"
	Unloading Phase = "unloading"
	Failed    Phase = "failed"
)

// ResidentModel is a checkpoint that occupies memory on an engine.
type ResidentModel struct {
	Model string
	Base  string
	Bytes int64
	Phase Phase
}

// Inventory is an engine's description of itself: its incarnation, memory, role and
// resident models.
type Inventory struct {
	// Incarnation changes whenever the engine's process starts anew. What an earlier
	// incarnation had loaded is gone.
	Incarnation string
	// Software is the version of the engine's program.
	Software instance.Software
	// Token is the highest fencing token received. It is zero on engines that ignore
	// tokens.
	Token  uint64
	Memory int64
	// Speed is the engine's relative speed; 1 is the slowest kind.
	Speed    float64
	Role     string
	Leaving  bool
	Resident []ResidentModel
	// Cached gives the tier of each checkpoint that is cached in local memory or on disk.
	Cached map[string]Tier
}

// Tier is the storage from which a checkpoint's bytes are read.
type Tier int

// The tiers, fastest first.
const (
	TierMemory Tier = iota + 1
	TierDisk
	TierRemote
)

// Report is an engine's load.
type Report struct {
	// At is when the load was measured, by the engine's clock.
	At      time.Time
	Running int
	Waiting int
	// Slots is the largest number of generations that can run at the same time.
	Slots   int
	Leaving bool
}

// CacheEvent says that a prompt prefix was cached or dropped.
type CacheEvent struct {
	Number uint64
	Prefix string
	Cached bool
}

// NotLoadedError says that a generation did not run, because its model is not ready
// on the engine.
type NotLoadedError struct {
	Target instance.ID
	Model  string
}

func (e *NotLoadedError) Error() string {
	return fmt.Sprintf("target %s: %s is not loaded", e.Target, e.Model)
}

// NotReachedError says that no byte of the call reached the target.
type NotReachedError struct {
	Target instance.ID
	Err    error
}

func (e *NotReachedError) Error() string {
	return fmt.Sprintf("target %s: not reached: %v", e.Target, e.Err)
}

func (e *NotReachedError) Unwrap() error { return e.Err }

// LeavingError says that a generation did not run, because the target accepts no
// new work.
type LeavingError struct{ Target instance.ID }

func (e *LeavingError) Error() string { return fmt.Sprintf("target %s: leaving", e.Target) }

// StaleTokenError says that an order was not carried out, because the engine has
// received a newer fencing token.
type StaleTokenError struct {
	Target  instance.ID
	Token   uint64
	Highest uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("target %s: token %d is older than %d", e.Target, e.Token, e.Highest)
}

// NoMemoryError says that a load was refused because the engine lacks memory.
type NoMemoryError struct {
	Target instance.ID
	Model  string
}

func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("target %s: no memory for %s", e.Target, e.Model)
}
