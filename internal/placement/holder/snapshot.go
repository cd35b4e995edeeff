package holder

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Snapshot is the full state that the holder publishes to all entries: which
// models are loaded where.
type Snapshot struct {
	Holder  instance.ID
	Process string
	// Token is the fencing token of the holder's lease. Number grows by one
	// with each snapshot under the same token.
	Token, Number uint64
	// LeaseVersion is the version of the lease row, so that entries see
	// renewals without reading the row.
	LeaseVersion revision.Number
	// ConfigVersion is the version of the configuration that the holder has in
	// force. ListVersion is the version that the target list had when the set
	// of usable targets last changed. Entries with older versions read the
	// store at once; the others need not.
	ConfigVersion uint64
	ListVersion   revision.Number
	// StoreAge is how long ago the holder last read the store. Above a limit
	// the other entries must read it themselves.
	StoreAge time.Duration
	// StoreFails says that the holder's last read of the store failed. The other entries then
	// read it themselves at once.
	StoreFails bool
	// Successor is set when the holder has released the lease.
	Successor instance.ID
	Engines   []EngineState
	// Predictions are for the models that requests wait for and that can only be
	// loaded later. The list is always complete, in a delta too.
	Predictions []Prediction
	// Backlogs are the queues of crowded models, over all entries. The list is always
	// complete, in a delta too.
	Backlogs []Backlog
}

// Backlog is the queue of one model over all entries.
type Backlog struct {
	// Key is service/model.
	Key string
	// Waiting is the number of queued requests.
	Waiting int
	// StartsPerSecond is the rate at which queued requests start; zero means unknown.
	StartsPerSecond float64
}

// Prediction is the predicted ready time of a model that is neither on a target
// nor being loaded.
type Prediction struct {
	Key   string
	Ready time.Time
	// Since is the time since which the holder has predicted the model without
	// interruption, even if Ready has changed. It is not sent to other entries.
	Since time.Time
}

// newer reports whether s was published later than o.
func (s Snapshot) newer(o Snapshot) bool {
	if s.Token != o.Token {
		return s.Token > o.Token
	}

	return s.Number > o.Number
}

// EngineState is the state of one engine as the holder has recorded it.
type EngineState struct {
	Target instance.ID
	// Born distinguishes successive processes of the target.
	Born int64
	// Sequence is the number of orders that the process has accepted.
	Sequence uint64
	// Running is the number of requests of all entries that run on the target.
	Running int
	// WaitingEntries is the largest number of entries that have requests queued for one
	// of the engine's models, rounded up so that it rarely changes.
	WaitingEntries int
	// Tokens is the memory for prompts and answers that the requests of all entries may
	// take on the target, in tokens.
	Tokens int
	// Speed is the target's speed in relation to the mean of its service; zero means
	// unknown.
	Speed    float64
	Resident []ResidentModel
}

// ResidentModel is a model that is loaded on an engine, or will be at Ready.
type ResidentModel struct {
	Model    string
	Ready    time.Time
	Adapters []ResidentAdapter
}

// ResidentAdapter is an adapter that is loaded on an engine, or will be at Ready.
type ResidentAdapter struct {
	Name  string
	Ready time.Time
}

// Missing is an entry's report of a target that does not hold the model or
// adapter Key, contrary to the snapshot. An empty Key means that the target
// accepts no connection.
type Missing struct {
	Target instance.ID
	Key    string
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends an order. After an error the order is in doubt.
	Order(ctx context.Context, t inventory.Target, o Order) (Outcome, error)
	// Report returns the models that the engine held a short time ago.
	Report(ctx context.Context, t inventory.Target) (Report, error)
}

// Order asks an engine to load or unload a model or an adapter.
type Order struct {
	Unload  bool
	Model   string
	Adapter string
	// Sequence is the number of orders that the engine must have accepted
	// before.
	Sequence uint64
	Holder   instance.ID
	Token    uint64
}

// Outcome is an engine's answer to an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted means that the order is being carried out.
	Accepted Outcome = iota
	// AlreadyDone means that there was nothing to do, or that the order has
	// already been carried out.
	AlreadyDone
	// Busy means that another order is being carried out or that the sequence
	// differs.
	Busy
	// Rejected means that the order can never be carried out.
	Rejected
	// WrongInstance means that another instance answered.
	WrongInstance
)

// Report is an engine's report of what it holds.
type Report struct {
	// Born distinguishes successive processes of the engine, as on the target
	// list; zero means that the engine did not report it.
	Born     int64
	Busy     bool
	Sequence uint64
	Resident []inventory.ResidentModel
	// Pending are adapters that are being loaded, as model/adapter.
	Pending []string
}
