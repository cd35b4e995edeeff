package holder

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

// News is what the holder tells all entries: what is loaded where, always
// whole.
type News struct {
	Holder  instance.ID
	Process string
	// Token is the fencing token of the holder's lease, and Number grows by
	// one with each news under one token.
	Token, Number uint64
	// LeaseVersion is that of the lease row, so that entries see renewals
	// without reading it.
	LeaseVersion uint64
	// Config is the version of the configuration that the holder has in force,
	// and List that of the list at the last change of which targets may be
	// used. Entries that are behind read the store at once; the others need
	// not.
	Config, List uint64
	// StoreAge is how long ago the holder last knew what stands in the store.
	// Above a bound the others must look for themselves.
	StoreAge time.Duration
	// Successor is set when the holder gave the lease up.
	Successor instance.ID
	Stations  []Station
	// Waits are the models that requests wait for and that can be had only
	// later, always whole.
	Waits []Wait
}

// Wait says from when on a model can be had that is on no target, nor on its
// way to one.
type Wait struct {
	Key   string
	Ready time.Time
	// Since is when the holder first said so. Only the holder knows it.
	Since time.Time
}

// newer reports whether n was sent later than o.
func (n News) newer(o News) bool {
	if n.Token != o.Token {
		return n.Token > o.Token
	}

	return n.Number > o.Number
}

// Station is what the holder knows of one engine.
type Station struct {
	Target instance.ID
	// Born tells the target's processes apart.
	Born int64
	// Sequence is how many orders the process had accepted.
	Sequence uint64
	// Running is how many requests run there over all entries.
	Running int
	// Lines is at how many entries at most requests wait for one of the models,
	// rounded up, so that it seldom changes.
	Lines int
	Held  []Held
}

// Held is a model that is loaded on an engine, or will be at Ready.
type Held struct {
	Model    string
	Ready    time.Time
	Adapters []Adapter
}

// Adapter is an adapter that is loaded on an engine, or will be at Ready.
type Adapter struct {
	Name  string
	Ready time.Time
}

// Missing says that a target answered that it does not hold what the holder
// says it does, or, without a key, that it takes no connection.
type Missing struct {
	Target instance.ID
	Key    string
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order hands over an order. An error means that nothing is known of it.
	Order(ctx context.Context, t inventory.Target, o Order) (Outcome, error)
	// Report returns what the engine holds, as of some time ago.
	Report(ctx context.Context, t inventory.Target) (Report, error)
}

// Order asks an engine to load or unload a model or an adapter.
type Order struct {
	Unload  bool
	Model   string
	Adapter string
	// Sequence is how many orders the engine must have accepted before.
	Sequence uint64
	Holder   instance.ID
	Token    uint64
}

// Outcome is what an engine answers to an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted orders are being carried out.
	Accepted Outcome = iota
	// Holds means that there was nothing to do, or that it is done.
	Holds
	// Busy means that another order is under way or that the sequence
	// differs.
	Busy
	// Rejected means that the order can never be carried out.
	Rejected
	// Elsewhere means that another instance answered.
	Elsewhere
)

// Report is what an engine says it holds.
type Report struct {
	// Born tells the engine's processes apart, as on the list; zero means that
	// it did not say.
	Born     int64
	Busy     bool
	Sequence uint64
	Held     []inventory.Held
	// Pending are adapters on their way, as model and adapter with a slash
	// between.
	Pending []string
}
