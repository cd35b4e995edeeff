// Package plan describes the operators' two lists: the customers' plans, and what
// each plan may use.
package plan

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
)

// Removal says what happens to a plan's running requests when the plan is removed
// from the list. Queued requests are always refused.
type Removal string

// The values of Removal.
const (
	FinishRunning Removal = "finish"
	CancelRunning Removal = "cancel"
)

// Plan is a customer's contract.
type Plan struct {
	// Name is unique among plans.
	Name     string
	Customer string
	Keys     []key.Digest
	// RequestsPerSecond, Concurrency and TokensPerMinute apply to all entries
	// together. Zero means unlimited.
	RequestsPerSecond int
	Concurrency       int
	TokensPerMinute   int
	// Accelerators is how many accelerators are reserved for the plan.
	Accelerators int
	// Priority is from 0 to 9; the highest comes first.
	Priority int
	// RequestTimeout applies to requests that name no timeout.
	RequestTimeout time.Duration
	OnRemoval      Removal
}

// Kind says what an allowance allows.
type Kind string

// The kinds of allowances.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Allowance lets a plan use a model, an adapter or a service.
type Allowance struct {
	Plan string
	Kind Kind
	Name string
}

// Change is a change of one plan or one allowance.
type Change interface{ change() }

// SetPlan adds or replaces a plan.
type SetPlan struct{ Plan Plan }

// RemovePlan removes a plan.
type RemovePlan struct{ Name string }

// Allow adds an allowance.
type Allow struct{ Allowance Allowance }

// Disallow removes an allowance.
type Disallow struct{ Allowance Allowance }

func (SetPlan) change()    {}
func (RemovePlan) change() {}
func (Allow) change()      {}
func (Disallow) change()   {}

// Edit is an accepted set of changes.
type Edit struct {
	// Version is the lists' version after this edit. Versions grow by one.
	Version uint64
	// WriteID is unique to the put that made the edit.
	WriteID string
	Author  string
	At      time.Time
	Changes []Change
}
